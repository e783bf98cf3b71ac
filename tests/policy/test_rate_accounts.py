"""What was admitted stands in one account, whoever counts it."""

from __future__ import annotations

from boragefold.policy import rate_accounts
from boragefold.policy import shared_rate
from boragefold.state import deployment

FULL_TOKENS = 1e9
# Nothing is refused and nothing is filled: a bucket's level tells the sum.
WORKSPACE = deployment.Workspace(
    name="press",
    keys=frozenset({"k"}),
    priority=1,
    rate_per_second=1e-9,
    burst=FULL_TOKENS,
    in_tokens=True,
    plain_tokens=1.0,
)
BEAT_SECONDS = 0.5
# Of others' comings and goings a hub tells at once, with its totals.
NEWS_SECONDS = 0.05
HUBS = ("hub-a", "hub-b")
OTHERS = ("one", "two", "three")


class Instance:
    """One instance and what it believes was admitted by all."""

    def __init__(self, name):
        self.name = name
        self.rate = shared_rate.SharedRate()
        self.accounts = rate_accounts.RateAccounts(rate=self.rate)
        self.begun = 0.0

    def believed(self):
        level = self.rate.level(WORKSPACE.name)
        return FULL_TOKENS - level - self.begun


class Fleet:
    """Two hubs and some others; their messages take no time."""

    def __init__(self):
        self.now_seconds = 0.0
        self.started_seconds = {}
        self.instances = {}
        self.hubs = set()
        self.counters = {}
        for name in HUBS:
            self.add_hub(name)
        for name in OTHERS:
            self.start(name)
            self.counters[name] = HUBS[0]
        # Of a workspace that is new to an instance the first word is where
        # its sum begins.
        for _ in range(2):
            for name in sorted(self.instances):
                self.admit(name, 1.0)
            self.level_out()
        self.begin()

    def begin(self):
        """Count from here on."""
        for instance in self.instances.values():
            instance.begun += instance.believed()

    def start(self, name):
        self.instances[name] = Instance(name)
        self.started_seconds[name] = self.now_seconds
        self.admit(name, 0.0)

    def add_hub(self, name):
        if name not in self.instances:
            self.start(name)
        self.hubs.add(name)
        self.counters[name] = ""

    def step_down(self, name):
        self.hubs.discard(name)
        self.counters[name] = HUBS[0]

    def lose_first_hub(self):
        self.hubs.discard(HUBS[0])
        del self.instances[HUBS[0]]

    def admit(self, name, amount):
        wait_seconds = self.instances[name].rate.admit(
            WORKSPACE, amount, share=1.0, now_seconds=self.now_seconds
        )
        assert wait_seconds is None

    def give(self, name):
        """Compose an account, which may be lost on its way."""
        return self.instances[name].accounts.give(
            self.counters[name], now_seconds=self.now_seconds
        )

    def tell_account(self, name):
        statement = self.give(name)
        if statement.counter in self.instances:
            self.instances[statement.counter].accounts.count(
                name, statement, now_seconds=self.now_seconds
            )

    def tell_hubs(self, hub):
        sums = self.instances[hub].accounts.sums(now_seconds=self.now_seconds)
        uptime_seconds = self.now_seconds - self.started_seconds[hub]
        for other in self.hubs - {hub}:
            self.instances[other].accounts.hear_sums(
                hub,
                sums,
                uptime_seconds=uptime_seconds,
                now_seconds=self.now_seconds,
            )

    def totals(self, hub):
        return self.instances[hub].accounts.totals(
            now_seconds=self.now_seconds
        )

    def hear_totals(self, name, hub, totals):
        self.instances[name].accounts.hear_totals(
            hub, totals, now_seconds=self.now_seconds
        )

    def tell_totals(self, hub):
        for name in self.instances.keys() - self.hubs:
            self.hear_totals(name, hub, self.totals(hub))

    def beat(self):
        """Let everyone tell what it has, once."""
        self.now_seconds += BEAT_SECONDS
        for name in sorted(self.instances):
            self.tell_account(name)
        for hub in sorted(self.hubs):
            self.tell_hubs(hub)
        for hub in sorted(self.hubs):
            self.tell_totals(hub)

    def level_out(self):
        for _ in range(3):
            self.beat()

    def believed(self):
        self.level_out()
        return {
            name: instance.believed()
            for name, instance in self.instances.items()
        }

    def all_believe(self, amount):
        return self.believed() == dict.fromkeys(self.instances, amount)

    def choose_second_hub(self):
        self.counters.update(dict.fromkeys(OTHERS, HUBS[1]))


def test_who_returns_to_a_counter_loses_nothing() -> None:
    # Guards against a new account that passes for the former one there.
    fleet = Fleet()
    for counter in (HUBS[1], HUBS[0], HUBS[1]):
        fleet.admit("one", 10.0)
        fleet.level_out()
        fleet.counters["one"] = counter
    fleet.admit("one", 5.0)
    assert fleet.all_believe(35.0)


def test_who_is_a_hub_again_counts_nothing_twice() -> None:
    # Guards against sums of the other hubs that go on from its last time as
    # a hub, though it heard totals meanwhile.
    fleet = Fleet()
    fleet.add_hub("one")
    fleet.level_out()
    fleet.step_down("one")
    fleet.level_out()
    fleet.admit("two", 10.0)
    fleet.level_out()
    fleet.add_hub("one")
    fleet.level_out()
    fleet.admit("two", 5.0)
    assert fleet.all_believe(15.0)


def test_what_a_hub_heard_isnt_heard_again_when_it_is_none() -> None:
    # Guards against the next counter's total that goes on from before the
    # time as a hub, over what was heard of and counted as one.
    fleet = Fleet()
    # A hub is believed from its first word on.
    fleet.add_hub("one")
    fleet.admit("one", 1.0)
    fleet.level_out()
    fleet.step_down("one")
    fleet.level_out()
    fleet.begin()
    fleet.add_hub("one")
    fleet.level_out()
    fleet.counters["three"] = "one"
    for name in OTHERS:
        fleet.admit(name, 10.0)
    fleet.level_out()
    fleet.step_down("one")
    fleet.counters["three"] = HUBS[0]
    assert fleet.believed()["one"] == 30.0


def test_who_stood_in_for_a_hub_learns_what_it_missed() -> None:
    # Guards against totals that begin anew after a time as a hub: what the
    # others admitted before it was told sums would be forgotten.
    fleet = Fleet()
    fleet.admit("two", 10.0)
    for name in (*HUBS, "two", "three"):
        fleet.tell_account(name)
    for hub in HUBS:
        fleet.tell_hubs(hub)
    fleet.add_hub("one")
    fleet.level_out()
    fleet.admit("two", 5.0)
    fleet.level_out()
    fleet.step_down("one")
    assert fleet.all_believe(15.0)


def test_what_a_lost_counter_never_got_is_given_to_the_next() -> None:
    # Guards against an account that was sent and passes for one that arrived.
    fleet = Fleet()
    fleet.admit("one", 10.0)
    fleet.give("one")
    fleet.lose_first_hub()
    fleet.choose_second_hub()
    assert fleet.all_believe(10.0)


def test_totals_that_cross_an_account_dont_confirm_it() -> None:
    # Guards against an account that is taken for counted by a total that the
    # counter composed before it came, and that is lost with the counter.
    fleet = Fleet()
    totals = fleet.totals(HUBS[0])
    fleet.admit("one", 10.0)
    fleet.give("one")
    fleet.hear_totals("one", HUBS[0], totals)
    fleet.lose_first_hub()
    fleet.choose_second_hub()
    believed = fleet.believed()
    # Its own view may lack what crossed, once.
    assert 0.0 <= believed.pop("one") <= 10.0
    assert believed == dict.fromkeys(fleet.instances.keys() - {"one"}, 10.0)


def test_who_changes_the_counter_misses_nothing_meanwhile() -> None:
    # Guards against a new counter's totals that begin when it is chosen.
    fleet = Fleet()
    fleet.counters["two"] = HUBS[1]
    fleet.level_out()
    fleet.lose_first_hub()
    fleet.admit("two", 10.0)
    fleet.beat()
    fleet.choose_second_hub()
    assert fleet.all_believe(10.0)


def test_news_while_a_counter_is_silent_makes_nobody_forget() -> None:
    # Guards against totals of the next counter that come so often that where
    # they stood when the former was heard is no longer known.
    fleet = Fleet()
    fleet.counters["two"] = HUBS[1]
    fleet.level_out()
    fleet.lose_first_hub()
    fleet.admit("two", 10.0)
    fleet.beat()
    for _ in range(20):
        fleet.now_seconds += NEWS_SECONDS
        fleet.tell_totals(HUBS[1])
    fleet.choose_second_hub()
    assert fleet.all_believe(10.0)


def test_a_hub_that_began_later_changes_no_sum() -> None:
    # Guards against totals of different beginnings that are taken for one.
    fleet = Fleet()
    fleet.admit("one", 100.0)
    fleet.level_out()
    fleet.add_hub("late")
    fleet.instances["late"].begun = -100.0
    fleet.level_out()
    fleet.admit("one", 5.0)
    assert fleet.all_believe(105.0)
