"""The machines that read the store lose their links to it, and replicas leave."""

import os
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import fleet as fleets  # noqa: E402
from common import links as links_module  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Site riista-hinnasto: nine machines in three zones.
MACHINES = 9
ZONES = ("fi-north-a", "fi-north-b", "fi-north-c")
# `node_cut`: share = 0.35 of nine machines, for 12 s at most.
MOST_CUT = 3
CUT_S = 8.0
DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
ROUNDS = 4
CALM_S = 5.0
# From the configuration to the cut.
PAUSE_S = 0.3
PER_S = 12.0


class Client(threading.Thread):
    """Sends lookups to one machine, each on a new connection."""

    def __init__(self, fleet, name, over, sent):
        super().__init__(daemon=True)
        self.fleet, self.name_, self.over, self.sent = fleet, name, over, sent
        self.drawn = random.Random(name)

    def run(self):
        address = self.fleet.listen[self.name_]["front"]
        while not self.over.is_set():
            attempt = os.urandom(8).hex()
            headers = {
                "Host": fleets.HOST,
                "Boragefold-Attempt-Id": attempt,
                "Boragefold-Deadline-Ms": "1500",
                "Boragefold-Key": fleets.KEY,
            }
            self.sent[attempt] = [self.name_, time.time(), None]
            try:
                status, _ = fleets.call(
                    address, "GET", "/kome118/2f", None, headers, seconds=2
                )
            except (OSError, fleets.http.client.HTTPException) as error:
                status = type(error).__name__
            self.sent[attempt][2] = status
            time.sleep(self.drawn.expovariate(PER_S))


def heartbeats(fleet, over):
    while not over.wait(HEARTBEAT_S / len(fleet.replicas)):
        oldest = min(fleet.entries, key=lambda n: fleet.entries[n]["sequence"])
        fleet.publish(oldest)


def play_round(fleet, links, number):
    """Cut the machines that read the store, and let a replica leave.

    The operator sends a configuration a moment before, as on any evening; only
    its version changes.
    """
    fleet.put("op/config", {**fleets.configuration(), "version": 8 + number})
    time.sleep(PAUSE_S)
    by_last = sorted(
        fleet.names, key=lambda name: -links.by_name[name].sent_at
    )
    now = time.time()
    readers = [
        name
        for name in by_last[:MOST_CUT]
        if links.by_name[name].sent_at > now - CONTACT_S
    ]
    leaving = f"b-{number % 3}"
    cut_at = time.time()
    if TROUBLE:
        for name in readers:
            links.by_name[name].cut()
    time.sleep(0.05)
    acked_at = fleet.publish(leaving, state="draining")
    time.sleep(CUT_S)
    for name in readers:
        links.by_name[name].heal()
    healed_at = time.time()
    time.sleep(1.0)
    fleet.publish(leaving, state="ready")
    time.sleep(CALM_S)
    return {
        "leaving": leaving,
        "cut": readers if TROUBLE else [],
        "cut_at": cut_at,
        "acked_at": acked_at,
        "healed_at": healed_at,
    }


def judge(fleet, rounds, sent, record):
    runs = fleet.seen("runs")
    late = []
    for each in rounds:
        for run in runs:
            name, sent_at, status = sent.get(run["id"], ("?", 0.0, None))
            after = run["began"] - each["acked_at"]
            if (
                run["replica"] == each["leaving"]
                and name not in each["cut"]
                and run["began"] < each["healed_at"]
            ):
                each["last"] = max(after, each.get("last", 0.0))
                if after > DRAIN_S:
                    late.append((after, name, run["id"], sent_at, status))
    ends = {}
    for _, _, status in sent.values():
        ends[status] = ends.get(status, 0) + 1
    with record.open("w") as file:
        file.write(f"trouble: {TROUBLE}, sent {len(sent)}, ends {ends}\n")
        file.write(f"processes that ended: {fleet.ends}\n")
        for each in rounds:
            file.write(f"round {each}\n")
        file.write(f"DRAIN, requests over {DRAIN_S} s late: {len(late)}\n")
        for after, name, attempt, sent_at, status in sorted(late):
            file.write(
                f"reached {after:.3f} s after the acknowledgement: {attempt}"
                f" from {name}, sent {sent_at:.3f}, answered {status}\n"
            )
    return bool(late)


def main():
    fleet = fleets.Fleet(gateways=MACHINES, zones=ZONES)
    links = links_module.Links()
    over = threading.Event()
    sent = {}
    try:
        fleet.start_store()
        fleet.put("op/config", fleets.configuration())
        for name in fleet.names:
            fleet.store_of[name] = listen = fleet.address()
            links.open(name, listen=listen, target=fleet.store)
        for number in range(3):
            fleet.start_replica(
                f"b-{number}",
                service="balcao",
                slots=6,
                events=0,
                event_seconds=0.02,
            )
        threading.Thread(
            target=heartbeats, args=(fleet, over), daemon=True
        ).start()
        fleet.start_gateways()
        for name in fleet.names:
            Client(fleet, name, over, sent).start()
        time.sleep(6.0)
        rounds = [play_round(fleet, links, n) for n in range(ROUNDS)]
        over.set()
        time.sleep(2.5)
        broken = judge(fleet, rounds, sent, HERE / "record.txt")
        return 1 if broken else 0
    except (OSError, TimeoutError) as error:
        print(f"the case couldn't run: {error!r}")
        return 2
    finally:
        over.set()
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
