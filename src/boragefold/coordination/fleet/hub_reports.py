"""The newest reports of all hubs that report to this instance."""

from __future__ import annotations

from collections.abc import Mapping

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import reports
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages

ReportEntries = list[tuple[ids.InstanceId, messages.Told]]


class HubReports:
    """Tracks which instances each hub reports, and when it last did.

    A restarted hub counts as a new hub: the reports of its previous
    incarnation stay valid for as long as those of any silent hub.
    """

    def __init__(self) -> None:
        self._readers: dict[ids.InstanceId, reports.ReportReader] = {}

    def apply(
        self,
        hub: ids.InstanceId,
        report: messages.Report,
        *,
        now_seconds: float,
    ) -> tuple[ReportEntries, bool]:
        """Apply a report.

        :param hub: the hub that sent it
        :param report: the report
        :param now_seconds: reading of the process clock
        :return: the entries by instance, and whether the set of instances
            that the hub reports as alive has changed
        """
        reader = self._readers.setdefault(hub, reports.ReportReader())
        before = reader.instances
        told = reader.apply(report, now_seconds=now_seconds)
        return told, reader.instances is not before

    def hubs_with_gaps(self, *, since_seconds: float) -> tuple[str, ...]:
        """List the hubs of which a report was missed.

        :param since_seconds: only hubs that sent a report since this time
        :return: their addresses
        """
        return tuple(
            hub.address
            for hub, reader in self._readers.items()
            if not reader.complete and reader.heard_at_seconds >= since_seconds
        )

    def expire(self, *, before_seconds: float) -> None:
        """Drop the hubs whose reports have expired.

        :param before_seconds: those whose last report is older than this
        """
        self._readers = {
            hub: reader
            for hub, reader in self._readers.items()
            if reader.heard_at_seconds >= before_seconds
        }

    def update_times(
        self, members: Mapping[str, member_module.Member]
    ) -> None:
        """Update when each instance was last known to be alive.

        :param members: the instances by address
        """
        for member in members.values():
            member.reported_at_seconds = member.received_at_seconds
            member.direct_report_at_seconds = member.received_at_seconds
        for reader in self._readers.values():
            for address, instance in reader.instances.items():
                # A hub's report also lists its receiver, which isn't a member.
                reported = members.get(address)
                if reported is not None and reported.instance == instance:
                    reported.record_report(
                        reader.heard_at_seconds, first_hand=reader.first_hand
                    )
        for member in members.values():
            member.alive_at_seconds = max(
                member.alive_at_seconds, member.reported_at_seconds
            )


__all__ = [
    "HubReports",
]
