"""The newest reports of all hubs that report to this instance."""

from __future__ import annotations

from collections.abc import Mapping

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import reports
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages

Told = list[tuple[ids.InstanceId, messages.Told]]


class HubReports:
    """Tracks which instances each hub reports, and when it last did.

    A restarted hub counts as a new hub: the reports of its previous
    incarnation stay valid for as long as those of any silent hub.
    """

    def __init__(self) -> None:
        self._readers: dict[ids.InstanceId, reports.ReportReader] = {}

    def take(
        self,
        hub: ids.InstanceId,
        report: messages.Report,
        *,
        now_seconds: float,
    ) -> tuple[Told, bool]:
        """Apply a report.

        :param hub: the hub that sent it
        :param report: the report
        :param now_seconds: reading of the process clock
        :return: the entries by instance, and whether the set of instances
            that the hub reports as alive has changed
        """
        reader = self._readers.setdefault(hub, reports.ReportReader())
        before = reader.vouched
        told = reader.take(report, now_seconds=now_seconds)
        return told, reader.vouched is not before

    def lacking(self, *, since_seconds: float) -> tuple[str, ...]:
        """List the hubs of which a report was missed.

        :param since_seconds: only hubs that sent a report since this time
        :return: their addresses
        """
        return tuple(
            hub.address
            for hub, reader in self._readers.items()
            if not reader.complete and reader.heard_at_seconds >= since_seconds
        )

    def forget(self, *, before_seconds: float) -> None:
        """Drop the hubs whose reports have expired.

        :param before_seconds: those whose last report is older than this
        """
        self._readers = {
            hub: reader
            for hub, reader in self._readers.items()
            if reader.heard_at_seconds >= before_seconds
        }

    def date(self, members: Mapping[str, member_module.Member]) -> None:
        """Update when each instance was last known to be alive.

        :param members: the instances by address
        """
        for member in members.values():
            member.vouched_at_seconds = member.direct_at_seconds
            member.first_hand_at_seconds = member.direct_at_seconds
        for reader in self._readers.values():
            for address, instance in reader.vouched.items():
                # A hub's report also lists its receiver, which isn't a member.
                vouched = members.get(address)
                if vouched is not None and vouched.instance == instance:
                    vouched.vouch(
                        reader.heard_at_seconds, first_hand=reader.first_hand
                    )
        for member in members.values():
            member.heard_at_seconds = max(
                member.heard_at_seconds, member.vouched_at_seconds
            )


__all__ = [
    "HubReports",
]
