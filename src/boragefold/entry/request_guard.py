"""Decides for one request whether endpoints may be at risk by it."""

from __future__ import annotations

from collections.abc import Callable
import functools

from boragefold.entry import quarantine as quarantines
from boragefold.policy import crash_causes
from boragefold.policy import crash_suspects


class RequestGuard:
    """Decides for one request whether it may be sent."""

    def __init__(
        self,
        *,
        quarantine: quarantines.Quarantine,
        request_id: str,
        compute_causes: Callable[[], crash_causes.RequestCauses],
    ) -> None:
        """Compute nothing yet.

        :param quarantine: decides about causes of crashes
        :param request_id: of the request, for the log
        :param compute_causes: called once, and only while there are suspects
            or after the request was cut off
        """
        self._quarantine = quarantine
        self._request_id = request_id
        self._compute_causes = compute_causes

    @functools.cached_property
    def causes(self) -> crash_causes.RequestCauses:
        """List what the request may crash endpoints by.

        :return: itself, and the parts of its prompt that others may hold
        """
        return self._compute_causes()

    @property
    def fingerprint(self) -> int:
        """Return what identifies the request when it is sent again.

        :return: a 64-bit hash
        """
        return self.causes.fingerprint

    def refusal(self) -> crash_suspects.Verdict | None:
        """Decide whether the request must be refused.

        :return: the verdict to refuse it with, or None
        """
        return self._log_refusal(self._judge())

    def begin_sending(self) -> crash_suspects.Verdict | None:
        """Decide whether the request may be sent now, perhaps as a trial.

        :return: the verdict to refuse it with, or None
        """
        verdict = self._judge()
        if not verdict.quarantined:
            self._quarantine.record_sending(self._read_fingerprint)
        return self._log_refusal(verdict)

    def needs_lease(self) -> bool:
        """Tell whether the request is sent one copy at a time.

        :return: whether crashes cut off several copies of it
        """
        return self._quarantine.needs_lease(self._read_fingerprint)

    def lease_key(self) -> int:
        """Tell which requests aren't sent together with this one.

        :return: what identifies their lease
        """
        return self._quarantine.lease_key(self.fingerprint)

    def count_crashes(self) -> int:
        """Count the crashes that this request may have caused.

        :return: those that are known by now
        """
        return self._quarantine.count_crashes(self._read_fingerprint)

    def record_success(self) -> None:
        """Record that the request ran to its end."""
        self._quarantine.record_success(
            self._request_id, self._read_fingerprint
        )

    def _log_refusal(
        self, verdict: crash_suspects.Verdict
    ) -> crash_suspects.Verdict | None:
        if not verdict.quarantined:
            return None
        self._quarantine.log_refusal(
            self._request_id, self.fingerprint, verdict
        )
        return verdict

    def _judge(self) -> crash_suspects.Verdict:
        return self._quarantine.judge(self._read_fingerprint)

    def _read_fingerprint(self) -> int:
        return self.fingerprint


__all__ = [
    "RequestGuard",
]
