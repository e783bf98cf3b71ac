"""The rates that this instance holds, and their transfer to others."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import NamedTuple

from absl import logging

from boragefold.coordination.rates import holder_lookup as holder_lookups
from boragefold.coordination.rates import ledger as ledgers
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import rate_holder as rate_holders
import boragefold.coordination.rights as membership
from boragefold.protocol import ids
from boragefold.protocol import rate_messages
from boragefold.telemetry import counters as counting

# A bucket received ahead of the view that assigns it is kept this long.
PENDING_SECONDS = 30.0


@dataclasses.dataclass(kw_only=True)
class _HeldRate:
    """A held rate and the range of views in which it was held."""

    rate_holder: rate_holders.RateHolder
    epoch: int
    first_number: int
    last_number: int
    released: bool = False


class _PendingBucket(NamedTuple):
    """A bucket received before this instance became its holder."""

    sender: ids.InstanceId
    bucket: rate_messages.BucketHandedOver
    received_at_seconds: float


class HeldRates:
    """The rates that this instance holds, by workspace."""

    def __init__(
        self,
        *,
        rights: membership.Rights,
        holder_lookup: holder_lookups.HolderLookup,
        now_seconds: Callable[[], float],
        counters: counting.Counters,
        begin: Callable[[str, ledgers.Ledger], rate_holders.RateHolder],
        send: Callable[[ids.InstanceId, rate_messages.BucketHandedOver], None],
    ) -> None:
        """Start without any held rates.

        :param rights: views of the data centres
        :param holder_lookup: looks up the holders of rates
        :param now_seconds: clock
        :param counters: receives the counts of gained and lost rates
        :param begin: creates the holder of a rate with a bucket
        :param send: sends a bucket to its next holder
        """
        self._rights = rights
        self._holder_lookup = holder_lookup
        self._now_seconds = now_seconds
        self._counters = counters
        self._begin = begin
        self._send = send
        self._held_rates: dict[str, _HeldRate] = {}
        self._parts: dict[str, limits.Limit] = {}
        self._pending: dict[str, _PendingBucket] = {}

    def __iter__(self) -> Iterator[rate_holders.RateHolder]:
        return iter([held.rate_holder for held in self._held_rates.values()])

    def update(self, parts: dict[str, limits.Limit]) -> None:
        """Apply changed limits immediately.

        :param parts: this data centre's part of each limit by workspace
        """
        self._parts = parts
        for workspace in self._held_rates.keys() - parts.keys():
            del self._held_rates[workspace]
        for workspace, held in self._held_rates.items():
            held.rate_holder.ledger.change_limit(
                parts[workspace], now_seconds=self._now_seconds()
            )
        self.apply_view()

    def apply_view(self) -> None:
        """Start and stop holding rates to match the valid view."""
        for workspace in self._parts:
            self.find(workspace)

    def find(self, workspace: str) -> rate_holders.RateHolder | None:
        """Return the holder object of a rate that this instance holds now.

        :param workspace: workspace of the rate
        :return: the object, or None if another instance holds the rate
        """
        view = self._rights.valid_view()
        if view is None:
            self._end_if_replaced(workspace)
            return None
        if workspace not in self._parts:
            return None
        if not self._holder_lookup.is_own(workspace):
            self._end_holding(workspace, view)
            return None
        held = self._held_rates.get(workspace)
        if held is None or not self._is_continuous(held, view):
            held = self._start_holding(workspace, view)
        held.last_number = view.number
        return None if held.released else held.rate_holder

    def hand_over_all(self) -> None:
        """Hand all buckets over before a planned stop."""
        view = self._rights.valid_view()
        for workspace, held in self._held_rates.items():
            if view is None or held.released:
                continue
            others = tuple(
                member
                for member in view.members
                if member != self._rights.self_id
            )
            held.released = True
            if others and self._is_continuous(held, view):
                held.last_number = view.number
                held.rate_holder.ledger.advance(self._now_seconds())
                self._hand_over(workspace, held, view._replace(members=others))

    def receive_bucket(
        self, sender: ids.InstanceId, bucket: rate_messages.BucketHandedOver
    ) -> None:
        """Receive a bucket; it is kept until this instance is its holder.

        :param sender: previous holder
        :param bucket: state of the bucket when it was released
        """
        self._pending[bucket.workspace] = _PendingBucket(
            sender, bucket, self._now_seconds()
        )
        held = self._held_rates.get(bucket.workspace)
        if held is not None:
            self._apply_pending(bucket.workspace, held)

    def _is_continuous(self, held: _HeldRate, view: membership.View) -> bool:
        # Between views that don't follow each other another instance may have
        # held the rate and granted from a bucket of its own.
        return (
            held.epoch == view.epoch
            and held.last_number <= view.number <= held.last_number + 1
        )

    def _start_holding(
        self, workspace: str, view: membership.View
    ) -> _HeldRate:
        # Grants of a previous holder may be charged until they expire, so the
        # bucket starts to refill only afterwards.
        part = self._parts[workspace]
        ledger = ledgers.Ledger(
            limit=part,
            now_seconds=self._now_seconds(),
            wait_seconds=limits.GRANT_VALID_SECONDS
            + limits.CLOCK_DRIFT_SECONDS
            + part.hold_seconds,
        )
        held = _HeldRate(
            rate_holder=self._begin(workspace, ledger),
            epoch=view.epoch,
            first_number=view.number,
            last_number=view.number,
        )
        self._held_rates[workspace] = held
        self._counters.add("rate_tenures", "gained")
        self._apply_pending(workspace, held)
        return held

    def _apply_pending(self, workspace: str, held: _HeldRate) -> None:
        now_seconds = self._now_seconds()
        pending = self._pending.get(workspace)
        if pending is None:
            return
        bucket = pending.bucket
        follows = (held.epoch, held.first_number) == (
            bucket.epoch,
            bucket.view_number + 1,
        )
        age_seconds = now_seconds - pending.received_at_seconds
        if not follows or age_seconds > PENDING_SECONDS:
            return
        del self._pending[workspace]
        if not held.rate_holder.ledger.starts_in_seconds(now_seconds):
            # The bucket already refills; adding the received level would
            # count that refill twice.
            self._counters.add("rate_tenures", "inherited_too_late")
            return
        held.rate_holder.ledger.inherit(
            level_tokens=bucket.level_tokens,
            occupied_tokens=bucket.occupied_tokens,
            now_seconds=now_seconds,
        )
        self._counters.add("rate_tenures", "inherited")

    def _end_if_replaced(self, workspace: str) -> None:
        """Stop holding a rate if a later view lacks this instance."""
        held = self._held_rates.get(workspace)
        own_name = self._rights.self_id.data_centre
        latest = self._rights.directory().get(own_name)
        if held is None or latest is None:
            return
        last = (held.epoch, held.last_number)
        if (latest.epoch, latest.number) > last and (
            self._rights.self_id not in latest.members
        ):
            self._end_holding(workspace, latest)

    def _end_holding(self, workspace: str, view: membership.View) -> None:
        held = self._held_rates.pop(workspace, None)
        if held is None:
            return
        self._counters.add("rate_tenures", "lost")
        if not held.released and self._is_continuous(held, view):
            self._hand_over(workspace, held, view)

    def _hand_over(
        self, workspace: str, held: _HeldRate, view: membership.View
    ) -> None:
        """Send the bucket's last state to the next holder."""
        ledger = held.rate_holder.ledger
        if ledger.starts_in_seconds(self._now_seconds()) > 0:
            return
        successor = membership.holder(view, limits.right_of(workspace))
        logging.info("handing the rate of %s over to %s", workspace, successor)
        self._counters.add("rate_tenures", "handed_over")
        self._send(
            successor,
            rate_messages.BucketHandedOver(
                workspace,
                held.epoch,
                held.last_number,
                ledger.level_tokens,
                ledger.occupied_tokens,
            ),
        )


__all__ = [
    "HeldRates",
]
