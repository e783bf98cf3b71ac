"""Where a stream may go on."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import pytest

from boragefold.policy import stream_origin
from boragefold.state import deployment

LIFE = deployment.EndpointLife("llm", "e1", 7, "v1")


@pytest.mark.parametrize(
    ("origin", "present", "fits"),
    [
        (LIFE, LIFE, True),
        (LIFE, LIFE._replace(endpoint="e2", born_milliseconds=9), True),
        (LIFE, LIFE._replace(software_version="v2"), True),
        (
            LIFE,
            LIFE._replace(born_milliseconds=9, software_version="v2"),
            False,
        ),
        (LIFE, LIFE._replace(service="other"), False),
        (
            LIFE._replace(software_version=""),
            LIFE._replace(endpoint="e2", software_version=""),
            False,
        ),
        (
            LIFE._replace(software_version=""),
            LIFE._replace(born_milliseconds=9),
            False,
        ),
        (LIFE._replace(software_version=""), LIFE, True),
        (
            LIFE._replace(software_version="", born_milliseconds=0),
            LIFE._replace(software_version="", born_milliseconds=0),
            False,
        ),
    ],
    ids=[
        "same life",
        "same version",
        "same life, stated otherwise",
        "next life",
        "other service",
        "two without a version",
        "next life of one without a version",
        "same life, stated later",
        "starts unknown",
    ],
)
def test_a_stream_goes_on_at_its_life_or_version(
    origin, present, fits
) -> None:
    assert stream_origin.fits(origin, present) is fits


def test_before_the_first_event_nothing_binds() -> None:
    binding = stream_origin.StreamBinding()
    assert binding.allows(LIFE)


def test_an_event_of_an_unknown_life_lets_nothing_go_on() -> None:
    binding = stream_origin.StreamBinding()
    binding.bind()
    assert not binding.allows(LIFE)


def test_a_version_that_becomes_known_later_counts() -> None:
    binding = stream_origin.StreamBinding()
    binding.identify(LIFE._replace(software_version=""))
    other = LIFE._replace(endpoint="e2", born_milliseconds=9)
    assert not binding.allows(other)
    binding.complete(LIFE._replace(born_milliseconds=8))
    assert not binding.allows(other)
    binding.complete(LIFE)
    assert binding.allows(other)


LIVES = strategies.builds(
    deployment.EndpointLife,
    service=strategies.just("llm"),
    endpoint=strategies.sampled_from(["e1", "e2", "e3"]),
    born_milliseconds=strategies.integers(0, 3),
    software_version=strategies.sampled_from(["", "v1", "v2"]),
)


@hypothesis.given(strategies.lists(LIVES, max_size=12), strategies.randoms())
def test_whatever_is_identified_the_first_life_decides(
    lives: list[deployment.EndpointLife], rng: random.Random
) -> None:
    binding = stream_origin.StreamBinding()
    sent: list[deployment.EndpointLife] = []
    for life in lives:
        if not binding.allows(life):
            continue
        if rng.random() < 0.7:
            binding.identify(life)
        else:
            binding.bind()
        sent.append(life)
    assert all(stream_origin.fits(sent[0], each) for each in sent[1:])
