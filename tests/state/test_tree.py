from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies
import msgspec

from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry

PATH = "common/store"


def store(loads_in_flight: int) -> bytes:
    return msgspec.json.encode(
        {"loads_per_second": 4.0, "loads_in_flight": loads_in_flight}
    )


def make_tree() -> tuple[trees.Tree, telemetry.Counters]:
    counters = telemetry.Counters()
    return trees.Tree(counters=counters), counters


def in_force(tree: trees.Tree) -> int:
    document = tree.document(PATH)
    assert document is not None
    return int(document["loads_in_flight"])


def test_an_invalid_value_keeps_the_last_good_one() -> None:
    # An operator publishes a limit of zero by mistake, then corrects it.
    # In between the former limit has to stay in force, and the mistake has
    # to be seen with its reason and revision.
    tree, counters = make_tree()
    tree.apply(path=PATH, revision=1, data=store(8))
    outcome = tree.apply(path=PATH, revision=2, data=store(0))
    assert isinstance(outcome, trees.Refused)
    assert in_force(tree) == 8
    rejection = tree.rejections.newest()[PATH]
    assert rejection.revision == 2
    assert rejection.rejected.kind == "not_positive"
    assert "loads_in_flight" in rejection.rejected.remedy
    assert counters.value("configuration_rejected", "not_positive") == 1
    tree.apply(path=PATH, revision=3, data=store(9))
    assert in_force(tree) == 9
    assert not tree.rejections.newest()


def test_a_good_value_older_than_a_rejected_one_still_comes_into_force():
    # An instance sees revision 3, which is invalid, before a peer hands it
    # revision 2, which is in force elsewhere. Holding out for something
    # newer than 3 would leave it on revision 1 while its peers serve 2.
    tree, _ = make_tree()
    tree.apply(path=PATH, revision=1, data=store(8))
    tree.apply(path=PATH, revision=3, data=store(0))
    tree.apply(path=PATH, revision=2, data=store(7))
    assert in_force(tree) == 7
    assert tree.rejections.newest()[PATH].revision == 3


def test_a_deleted_path_is_not_revived_by_an_older_copy() -> None:
    # A team's keys are deleted. A copy of the platform that lags still shows
    # them; taking it would let the withdrawn keys work again.
    tree, counters = make_tree()
    tree.apply(path=PATH, revision=1, data=store(8))
    tree.apply(path=PATH, revision=2, data=None)
    assert tree.document(PATH) is None
    outcome = tree.apply(path=PATH, revision=1, data=store(8))
    assert isinstance(outcome, trees.Ignored)
    assert tree.document(PATH) is None
    assert counters.value("configuration_ignored", "older_revision") == 1


def test_subscribers_learn_which_path_changed_and_only_on_a_change() -> None:
    tree, _ = make_tree()
    changes: list[tuple[str, int]] = []
    tree.subscribe(lambda change: changes.append(change[:2]))
    tree.apply(path=PATH, revision=1, data=store(8))
    tree.apply(path=PATH, revision=1, data=store(8))
    tree.apply(path=PATH, revision=2, data=store(0))
    assert changes == [(PATH, 1)]


def settle(arrivals):
    tree, _ = make_tree()
    seen = [0]
    tree.subscribe(lambda change: seen.append(change.revision))
    for revision, limit in arrivals:
        data = None if limit < 0 else store(limit)
        tree.apply(path=PATH, revision=revision, data=data)
    assert seen == sorted(seen)
    return tree.entry(PATH)


def test_a_deletion_does_not_leave_the_former_value_known() -> None:
    # A restored platform uses revision 6 for a deletion and for the return
    # of the value that stood there before. What is known of that value's
    # bytes must not make one instance drop its return.
    for limit in range(1, 40):
        orders = itertools.permutations([(5, limit), (6, -1), (6, limit)])
        assert len(set(map(settle, orders))) == 1


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 6), strategies.integers(-1, 4)
        ),
        max_size=12,
    ),
    strategies.randoms(use_true_random=False),
)
def test_the_order_of_arrival_decides_nothing(values, draw) -> None:
    # A platform restored from a backup uses revisions twice, and messages
    # overtake each other. Instances that met the same values in different
    # orders must not go on with different ones.
    shuffled = draw.sample(values, len(values))
    assert settle(values) == settle(shuffled)
