"""What entry instances tell each other.

Every message may be lost, doubled or late. Durations travel instead of
times, because the instances' clocks have nothing in common.
"""

from __future__ import annotations

from typing import NamedTuple

from boragefold.protocol import ids
from boragefold.protocol import rate_ledger_messages


class EngineStatus(NamedTuple):
    """What the instance that schedules an engine tells of it.

    ``adapters`` are pairs of model and adapter, ``loading`` is how many
    adapters are on their way to it. ``orders_in_seconds`` is how long nothing
    can be loaded: after the scheduler's start, and while another instance
    gives orders. ``answers`` is false while the engine gives its owner no
    report. ``copies`` are digests of the adapters that it keeps copies of.
    """

    name: str
    models: tuple[str, ...]
    adapters: tuple[tuple[str, str], ...]
    backlog_seconds: float
    place_wait_seconds: float
    loading: int
    orders_in_seconds: float
    answers: bool = True
    copies: tuple[int, ...] = ()


class EngineLoad(NamedTuple):
    """The part of an :class:`EngineStatus` that changes all the time."""

    backlog_milliseconds: int
    place_wait_milliseconds: int
    loading: int
    orders_in_milliseconds: int


class EngineChange(NamedTuple):
    """What changed of an engine that was told before.

    ``place`` is where it stands among its owner's engines, and ``dropped``
    ones are named by where they stood before.
    """

    place: int
    load: EngineLoad
    answers: bool
    dropped_adapters: tuple[int, ...] = ()
    new_adapters: tuple[tuple[str, str], ...] = ()
    dropped_copies: tuple[int, ...] = ()
    new_copies: tuple[int, ...] = ()


class Beat(NamedTuple):
    """What an instance tells of itself, with what changes all the time.

    ``told`` has by prefix the revision of the newest published change that the
    sender has and that matters to those who don't read the store;
    ``store_lost`` tells that
    the store doesn't answer it. ``unheard`` are the addresses of
    the peers that it speaks to and doesn't hear, and ``avoids`` the engines
    that it can't reach. ``link_megabits`` is the speed of its network link,
    ``store_sound`` tells that it reads the store and lately always could.
    """

    uptime_seconds: float
    leaving: bool
    told: dict[str, int]
    engines: tuple[EngineStatus, ...]
    unheard: tuple[str, ...]
    store_lost: bool = False
    avoids: tuple[str, ...] = ()
    link_megabits: float = 0.0
    store_sound: bool = False


class Standing(NamedTuple):
    """The part of a :class:`Beat` that hubs pass on and that seldom changes.

    ``uptime_seconds`` is the instance's when the hub tells of it.
    """

    uptime_seconds: float
    leaving: bool
    store_lost: bool
    avoids: tuple[str, ...]
    link_megabits: float
    store_sound: bool


class Told(NamedTuple):
    """What a hub tells of another instance; None is what didn't change.

    ``number`` stands for the instance in the reports of this hub.
    ``said_milliseconds`` is the uptime at which the instance said it: of two
    hubs the one with the newer word is believed. ``engines`` are told whole,
    ``changes`` are of those that were told last.
    """

    number: int
    said_milliseconds: int
    instance: ids.InstanceId | None = None
    standing: Standing | None = None
    engines: tuple[EngineStatus, ...] | None = None
    changes: tuple[EngineChange, ...] | None = None


class Report(NamedTuple):
    """Which instances a hub hears, and what they tell.

    It holds what changed since the report numbered ``since``; None is a report
    of everything. ``silent`` are the numbers of instances that the hub hears
    no longer. ``first_hand`` tells that the hub has all of it from the
    instances themselves.
    """

    number: int
    since: int | None
    first_hand: bool
    told: tuple[Told, ...]
    silent: tuple[int, ...]


class Heartbeat(NamedTuple):
    """A heartbeat; from a hub with what it hears.

    ``lacks`` are the addresses of the hubs whose reports the sender missed.
    A hub tells other hubs its ``entry`` of what it counts of rates, and the
    instances that speak to it the ``totals``. ``to_hub`` tells that the sender
    takes the receiver for its hub, and wants to be told what that one hears.
    """

    beat: Beat
    report: Report | None = None
    lacks: tuple[str, ...] = ()
    account: rate_ledger_messages.Account | None = None
    entry: rate_ledger_messages.ToldEntry | None = None
    totals: rate_ledger_messages.Totals | None = None
    to_hub: bool = False


class Introduction(NamedTuple):
    """The instances that the sender tells of.

    ``heard`` asks for an answer, and tells how many peers the sender hears;
    None asks for nothing. ``digest`` stands for all instances that it knows:
    who knows others tells them; 0 compares nothing.
    """

    members: tuple[ids.InstanceId, ...]
    heard: int | None
    digest: int = 0


class Pull(NamedTuple):
    """Asks for what was published since; by prefix, what the asker has."""

    told: dict[str, int]


class PublishedItem(NamedTuple):
    """An item as the store has it; ``value`` is None after a removal."""

    key: str
    revision: int
    value: bytes | None


class Published(NamedTuple):
    """Published items; complete up to ``told`` from what was asked.

    ``settling_seconds`` is how long removals among them still wait, because
    the store has just returned.
    """

    told: dict[str, int]
    items: tuple[PublishedItem, ...]
    settling_seconds: float = 0.0


class EngineAsk(NamedTuple):
    """Asks the scheduler of an engine to let a request run there.

    ``unanswered`` counts the times that it was sent before with no answer of
    any kind. An ``eager`` one is refused where it would be late.
    """

    request_id: str
    engine: str
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    on_time_in_seconds: float
    give_up_in_seconds: float
    ends_in_seconds: float
    unanswered: int = 0
    eager: bool = False
    event_gap_seconds: float = 0.0


class EngineWaits(NamedTuple):
    """Tells whoever asks once more that the request waits."""

    request_id: str
    engine: str


class EngineGrant(NamedTuple):
    """Lets a request run; ``version`` is that of its adapter, 0 for any.

    The rest is what it waited for at the owner: until its adapter was
    ordered, until that was there, and until the engine had room.
    """

    request_id: str
    engine: str
    version: int
    place_wait_seconds: float = 0.0
    load_wait_seconds: float = 0.0
    turn_wait_seconds: float = 0.0


class EngineRefusal(NamedTuple):
    """Tells that a request will not run at an engine, and why.

    ``wait_seconds`` is what an eager one would have had to wait.
    """

    request_id: str
    engine: str
    reason: str
    retry_after_seconds: float
    wait_seconds: float = 0.0


class RunStarted(NamedTuple):
    """Tells the scheduler that an answer has begun."""

    request_id: str
    engine: str


class RunEnded(NamedTuple):
    """Tells the scheduler that a request is over.

    ``not_held`` says that the engine refused it for want of its adapter.
    """

    request_id: str
    engine: str
    not_held: bool


KINDS = (
    EngineAsk,
    EngineGrant,
    EngineRefusal,
    EngineWaits,
    Heartbeat,
    Introduction,
    Published,
    Pull,
    RunEnded,
    RunStarted,
    *rate_ledger_messages.KINDS,
)


__all__ = [
    "Beat",
    "EngineAsk",
    "EngineChange",
    "EngineGrant",
    "EngineLoad",
    "EngineRefusal",
    "EngineStatus",
    "EngineWaits",
    "Heartbeat",
    "Introduction",
    "KINDS",
    "Published",
    "PublishedItem",
    "Pull",
    "Report",
    "RunEnded",
    "RunStarted",
    "Standing",
    "Told",
]
