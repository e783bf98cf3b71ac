"""Messages on crashed endpoints and the requests that ran there."""

from __future__ import annotations

from typing import NamedTuple


class Suspect(NamedTuple):
    """A request that ran on an endpoint for some time until that crashed."""

    fingerprint: int
    ran_milliseconds: int


class CrashReport(NamedTuple):
    """A crash of an endpoint, identified by a hash of the endpoint's life.

    ``suspects`` are the requests that ran there and haven't completed anywhere
    since, ``cleared`` the fingerprints of those that have.
    """

    crash: int
    age_milliseconds: int
    suspects: tuple[Suspect, ...]
    cleared: tuple[int, ...]


class TrialReport(NamedTuple):
    """A quarantined request that was sent once more to find out about it."""

    fingerprint: int
    age_milliseconds: int


class CrashNews(NamedTuple):
    """What an instance knows of crashes, whole or only what changed.

    ``digest`` covers all crashes that the sender knows.
    """

    digest: int
    crashes: tuple[CrashReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()


class SuspectLeaseAsked(NamedTuple):
    """Asks for the right to have a suspected request sent, or renews it.

    ``key`` identifies the requests of which one is sent at a time, ``number``
    tells the leases of the sender apart.
    """

    key: int
    number: int


class SuspectLeaseAnswer(NamedTuple):
    """Tells whether a lease is issued."""

    key: int
    number: int
    issued: bool


class SuspectLeaseEnded(NamedTuple):
    """Ends a lease that its holder doesn't need any more."""

    key: int
    number: int


KINDS = (
    CrashNews,
    SuspectLeaseAnswer,
    SuspectLeaseAsked,
    SuspectLeaseEnded,
)


__all__ = [
    "CrashNews",
    "CrashReport",
    "KINDS",
    "Suspect",
    "SuspectLeaseAnswer",
    "SuspectLeaseAsked",
    "SuspectLeaseEnded",
    "TrialReport",
]
