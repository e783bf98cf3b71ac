from __future__ import annotations

import pytest

from boragefold.policy import endpoint_paths
from boragefold.protocol import paths

DIRECT = paths.DIRECT
NEAR = paths.Path("near", "10.0.0.2:7600", "t")
FAR = paths.Path("far", "10.0.0.3:7600", "t")
REACHED = endpoint_paths.Reach.REACHED
SUSPECTED = endpoint_paths.Reach.SUSPECTED
CUT_OFF = endpoint_paths.Reach.CUT_OFF
DOWN = endpoint_paths.Reach.DOWN


@pytest.fixture
def peers():
    return {"near", "far"}


@pytest.fixture
def choice(peers):
    return endpoint_paths.PathChoice(
        self_address="self",
        is_near=lambda peer: peer == "near",
        staying_peers=lambda: peers,
    )


def choose(choice, *tried, at=0.0):
    return choice.choose("e1", tried=tried, now_seconds=at)


def fail(choice, path=DIRECT, at=0.0):
    return choice.record_failed("e1", path, now_seconds=at)


def cut_off(choice):
    fail(choice)
    choice.record_reaching("e1", FAR)
    choice.record_reaching("e1", NEAR)


def test_a_failure_asks_peers_once(choice) -> None:
    assert fail(choice)
    assert not fail(choice)
    assert choice.reach("e1") is SUSPECTED
    assert choice.reach("e2") is REACHED


def test_a_peers_word_tells_a_cut_path_from_an_endpoint_that_is_down(
    choice,
) -> None:
    fail(choice)
    assert choice.record_inquiry_end("e1")
    assert choice.reach("e1") is DOWN
    assert choose(choice) is None
    assert choice.record_reaching("e1", FAR)
    assert choice.reach("e1") is CUT_OFF
    assert choose(choice) == FAR


def test_a_near_peer_goes_first_and_one_that_failed_last(choice) -> None:
    cut_off(choice)
    assert choose(choice) == NEAR
    choice.record_failed("e2", NEAR, now_seconds=1.0)
    assert choose(choice, at=1.5) == FAR
    assert choose(choice, at=5.0) == NEAR


def test_a_path_that_failed_isnt_tried_twice_for_a_request(choice) -> None:
    cut_off(choice)
    assert choose(choice, "", "near") == FAR
    assert choose(choice, "", "near", "far") is None


def test_peers_are_asked_again_when_no_tunnel_is_left(choice, peers) -> None:
    # The peers that lent their connections may stop, or be cut off, too.
    cut_off(choice)
    assert not fail(choice, NEAR)
    assert fail(choice, FAR)
    assert choice.reach("e1") is SUSPECTED
    choice.record_reaching("e1", NEAR)
    peers.clear()
    assert choose(choice) is None
    assert choice.is_inquiry_due("e1", now_seconds=1.0)


def test_a_silent_moment_isnt_a_partition(choice) -> None:
    # Ownership of engines must not move for a packet that was lost.
    cut_off(choice)
    assert not choice.is_cut_off("e1")
    fail(choice, at=0.3)
    assert not choice.is_cut_off("e1")
    fail(choice, at=0.8)
    assert choice.is_cut_off("e1")
    assert choice.record_opened("e1")
    assert choose(choice) == DIRECT


def test_inquiries_about_an_endpoint_that_is_down_become_rare(choice) -> None:
    # Each one costs messages, and connections of all who are asked.
    fail(choice)
    choice.record_inquiry_end("e1")
    times = [
        tenth / 10
        for tenth in range(200)
        if choice.is_inquiry_due("e1", now_seconds=tenth / 10)
        and choice.record_inquiry("e1", now_seconds=tenth / 10) is None
    ]
    assert len(times) <= 8
