"""Messages about the tokens of a fleet-wide rate."""

from __future__ import annotations

from typing import NamedTuple


class Usage(NamedTuple):
    """What became of the tokens that answered an earlier request.

    It is sent when no more can be charged to them. ``charged_tokens`` only
    falls, so a doubled or overtaken message changes nothing. ``final`` says
    that no more will be given back.
    """

    number: int
    charged_tokens: float
    final: bool


class TokensAsked(NamedTuple):
    """A request for tokens, and reports on earlier ones.

    ``needed_tokens`` are wanted whole; ``ahead_tokens`` only if there are
    plenty. Both are zero in a mere report.
    """

    workspace: str
    number: int
    needed_tokens: float
    ahead_tokens: float
    usages: tuple[Usage, ...]


class WorkspaceUsages(NamedTuple):
    """Reports on the tokens of one workspace."""

    workspace: str
    usages: tuple[Usage, ...]


class UsagesReported(NamedTuple):
    """Reports that no request for tokens carried, for many workspaces."""

    number: int
    reports: tuple[WorkspaceUsages, ...]


class UsagesNoted(NamedTuple):
    """Acknowledges :class:`UsagesReported`."""

    number: int


class TokensGiven(NamedTuple):
    """The answer to :class:`TokensAsked`; without tokens, a refusal.

    The tokens may be charged until ``life_seconds`` after the request was
    *sent*. ``queued`` announces a second answer to the same request.
    """

    workspace: str
    number: int
    tokens: float
    life_seconds: float
    ready_in_seconds: float
    queued: bool


class BucketHandedOver(NamedTuple):
    """The level of a bucket, given up by its holder before sending.

    ``epoch`` and ``view_number`` name the last view that the sender held the
    right in; ``occupied_tokens`` may still be charged by others.
    """

    workspace: str
    epoch: int
    view_number: int
    level_tokens: float
    occupied_tokens: float


class SharesAsked(NamedTuple):
    """Asks which revision of the weights the receiver knows."""

    revision: int


class SharesKnown(NamedTuple):
    """Tells the newest revision of the weights that the sender knows.

    ``own_part`` is the part that it uses for its own data centre; it is
    smaller than the published one while a raise waits.
    """

    revision: int
    own_part: float


KINDS: tuple[type, ...] = (
    TokensAsked,
    TokensGiven,
    UsagesReported,
    UsagesNoted,
    BucketHandedOver,
    SharesAsked,
    SharesKnown,
)

__all__ = [
    "BucketHandedOver",
    "KINDS",
    "SharesAsked",
    "SharesKnown",
    "TokensAsked",
    "TokensGiven",
    "Usage",
    "UsagesNoted",
    "UsagesReported",
    "WorkspaceUsages",
]
