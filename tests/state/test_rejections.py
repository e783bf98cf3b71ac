from __future__ import annotations

import hashlib

import msgspec

from boragefold.state import rejections as rejecting
from boragefold.state import tree as trees
from boragefold.state import validation
from boragefold.telemetry import counters as telemetry

PATH = "common/models"


def reject(revision: int, data: bytes) -> rejecting.Rejection:
    return rejecting.Rejection(
        revision,
        hashlib.sha256(data).digest(),
        validation.Rejected(path=PATH, reason="unknown_field", remedy="roll"),
    )


def test_what_an_older_release_rejects_is_still_taken_here() -> None:
    # In the middle of a roll the steward is of the older release and tells
    # everyone that it rejected a value. This release can read it, and gets
    # it from a peer a moment later.
    tree = trees.Tree(counters=telemetry.Counters())
    told: list[int] = []
    tree.rejections.subscribe(
        lambda path, rejection: told.append(rejection[0])
    )
    data = msgspec.json.encode({"m": {"context_tokens": 1}})
    for _ in "ab":
        tree.rejections.add_told(PATH, reject(2, data))
    assert told == [2]
    assert tree.rejections.newest()[PATH].revision == 2
    outcome = tree.apply(path=PATH, revision=2, data=data)
    assert isinstance(outcome, trees.Applied)
    assert not tree.rejections.newest()


def test_the_newer_of_two_rejections_is_shown() -> None:
    log = rejecting.RejectionLog()
    log.add(PATH, reject(3, b"a"))
    log.add_told(PATH, reject(2, b"b"))
    log.add(PATH, reject(1, b"c"))
    assert log.newest()[PATH].revision == 3
    log.add_told(PATH, reject(4, b"d"))
    assert log.newest()[PATH].revision == 4
    log.clear(PATH, 3)
    assert log.own(PATH) is None
    assert log.newest()[PATH].revision == 4
