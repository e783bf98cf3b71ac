"""The register, which records at most one attempt for each ticket."""

from __future__ import annotations

import collections
import dataclasses

from boragefold.coordination import link as links
from boragefold.coordination.once import tickets
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# A record outlives the time in which its ticket could still be granted.
RETENTION_SECONDS = 3 * tickets.TICKET_LIFETIME_SECONDS
# Bounds the memory, like the byte limits below.
MAX_RECORDS = 30_000
MAX_ANSWER_BYTES = 16_384
MAX_ALL_ANSWERS_BYTES = 8_388_608
SWEEP_SECONDS = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """The state of one ticket; a sealed ticket has no attempt."""

    attempt: once_messages.Attempt | None
    digest: str
    recorded_at_seconds: float
    answer: once_messages.StoredAnswer | None = None


class Register:
    """The records of the tickets that name this process as a register."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        ticket_issuer: tickets.TicketIssuer,
        counters: telemetry.Counters,
    ) -> None:
        self._link = link
        self._timers = timers
        self._ticket_issuer = ticket_issuer
        self._counters = counters
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0
        link.subscribe(once_messages.Claim, self._on_claim)
        link.subscribe(once_messages.Seal, self._on_seal)
        link.subscribe(once_messages.Release, self._on_release)
        link.subscribe(once_messages.Store, self._on_store)
        timers.every(period_seconds=SWEEP_SECONDS, callback=self._sweep)

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, claim: once_messages.Claim) -> once_messages.ClaimReply:
        """Record an attempt, or return why it is refused.

        :param claim: the attempt
        :return: ``granted`` only for the first attempt of a ticket
        """
        record = self._records.get(claim.ticket.serial)
        verdict = self._claim_verdict(claim, record)
        if verdict == "granted" and record is None:
            self._record(claim.ticket.serial, claim.attempt, claim.digest)
        return self._reply(claim, verdict, record)

    def seal(self, seal: once_messages.Seal) -> once_messages.ClaimReply:
        """Refuse all later claims of a ticket, unless one was granted.

        :param seal: the ticket
        :return: ``sealed``, or ``taken`` by an earlier attempt
        """
        ticket = seal.ticket
        record = self._records.get(ticket.serial)
        if not self._names_this_process(ticket):
            return self._reply(seal, "foreign", None)
        if record is None:
            self._record(ticket.serial, None, seal.digest)
            return self._reply(seal, "sealed", None)
        verdict = "sealed" if record.attempt is None else "taken"
        return self._reply(seal, verdict, record)

    def release(self, release: once_messages.Release) -> None:
        """Delete the record of an attempt that sent nothing and never will.

        :param release: the attempt
        """
        record = self._records.get(release.serial)
        if record is not None and record.attempt == release.attempt:
            self._drop(release.serial)

    def store(self, store: once_messages.Store) -> None:
        """Store the answer of a recorded attempt.

        :param store: the answer
        """
        record = self._records.get(store.serial)
        if record is None or record.attempt != store.attempt:
            return
        if record.answer is None:
            record.answer = self._within_limits(store.answer)
            self._answer_bytes += len(record.answer.body or b"")

    def _claim_verdict(
        self, claim: once_messages.Claim, record: Record | None
    ) -> str:
        ticket = claim.ticket
        if not self._names_this_process(ticket):
            return "foreign"
        if record is not None:
            return self._repeat_verdict(claim, record)
        if (
            ticket.first == self._link.self_id
            and self._ticket_issuer.is_expired(ticket)
        ):
            return "expired"
        if len(self._records) >= MAX_RECORDS:
            return "full"
        return "granted"

    def _repeat_verdict(
        self, claim: once_messages.Claim, record: Record
    ) -> str:
        if record.attempt is None:
            return "sealed"
        if record.digest != claim.digest:
            return "mismatch"
        # A repeated message of the recorded attempt gets the same verdict.
        return "granted" if record.attempt == claim.attempt else "taken"

    def _names_this_process(self, ticket: once_messages.Ticket) -> bool:
        # A restarted process has the same address but none of the records.
        self_id = self._link.self_id
        if ticket.first == self_id:
            return self._ticket_issuer.is_own(ticket)
        return ticket.second == self_id

    def _record(
        self,
        serial: str,
        attempt: once_messages.Attempt | None,
        digest: str,
    ) -> None:
        self._records[serial] = Record(
            attempt=attempt,
            digest=digest,
            recorded_at_seconds=self._timers.now_seconds(),
        )

    def _reply(
        self,
        asked: once_messages.Claim | once_messages.Seal,
        verdict: str,
        record: Record | None,
    ) -> once_messages.ClaimReply:
        self._counters.add("once_register_verdicts", verdict)
        return once_messages.ClaimReply(
            serial=asked.ticket.serial,
            attempt=asked.attempt,
            verdict=verdict,
            answer=None if record is None else record.answer,
        )

    def _within_limits(
        self, answer: once_messages.StoredAnswer
    ) -> once_messages.StoredAnswer:
        size_bytes = len(answer.body or b"")
        room_bytes = MAX_ALL_ANSWERS_BYTES - self._answer_bytes
        if size_bytes > min(MAX_ANSWER_BYTES, room_bytes):
            self._counters.add("once_answers_not_kept", "too_large")
            return answer._replace(body=None)
        return answer

    def _drop(self, serial: str) -> None:
        record = self._records.pop(serial)
        if record.answer is not None:
            self._answer_bytes -= len(record.answer.body or b"")

    def _sweep(self) -> None:
        oldest_seconds = self._timers.now_seconds() - RETENTION_SECONDS
        while self._records:
            serial, record = next(iter(self._records.items()))
            if record.recorded_at_seconds > oldest_seconds:
                return
            self._drop(serial)

    def _on_claim(
        self, sender: ids.InstanceId, claim: once_messages.Claim
    ) -> None:
        self._link.send(to=sender, body=self.claim(claim))

    def _on_seal(
        self, sender: ids.InstanceId, seal: once_messages.Seal
    ) -> None:
        self._link.send(to=sender, body=self.seal(seal))

    def _on_release(
        self, sender: ids.InstanceId, release: once_messages.Release
    ) -> None:
        self.release(release)
        reply = once_messages.Released(release.serial, release.attempt)
        self._link.send(to=sender, body=reply)

    def _on_store(
        self, sender: ids.InstanceId, store: once_messages.Store
    ) -> None:
        self.store(store)
        reply = once_messages.Stored(store.serial, store.attempt)
        self._link.send(to=sender, body=reply)


__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_RECORDS",
    "RETENTION_SECONDS",
    "Register",
]
