"""Messages about the tokens of a fleet-wide rate."""

from __future__ import annotations

from typing import NamedTuple


class Usage(NamedTuple):
    """Reports how much was charged to the tokens of an earlier answer.

    Sent when nothing more can be charged to them. ``charged_tokens`` only
    falls, so a duplicated or reordered message changes nothing. ``final``
    says that no more tokens will be given back.
    """

    number: int
    charged_tokens: float
    final: bool


class TokensAsked(NamedTuple):
    """Requests tokens, and reports on earlier ones.

    ``needed_tokens`` are granted all or none; ``ahead_tokens`` only if there
    are plenty. Both are zero in a message that only reports.
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
    """Reports of many workspaces that no request for tokens carried."""

    number: int
    reports: tuple[WorkspaceUsages, ...]


class UsagesNoted(NamedTuple):
    """Acknowledges :class:`UsagesReported`."""

    number: int


class TokensGiven(NamedTuple):
    """Answers :class:`TokensAsked`; without tokens it is a refusal.

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
    """Transfers the level of a bucket, which its holder gives up first.

    ``epoch`` and ``view_number`` name the last view in which the sender held
    the bucket; ``occupied_tokens`` may still be charged by others.
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
    """Reports the newest revision of the weights that the sender knows.

    ``own_part`` is the share that it uses for its own data centre; it is
    smaller than the published one while an increase is pending.
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
