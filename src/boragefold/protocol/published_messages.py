"""Messages that compare what two instances know of the published items."""

from __future__ import annotations

from typing import NamedTuple


class PrefixDigest(NamedTuple):
    """What an instance knows of the items below one prefix.

    It knows every change that matters up to ``complete_revision``, of which
    the newest is ``newest_revision``. ``digest`` covers the parts that matter
    of all items below the prefix.
    """

    prefix: str
    newest_revision: int
    complete_revision: int
    digest: int


class PublishedDigests(NamedTuple):
    """What the sender knows, by prefix.

    ``is_reply`` means that the receiver's own digests differed; a reply is
    never replied to.
    """

    prefixes: tuple[PrefixDigest, ...]
    is_reply: bool = False


KINDS = (PublishedDigests,)

__all__ = [
    "KINDS",
    "PrefixDigest",
    "PublishedDigests",
]
