"""Decides for one request whether endpoints may be at risk by it."""

from __future__ import annotations

from collections.abc import Callable
import functools

from boragefold.entry import quarantine as quarantines
from boragefold.policy import crash_causes
from boragefold.policy import crash_verdict


class RequestGuard:
    """Decides for one request whether it may be sent."""

    def __init__(
        self,
        *,
        quarantine: quarantines.Quarantine,
        request_id: str,
        compute_fingerprint: Callable[[], int],
        shared_parts: tuple[str, ...] = (),
    ) -> None:
        """Compute nothing yet.

        :param quarantine: decides about causes of crashes
        :param request_id: of the request, for the log
        :param compute_fingerprint: called once, and only while there are
            suspects or after the request was cut off
        :param shared_parts: the parts of its prompt that others may hold
        """
        self._quarantine = quarantine
        self._request_id = request_id
        self._compute_fingerprint = compute_fingerprint
        self._shared_parts = shared_parts
        self._is_trial = False
        self._has_progressed = False

    @functools.cached_property
    def causes(self) -> crash_causes.RequestCauses:
        """List what the request may crash endpoints by.

        :return: itself, and the parts of its prompt that others may hold
        """
        return crash_causes.RequestCauses(
            self._compute_fingerprint(), self._parts
        )

    @property
    def fingerprint(self) -> int:
        """Return what identifies the request when it is sent again.

        :return: a 64-bit hash
        """
        return self.causes.fingerprint

    @functools.cached_property
    def _parts(self) -> tuple[int, ...]:
        return tuple(map(crash_causes.hash_part, self._shared_parts))

    def refusal(self) -> crash_verdict.Verdict | None:
        """Decide whether the request must be refused.

        :return: the verdict to refuse it with, or None
        """
        return self._log_refusal(self._judge())

    def begin_sending(self) -> crash_verdict.Verdict | None:
        """Decide whether the request may be sent now, perhaps as a trial.

        :return: the verdict to refuse it with, or None
        """
        verdict = self._judge()
        self._is_trial = (
            not verdict.quarantined
            and self._quarantine.record_sending(self._read_causes)
        )
        return self._log_refusal(verdict)

    def may_write(self) -> bool:
        """Decide once more when the connection to the endpoint is open.

        :return: whether the request may still be sent
        """
        return self._is_trial or not self._judge().quarantined

    def lease_key(self) -> int | None:
        """Tell which requests aren't sent together with this one.

        :return: what identifies their lease, None if it needs none
        """
        return self._quarantine.lease_key(self._read_causes)

    def count_crashes(self) -> int:
        """Count the crashes that this request may have caused by itself.

        :return: those that are known by now
        """
        return self._quarantine.count_crashes(lambda: self.fingerprint)

    def record_success(self) -> None:
        """Record that the request ran to its end."""
        self._quarantine.record_sound(
            self._request_id, self._parts, lambda: self.causes.all
        )

    def record_progress(self) -> None:
        """Record that its answer went on for long enough to clear its parts.

        Only the first call has an effect.
        """
        if not self._has_progressed:
            self._has_progressed = True
            self._quarantine.record_sound(
                self._request_id, self._parts, lambda: self._parts
            )

    def _log_refusal(
        self, verdict: crash_verdict.Verdict
    ) -> crash_verdict.Verdict | None:
        if not verdict.quarantined:
            return None
        self._quarantine.log_refusal(
            self._request_id, self.fingerprint, verdict
        )
        return verdict

    def _judge(self) -> crash_verdict.Verdict:
        return self._quarantine.judge(self._read_causes)

    def _read_causes(self) -> crash_causes.RequestCauses:
        return self.causes


__all__ = [
    "RequestGuard",
]
