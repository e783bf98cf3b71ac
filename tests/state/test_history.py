from __future__ import annotations

import msgspec

from boragefold.state import history as histories
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry

PATH = "common/store"


class Instance:
    def __init__(self, max_records: int = 100) -> None:
        self.now_seconds = 1000.0
        self.tree = trees.Tree(counters=telemetry.Counters())
        self.history = histories.History(
            tree=self.tree,
            wall_seconds=lambda: self.now_seconds,
            max_records=max_records,
        )

    def publish(self, revision: int, limit: int, path: str = PATH) -> None:
        self.now_seconds += 10.0
        document = {"loads_per_second": 1.0, "loads_in_flight": limit}
        if path != PATH:
            document = {"m": {"context_tokens": limit}}
        data = msgspec.json.encode(document)
        self.tree.apply(path=path, revision=revision, data=data)

    def revisions_at(self, wall_seconds: float) -> dict[str, int] | None:
        records = self.history.at(wall_seconds)
        if records is None:
            return None
        return {record.path: record.revision for record in records}


def test_the_auditor_sees_what_was_in_force_at_a_moment() -> None:
    # An auditor asks which limit applied when a payout was made, and whether
    # the one published just before had come into force.
    instance = Instance()
    instance.publish(1, 8)
    instance.publish(2, 0)
    instance.publish(3, 9)
    assert instance.revisions_at(1005.0) == {}
    assert instance.revisions_at(1025.0) == {PATH: 1}
    assert instance.revisions_at(1030.0) == {PATH: 3}
    assert instance.revisions_at(999.0) is None
    outcomes = [r.outcome for r in instance.history.of_path(PATH)]
    assert outcomes == ["accepted", "rejected", "accepted"]
    assert instance.history.of_path(PATH)[1].reason.startswith("not_positive")
    digest = instance.history.in_force()[0].digest
    assert digest == instance.tree.entry(PATH).digest.hex()


def test_a_full_history_forgets_the_oldest_and_says_so() -> None:
    # Records are dropped to bound the memory. What was in force since long
    # before has to be known still, and a question about a time that is no
    # longer covered must not be answered with a guess.
    instance = Instance(max_records=4)
    instance.publish(1, 8, "common/models")
    for revision in range(2, 12):
        instance.publish(revision, revision)
    assert len(instance.history) == 4
    assert instance.revisions_at(1060.0) is None
    covered = instance.history.complete_since_seconds
    assert covered == 1070.0
    assert instance.revisions_at(covered) == {"common/models": 1, PATH: 7}
    assert instance.revisions_at(1105.0) == {"common/models": 1, PATH: 10}
    assert instance.history.of_path("common/models")[0].revision == 1


def test_a_moment_that_a_peer_gave_counts_for_its_own_revision_only() -> None:
    instance = Instance()
    instance.history.note_since(PATH, 2, 500.0)
    instance.publish(1, 8)
    assert instance.history.since_seconds(PATH) == 1010.0
    instance.history.note_since(PATH, 2, 500.0)
    instance.publish(2, 9)
    assert instance.history.since_seconds(PATH) == 500.0
