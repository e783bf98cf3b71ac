"""The endpoints of each data centre, and which of them are leaving."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Literal
from typing import NamedTuple

from boragefold.protocol import config_messages as messages
from boragefold.state import documents

# A day's replacements at the size designed for; the oldest go first.
MAX_MARKS = 4096


class EndpointRecord(NamedTuple):
    """An endpoint; ``state`` is leaving if the tree or the list says so."""

    data_centre: str
    name: str
    address: str
    model: str
    role: str
    slots: int
    batch_size: int
    checks_fencing: bool
    state: Literal["live", "leaving"]


class EndpointIndex:
    """Endpoints by data centre and by address."""

    def __init__(self) -> None:
        self._data_centres: dict[str, dict[str, EndpointRecord]] = {}
        self._by_address: dict[str, EndpointRecord] = {}
        self._marks: dict[str, messages.LeavingMark] = {}
        self._subscribers: list[Callable[[EndpointRecord], None]] = []

    def subscribe(self, callback: Callable[[EndpointRecord], None]) -> None:
        """Be told of each endpoint that has begun to leave.

        :param callback: called with the endpoint
        """
        self._subscribers.append(callback)

    def of_data_centre(self, data_centre: str) -> list[EndpointRecord]:
        """Read the endpoints of a data centre, leaving ones included.

        :param data_centre: its name
        :return: the endpoints
        """
        published = self._data_centres.get(data_centre, {})
        return [self._with_mark(record) for record in published.values()]

    def at(self, address: str) -> EndpointRecord | None:
        """Find an endpoint.

        :param address: its address
        :return: the endpoint, or None when none is published there
        """
        record = self._by_address.get(address)
        return None if record is None else self._with_mark(record)

    def data_centres(self) -> list[str]:
        """Read which data centres have published endpoints.

        :return: their names
        """
        return list(self._data_centres)

    def replace(
        self,
        *,
        data_centre: str,
        document: dict[str, documents.Endpoint] | None,
    ) -> None:
        """Take over the endpoints of a data centre.

        :param data_centre: its name
        :param document: its endpoints, None after a deletion
        """
        before = self._data_centres.pop(data_centre, {})
        was_leaving = {
            record.address
            for record in map(self._with_mark, before.values())
            if record.state == "leaving"
        }
        for record in before.values():
            self._by_address.pop(record.address, None)
        after = {
            name: EndpointRecord(data_centre, name, **endpoint)
            for name, endpoint in (document or {}).items()
        }
        if after:
            self._data_centres[data_centre] = after
        for record in after.values():
            self._by_address[record.address] = record
            if record.address not in was_leaving:
                self._announce(record)

    def mark(
        self, marks: Iterable[messages.LeavingMark]
    ) -> list[messages.LeavingMark]:
        """Take over what a list says of addresses, unless it is outdated.

        :param marks: from the platform's list or from a peer
        :return: those that were news
        """
        return [mark for mark in marks if self._mark(mark)]

    def marks(self) -> list[messages.LeavingMark]:
        """Read all marks, those undone included.

        :return: the marks
        """
        return list(self._marks.values())

    def __iter__(self) -> Iterator[EndpointRecord]:
        return map(self._with_mark, self._by_address.values())

    def __len__(self) -> int:
        return len(self._by_address)

    def _mark(self, mark: messages.LeavingMark) -> bool:
        # A reader with an older list must not undo a newer "leaving".
        known = self._marks.get(mark.address)
        if known is not None and known.list_revision >= mark.list_revision:
            return False
        self._marks.pop(mark.address, None)
        self._marks[mark.address] = mark
        if len(self._marks) > MAX_MARKS:
            del self._marks[next(iter(self._marks))]
        if (known is not None and known.leaving) == mark.leaving:
            return False
        record = self._by_address.get(mark.address)
        if record is not None and record.state == "live":
            self._announce(record)
        return True

    def _announce(self, published: EndpointRecord) -> None:
        record = self._with_mark(published)
        if record.state == "leaving":
            for callback in self._subscribers:
                callback(record)

    def _with_mark(self, record: EndpointRecord) -> EndpointRecord:
        mark = self._marks.get(record.address)
        if mark is None or not mark.leaving or record.state == "leaving":
            return record
        return record._replace(state="leaving")


__all__ = [
    "EndpointIndex",
    "EndpointRecord",
]
