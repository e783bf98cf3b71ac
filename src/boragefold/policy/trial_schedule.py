"""When a convicted cause is tried once more."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.policy import convictions
from boragefold.policy import crash_attribution

# Time from the last crash until one more request is let through, by the number
# of trials that crashed an endpoint, with all that ran there.
TRIAL_SECONDS = (60.0, 600.0)
# The same for the first trial, where endpoints crash without a culprit, too.
DOUBTED_TRIAL_SECONDS = 0.5
# Instances that know the same don't all begin a trial at the same time.
TRIAL_JITTER = 0.5
# Crashes without a culprit cast doubt for so long.
DOUBT_SECONDS = 30.0
# The caller of a culprit has sent it again by then.
REPEATED_SECONDS = 3.0


class TrialSchedule:
    """Computes the time from the last crash until the next trial."""

    def __init__(self, *, trial_jitter: float) -> None:
        """Compute nothing yet.

        :param trial_jitter: from 0 to 1, different at each instance
        """
        self._delay_factor = 1.0 + TRIAL_JITTER * trial_jitter

    def delay_seconds(
        self,
        conviction: convictions.Conviction,
        crashes: Iterable[crash_attribution.Crash],
        is_repeated: Callable[[int], bool],
        *,
        now_seconds: float,
    ) -> float:
        """Compute how long a convict waits behind its last crash.

        :param conviction: the evidence against it
        :param crashes: all that are known
        :param is_repeated: whether several crashes speak against a cause
        :param now_seconds: reading of the process clock
        :return: a duration
        """
        failed_trials = (
            conviction.causes - crash_attribution.CONVICTION_CRASHES
        )
        if failed_trials >= len(TRIAL_SECONDS):
            return convictions.CONVICTION_LIFETIME_SECONDS
        wait_seconds = TRIAL_SECONDS[failed_trials]
        if not failed_trials and _has_other_causes(
            conviction, crashes, is_repeated, now_seconds
        ):
            wait_seconds = DOUBTED_TRIAL_SECONDS
        return self._delay_factor * wait_seconds


def _has_other_causes(
    conviction: convictions.Conviction,
    crashes: Iterable[crash_attribution.Crash],
    is_repeated: Callable[[int], bool],
    now_seconds: float,
) -> bool:
    since_seconds = conviction.first_crash_at_seconds - DOUBT_SECONDS
    return any(
        crash.at_seconds > since_seconds
        and crash_attribution.has_no_culprit(
            crash,
            is_repeated,
            settled=now_seconds - crash.at_seconds >= REPEATED_SECONDS,
        )
        for crash in crashes
    )


__all__ = [
    "DOUBTED_TRIAL_SECONDS",
    "REPEATED_SECONDS",
    "TRIAL_SECONDS",
    "TrialSchedule",
]
