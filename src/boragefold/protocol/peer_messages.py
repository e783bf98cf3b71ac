"""Messages between entry instances.

Every message may be lost, duplicated or delayed. Messages carry durations
instead of times, because the clocks of the instances are unrelated.
"""

from __future__ import annotations

from typing import NamedTuple

from boragefold.protocol import crash_messages
from boragefold.protocol import ids
from boragefold.protocol import load_messages
from boragefold.protocol import origin_messages
from boragefold.protocol import path_messages
from boragefold.protocol import published_messages
from boragefold.protocol import rate_ledger_messages


class EngineStatus(NamedTuple):
    """The state of an engine, sent by the instance that schedules it.

    ``adapters`` are pairs of model and adapter, ``loading`` is the number of
    adapters that are being loaded. ``orders_in_seconds`` is how long nothing
    can be loaded: after the scheduler's start, and while another instance
    issues orders. ``answers`` is false while the engine sends its owner no
    report. ``copies`` are digests of the adapters in its host memory.
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
    """The part of an :class:`EngineStatus` that changes continuously."""

    backlog_milliseconds: int
    place_wait_milliseconds: int
    loading: int
    orders_in_milliseconds: int


class EngineChange(NamedTuple):
    """The difference between an engine's status and the one sent before.

    ``place`` is the engine's index among its owner's engines. Dropped
    adapters and copies are given by their indexes in the status before.
    """

    place: int
    load: EngineLoad
    answers: bool
    dropped_adapters: tuple[int, ...] = ()
    new_adapters: tuple[tuple[str, str], ...] = ()
    dropped_copies: tuple[int, ...] = ()
    new_copies: tuple[int, ...] = ()


class Beat(NamedTuple):
    """The state of an instance, with the parts that change continuously.

    ``told`` has by prefix the revision of the newest published change that the
    sender has and that matters to those who don't read the store.
    ``store_lost`` means that the store doesn't answer the sender.
    ``unheard`` are the addresses of the peers that it sends to and receives
    nothing from, ``avoids`` the engines that it can't reach.
    ``link_megabits`` is the speed of its network link per second.
    ``store_sound`` means that it reads the store, recently without failures.
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
    """The part of a :class:`Beat` that hubs relay and that rarely changes.

    ``uptime_seconds`` is the instance's uptime when the hub sends it.
    """

    uptime_seconds: float
    leaving: bool
    store_lost: bool
    avoids: tuple[str, ...]
    link_megabits: float
    store_sound: bool


class Told(NamedTuple):
    """A hub's report on another instance; None means unchanged.

    ``number`` identifies the instance in the reports of this hub.
    ``said_milliseconds`` is the instance's uptime when it sent this state: of
    the reports of two hubs the newer state is used. ``engines`` are complete,
    ``changes`` are relative to the engines that were sent last.
    """

    number: int
    said_milliseconds: int
    instance: ids.InstanceId | None = None
    standing: Standing | None = None
    engines: tuple[EngineStatus, ...] | None = None
    changes: tuple[EngineChange, ...] | None = None


class Report(NamedTuple):
    """The instances that a hub hears, and their states.

    It holds what changed since the report numbered ``since``; None means a
    report of everything. ``silent`` are the numbers of instances that the hub
    no longer hears. ``first_hand`` means that the hub has all of it from the
    instances themselves.
    """

    number: int
    since: int | None
    first_hand: bool
    told: tuple[Told, ...]
    silent: tuple[int, ...]


class Heartbeat(NamedTuple):
    """A heartbeat; a hub adds a report on the instances that it hears.

    ``lacks`` are the addresses of the hubs whose reports the sender missed.
    A hub sends its rate ledger ``entry`` to other hubs, and the ``totals`` to
    the instances that send to it. ``to_hub`` means that the sender uses the
    receiver as its hub, and asks for its reports.
    """

    beat: Beat
    report: Report | None = None
    lacks: tuple[str, ...] = ()
    account: rate_ledger_messages.Account | None = None
    entry: rate_ledger_messages.ToldEntry | None = None
    totals: rate_ledger_messages.Totals | None = None
    to_hub: bool = False


class Introduction(NamedTuple):
    """Instances that the sender knows.

    ``heard`` asks for an answer, and is the number of peers that the sender
    hears; None asks for none. ``digest`` covers all instances that it knows:
    a receiver that knows others sends them; 0 compares nothing.
    """

    members: tuple[ids.InstanceId, ...]
    heard: int | None
    digest: int = 0


class Pull(NamedTuple):
    """Asks for changes published after ``told``, the revisions by prefix."""

    told: dict[str, int]


class PublishedItem(NamedTuple):
    """An item of the store; ``value`` is None after a removal."""

    key: str
    revision: int
    value: bytes | None


class Published(NamedTuple):
    """Published items, complete from the requested revisions to ``told``.

    ``settling_seconds`` is how long removals among them are still deferred,
    because the store has just become available again.
    """

    told: dict[str, int]
    items: tuple[PublishedItem, ...]
    settling_seconds: float = 0.0


class EngineAsk(NamedTuple):
    """Asks the scheduler of an engine to run a request there.

    ``unanswered`` counts how often it was sent before without any answer. An
    ``eager`` one is refused if it would be late.
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
    """Answers a repeated :class:`EngineAsk`: the request is still queued."""

    request_id: str
    engine: str


class EngineGrant(NamedTuple):
    """Lets a request run; ``version`` is that of its adapter, 0 for any.

    The durations are its waits at the owner: until its adapter was ordered,
    until the adapter was loaded, and until the engine had capacity.
    """

    request_id: str
    engine: str
    version: int
    place_wait_seconds: float = 0.0
    load_wait_seconds: float = 0.0
    turn_wait_seconds: float = 0.0


class EngineRefusal(NamedTuple):
    """Reports that a request will not run at an engine, and why.

    ``wait_seconds`` is the estimated wait of an eager one.
    """

    request_id: str
    engine: str
    reason: str
    retry_after_seconds: float
    wait_seconds: float = 0.0


class RunStarted(NamedTuple):
    """Reports to the scheduler that an answer has begun."""

    request_id: str
    engine: str


class RunEnded(NamedTuple):
    """Reports to the scheduler that a request has ended.

    ``not_held`` means that the engine refused it for lack of its adapter.
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
    *crash_messages.KINDS,
    *load_messages.KINDS,
    *origin_messages.KINDS,
    *path_messages.KINDS,
    *published_messages.KINDS,
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
