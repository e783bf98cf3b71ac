"""Where streams began, kept at other instances than those that serve them.

An instance that passes on the first event of a stream tells a few keepers
which life of an endpoint sent it. Whoever takes the stream up asks them.
Nothing is stored, and a restarted keeper has forgotten what it kept.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
from typing import NamedTuple

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.policy import origin_book
from boragefold.policy import origin_keepers
from boragefold.protocol import ids
from boragefold.protocol import origin_messages as messages
from boragefold.state import deployment
from boragefold.timing import timers as timing

# A keeper answers within milliseconds; a lost question is asked once more.
ASK_SECONDS = 0.1
MAX_QUESTIONS = 2
# An instance has met the others by then; until then it may know no keeper.
JOIN_SECONDS = 3.0
MAX_QUESTIONS_JOINING = 8


class Source(enum.Enum):
    """Who knew the origin of a stream, or why nobody did."""

    OWN = "own"
    KEEPER = "keeper"
    NOBODY = "nobody"
    SILENT = "silent_keepers"


class FoundOrigin(NamedTuple):
    """The result of a search; ``origin`` is None if nobody told it.

    ``asked`` is how many keepers were asked.
    """

    origin: deployment.EndpointLife | None
    source: Source
    asked: int
    took_seconds: float


OnFound = Callable[[FoundOrigin], None]


@dataclasses.dataclass(kw_only=True)
class OriginSearch:
    """A search that keepers are being asked for."""

    waiting: list[OnFound]
    began_at_seconds: float
    asked: set[str] = dataclasses.field(default_factory=set)
    silent: dict[str, ids.InstanceId] = dataclasses.field(default_factory=dict)
    questions: int = 0
    next_step: timing.Subscription | None = None


class StreamOrigins:
    """Tells keepers where streams began, and asks them."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
    ) -> None:
        """Subscribe to the messages.

        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        """
        self._link = link
        self._members = members
        self._timers = timers
        self._book = origin_book.OriginBook()
        self._searches: dict[int, OriginSearch] = {}
        link.subscribe(messages.StreamBegan, self._handle_began)
        link.subscribe(messages.StreamOriginAsked, self._handle_asked)
        link.subscribe(messages.StreamOriginAnswer, self._handle_answer)

    def publish(
        self,
        key: int,
        origin: deployment.EndpointLife,
        *,
        keep_seconds: float,
    ) -> None:
        """Keep the origin of a stream, and tell its keepers.

        :param key: identifies the stream
        :param origin: the life that sent its first event
        :param keep_seconds: how long its caller may come back
        """
        self._record(key, origin, keep_seconds)
        keepers = origin_keepers.choose_keepers(
            key, self._members.staying(), own=self._link.self_id
        )
        began = messages.StreamBegan(
            key=key,
            service=origin.service,
            endpoint=origin.endpoint,
            born_milliseconds=origin.born_milliseconds,
            software_version=origin.software_version,
            keep_milliseconds=round(keep_seconds * 1000),
        )
        self._link.send_all(to=keepers, body=began)

    def find(self, key: int, on_found: OnFound) -> None:
        """Find out where a stream began.

        :param key: identifies the stream
        :param on_found: called once, perhaps inside this call
        """
        origin = self._look_up(key)
        if origin is not None:
            on_found(FoundOrigin(origin, Source.OWN, 0, 0.0))
            return
        search = self._searches.get(key)
        if search is not None:
            search.waiting.append(on_found)
            return
        search = OriginSearch(
            waiting=[on_found], began_at_seconds=self._timers.now_seconds()
        )
        self._searches[key] = search
        self._ask(key, search)

    def _ask(self, key: int, search: OriginSearch) -> None:
        self._choose_asked(key, search)
        if self._is_known_by_nobody(search):
            self._end(key, search, None, Source.NOBODY)
        elif search.questions >= (
            MAX_QUESTIONS_JOINING if self._is_joining() else MAX_QUESTIONS
        ):
            self._end(key, search, None, Source.SILENT)
        else:
            search.questions += 1
            self._link.send_all(
                to=search.silent.values(), body=messages.StreamOriginAsked(key)
            )
            search.next_step = self._timers.once(
                delay_seconds=ASK_SECONDS,
                callback=lambda: self._ask(key, search),
            )

    def _choose_asked(self, key: int, search: OriginSearch) -> None:
        # More members may be known than at the last question.
        asked = origin_keepers.choose_asked(
            key, self._members.staying(), own=self._link.self_id
        )
        for each in asked:
            if each.address not in search.asked:
                search.asked.add(each.address)
                search.silent[each.address] = each

    def _is_known_by_nobody(self, search: OriginSearch) -> bool:
        return not search.silent and not self._is_joining()

    def _is_joining(self) -> bool:
        return self._members.uptime_seconds < JOIN_SECONDS

    def _end(
        self,
        key: int,
        search: OriginSearch,
        origin: deployment.EndpointLife | None,
        source: Source,
    ) -> None:
        if search.next_step is not None:
            search.next_step.cancel()
        del self._searches[key]
        took_seconds = self._timers.now_seconds() - search.began_at_seconds
        found = FoundOrigin(origin, source, len(search.asked), took_seconds)
        for on_found in search.waiting:
            on_found(found)

    def _record(
        self, key: int, origin: deployment.EndpointLife, keep_seconds: float
    ) -> None:
        self._book.record(
            key,
            origin,
            keep_seconds=keep_seconds,
            now_seconds=self._timers.now_seconds(),
        )

    def _look_up(self, key: int) -> deployment.EndpointLife | None:
        return self._book.find(key, now_seconds=self._timers.now_seconds())

    def _handle_began(
        self, sender: ids.InstanceId, began: messages.StreamBegan
    ) -> None:
        self._record(
            began.key, _read_life(began), began.keep_milliseconds / 1000
        )

    def _handle_asked(
        self, sender: ids.InstanceId, asked: messages.StreamOriginAsked
    ) -> None:
        origin = self._look_up(asked.key)
        answer = messages.StreamOriginAnswer(asked.key, known=False)
        if origin is not None:
            answer = messages.StreamOriginAnswer(
                key=asked.key,
                known=True,
                service=origin.service,
                endpoint=origin.endpoint,
                born_milliseconds=origin.born_milliseconds,
                software_version=origin.software_version,
            )
        self._link.send(to=sender, body=answer)

    def _handle_answer(
        self, sender: ids.InstanceId, answer: messages.StreamOriginAnswer
    ) -> None:
        search = self._searches.get(answer.key)
        if search is None:
            return
        search.silent.pop(sender.address, None)
        if answer.known:
            self._end(answer.key, search, _read_life(answer), Source.KEEPER)
        elif self._is_known_by_nobody(search):
            self._end(answer.key, search, None, Source.NOBODY)


def _read_life(
    body: messages.StreamBegan | messages.StreamOriginAnswer,
) -> deployment.EndpointLife:
    return deployment.EndpointLife(
        service=body.service,
        endpoint=body.endpoint,
        born_milliseconds=body.born_milliseconds,
        software_version=body.software_version,
    )


__all__ = [
    "FoundOrigin",
    "OnFound",
    "Source",
    "StreamOrigins",
]
