"""Relays leases, to reduce the load of the leader of a large view."""

from __future__ import annotations

from boragefold.coordination import link
from boragefold.coordination import member_tracker as member_trackers
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages


class LeaseRelay:
    """Grants members leases that expire no later than the relay's own.

    An instance that has waited for the relay's lease to expire has thereby
    waited for these, too.
    """

    def __init__(
        self, *, peer_link: link.PeerLink, state: view_state.ViewState
    ) -> None:
        self._link = peer_link
        self._state = state
        self._view_id = messages.NO_VIEW
        self._since_seconds = 0.0
        self._heard_seconds: dict[ids.InstanceId, float] = {}
        self._granted_until_seconds: dict[ids.InstanceId, float] = {}

    def on_heartbeat(
        self, sender: ids.InstanceId, beat: messages.Beat
    ) -> None:
        """Answer the heartbeat of a member that this instance relays to.

        :param sender: the member
        :param beat: its heartbeat, for the current view
        """
        state = self._state
        view = self._current_view()
        if view is None or quorum.relay_of(view, sender) != state.self_id:
            return
        now_seconds = state.now_seconds()
        self._heard_seconds[sender] = now_seconds
        if beat.round != state.promised.round or not state.has_lease():
            return
        lease_seconds = min(
            quorum.LEASE_SECONDS,
            quorum.shortened_seconds(state.lease_left_seconds()),
        )
        self._granted_until_seconds[sender] = max(
            self._granted_until_seconds.get(sender, 0.0),
            now_seconds + lease_seconds,
        )
        self._link.send(
            to=sender,
            body=messages.Relayed(
                view_id=state.view_id(),
                ballot=state.promised,
                echo_seconds=beat.sent_seconds,
                lease_seconds=lease_seconds,
            ),
        )

    def silent_positions(self) -> tuple[int, ...]:
        """Return which members of this relay have been silent for long.

        :return: their positions in the view
        """
        view = self._current_view()
        if view is None:
            return ()
        suspect_before_seconds = (
            self._state.now_seconds() - member_trackers.SUSPECT_SECONDS
        )
        return tuple(
            position
            for position, member in enumerate(view.members)
            if quorum.relay_of(view, member) == self._state.self_id
            and self._heard_seconds.get(member, self._since_seconds)
            <= suspect_before_seconds
        )

    def remaining_leases(self) -> tuple[tuple[int, float], ...]:
        """Return the remaining times of the leases that this relay granted.

        :return: positions in the view, and seconds
        """
        view = self._current_view()
        if view is None:
            return ()
        now_seconds = self._state.now_seconds()
        return tuple(
            (position, self._granted_until_seconds[member] - now_seconds)
            for position, member in enumerate(view.members)
            if self._granted_until_seconds.get(member, 0.0) > now_seconds
        )

    def _current_view(self) -> rights.View | None:
        view_id = self._state.view_id()
        if view_id != self._view_id:
            self._view_id = view_id
            self._since_seconds = self._state.now_seconds()
            self._heard_seconds.clear()
            self._granted_until_seconds.clear()
        return self._state.view


__all__ = [
    "LeaseRelay",
]
