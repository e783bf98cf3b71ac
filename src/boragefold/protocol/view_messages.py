"""Messages by which the instances of a data centre agree on a view."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.protocol import ids


class ViewId(NamedTuple):
    """Which view: a later one of the same data centre is larger."""

    epoch: int
    number: int


NO_VIEW = ViewId(0, 0)


class Ballot(NamedTuple):
    """The right to propose, ordered; the owner is an incarnation."""

    round: int
    owner: str


NO_BALLOT = Ballot(0, "")


class ViewRecord(NamedTuple):
    """A view as it travels; ``members`` is in the order of joining."""

    data_centre: str
    epoch: int
    number: int
    members: tuple[ids.InstanceId, ...]


class Greeting(NamedTuple):
    """Asks the process at an address who it is and what it takes part in."""

    sent_seconds: float


class Standing(NamedTuple):
    """Answers a greeting, or tells an outdated sender where things stand.

    ``echo_seconds`` repeats the greeting's clock reading, zero if there was
    none. ``view_id`` is ``NO_VIEW`` for a process that takes part in none.
    """

    echo_seconds: float
    view_id: ViewId
    highest_id: ViewId
    covered: bool
    steward: ids.InstanceId | None


class Join(NamedTuple):
    """Asks the leader to be taken into the next view."""


class Leave(NamedTuple):
    """Asks the leader to be left out of the next view."""


class Beat(NamedTuple):
    """A member's heartbeat; confirms the promise that it gave the leader.

    ``quiet`` has the places in the view of those members that should beat to
    the sender and don't.
    """

    view_id: ViewId
    round: int
    echo_seconds: float
    sent_seconds: float
    quiet: tuple[int, ...] = ()


class Renewal(NamedTuple):
    """Answers a heartbeat with a lease, counted from the heartbeat."""

    view_id: ViewId
    round: int
    echo_seconds: float
    sent_seconds: float
    lease_seconds: float


class Relayed(NamedTuple):
    """Answers a heartbeat in the leader's stead, with a shorter lease."""

    view_id: ViewId
    ballot: Ballot
    echo_seconds: float
    lease_seconds: float


class Prepare(NamedTuple):
    """Asks a voter for its promise."""

    view_id: ViewId
    round: int
    sent_seconds: float


class Promise(NamedTuple):
    """Gives a promise, with the successor that the voter has accepted."""

    view_id: ViewId
    round: int
    echo_seconds: float
    accepted_ballot: Ballot
    accepted: ViewRecord | None


class Refusal(NamedTuple):
    """Refuses a ballot, naming the one that it would have to exceed."""

    view_id: ViewId
    ballot: Ballot


class Change(NamedTuple):
    """Proposes the successor of a view; its rights stop on receipt."""

    view_id: ViewId
    round: int
    successor: ViewRecord


class ChangeAck(NamedTuple):
    """Accepts a successor and confirms that the old rights have stopped.

    ``relayed`` has the places of members to which the sender has passed on
    leases, and how long these will last yet.
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
    """The latest view of one data centre that somebody knows."""

    data_centre: str
    epoch: int
    number: int


class Digest(NamedTuple):
    """Which views the sender knows; ``answer`` asks for one in return.

    The first one of an exchange has only the checksum, and is not answered
    if the receiver has the same.
    """

    checksum: int
    known: tuple[Known, ...]
    answer: bool


class News(NamedTuple):
    """Views that the receiver's digest lacked."""

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
