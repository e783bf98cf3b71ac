"""Messages by which the instances of a data centre agree on a view."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.protocol import ids


class ViewId(NamedTuple):
    """Identifies a view; a later one of the same data centre is larger."""

    epoch: int
    number: int


NO_VIEW = ViewId(0, 0)


class Ballot(NamedTuple):
    """The right to propose, totally ordered; the owner is an incarnation."""

    round: int
    owner: str


NO_BALLOT = Ballot(0, "")


class ViewRecord(NamedTuple):
    """A view on the wire; ``members`` is in the order of joining."""

    data_centre: str
    epoch: int
    number: int
    members: tuple[ids.InstanceId, ...]


class Greeting(NamedTuple):
    """Asks the process at an address for its identity and its view."""

    sent_seconds: float


class Standing(NamedTuple):
    """Answers a greeting, or tells an outdated sender the current state.

    ``echo_seconds`` repeats the greeting's clock reading, zero if there was
    none. ``view_id`` is ``NO_VIEW`` for a process that is in no view.
    """

    echo_seconds: float
    view_id: ViewId
    highest_id: ViewId
    covered: bool
    steward: ids.InstanceId | None


class Join(NamedTuple):
    """Asks the leader to add the sender to the next view."""


class Leave(NamedTuple):
    """Asks the leader to remove the sender in the next view."""


class Beat(NamedTuple):
    """A member's heartbeat; confirms the promise that it gave the leader.

    ``quiet`` has the positions in the view of the members whose heartbeats
    to the sender are missing.
    """

    view_id: ViewId
    round: int
    echo_seconds: float
    sent_seconds: float
    quiet: tuple[int, ...] = ()


class Renewal(NamedTuple):
    """Answers a heartbeat with a lease that starts at its sending time."""

    view_id: ViewId
    round: int
    echo_seconds: float
    sent_seconds: float
    lease_seconds: float


class Relayed(NamedTuple):
    """Answers a heartbeat on the leader's behalf, with a shorter lease."""

    view_id: ViewId
    ballot: Ballot
    echo_seconds: float
    lease_seconds: float


class Prepare(NamedTuple):
    """Asks a voter to promise a ballot."""

    view_id: ViewId
    round: int
    sent_seconds: float


class Promise(NamedTuple):
    """Promises a ballot, with the successor that the voter has accepted."""

    view_id: ViewId
    round: int
    echo_seconds: float
    accepted_ballot: Ballot
    accepted: ViewRecord | None


class Refusal(NamedTuple):
    """Refuses a ballot, with the one that it would have to exceed."""

    view_id: ViewId
    ballot: Ballot


class Change(NamedTuple):
    """Proposes the successor of a view, whose rights stop on receipt."""

    view_id: ViewId
    round: int
    successor: ViewRecord


class ChangeAck(NamedTuple):
    """Accepts a successor and confirms that the old rights have stopped.

    ``relayed`` has the positions of the members to which the sender has
    relayed leases, and the remaining time of each lease.
    """

    view_id: ViewId
    round: int
    sent_seconds: float
    relayed: tuple[tuple[int, float], ...] = ()


class Install(NamedTuple):
    """Puts a decided view into effect.

    ``leading`` asks for a promise to the sender, who owns the ballot;
    ``released`` ends the promises that it was given.
    """

    view: ViewRecord
    ballot: Ballot
    sent_seconds: float
    leading: bool
    released: bool


class Foundation(NamedTuple):
    """Proposes the first view of an epoch."""

    view: ViewRecord
    sent_seconds: float


class FoundationAck(NamedTuple):
    """Agrees to the first view of an epoch."""

    epoch: int
    echo_seconds: float


class Known(NamedTuple):
    """The latest view of one data centre that the sender knows."""

    data_centre: str
    epoch: int
    number: int


class Digest(NamedTuple):
    """Which views the sender knows; ``answer`` asks for a digest in return.

    The first digest of an exchange has only the checksum, and is not answered
    if the receiver has the same.
    """

    checksum: int
    known: tuple[Known, ...]
    answer: bool


class News(NamedTuple):
    """Sends views that the receiver's digest lacked."""

    views: tuple[ViewRecord, ...]


KINDS: tuple[type, ...] = (
    Greeting,
    Standing,
    Join,
    Leave,
    Beat,
    Renewal,
    Relayed,
    Prepare,
    Promise,
    Refusal,
    Change,
    ChangeAck,
    Install,
    Foundation,
    FoundationAck,
    Digest,
    News,
)

__all__ = [
    "KINDS",
    "NO_BALLOT",
    "NO_VIEW",
    "Ballot",
    "Beat",
    "Change",
    "ChangeAck",
    "Digest",
    "Foundation",
    "FoundationAck",
    "Greeting",
    "Install",
    "Join",
    "Known",
    "Leave",
    "News",
    "Prepare",
    "Promise",
    "Refusal",
    "Relayed",
    "Renewal",
    "Standing",
    "ViewId",
    "ViewRecord",
]
