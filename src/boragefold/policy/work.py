"""The description of a request on which all decisions are based."""

from __future__ import annotations

from typing import NamedTuple


class AdapterVersion(NamedTuple):
    """One version of one adapter; an empty adapter is the bare base model."""

    model: str
    adapter: str
    version: str


class Work(NamedTuple):
    """A request, as far as scheduling decisions need it.

    Times are readings of the process clock. ``deadline_at_seconds`` is when
    the caller stops waiting. ``prefix`` names the prompt's beginning, so that
    requests that share it can share a prompt cache; empty when unknown.
    """

    request_id: str
    workspace: str
    adapter_version: AdapterVersion
    prompt_tokens: int
    max_tokens: int
    arrived_at_seconds: float
    deadline_at_seconds: float
    late_sensitive: bool = False
    prefix: str = ""


def charged_tokens(work: Work) -> float:
    """Return the tokens that a request is charged until it is settled.

    :param work: the request
    :return: prompt tokens and the most that may be generated, at least one
    """
    return work.prompt_tokens + work.max_tokens or 1


__all__ = [
    "AdapterVersion",
    "Work",
    "charged_tokens",
]
