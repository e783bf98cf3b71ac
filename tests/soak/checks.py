"""The promises of a run, checked from what callers and endpoints saw."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

from tests.fakes import crashing_engines
from tests.fakes import crashing_parts
from tests.fakes import repeat_load
from tests.fakes import versioned_engines
from tests.soak import callers
from tests.soak import crowds
from tests.soak import culprits
from tests.soak import spells
from tests.soak import stalls
from tests.soak import versions

NOT_RUN = (408, 421, 429, 503)
# A withdrawn key works no longer than this after the store's answer, at
# instances that nothing was done to.
KEY_SECONDS = 3.0
# The same for an endpoint that was announced to leave.
LEAVING_SECONDS = 3.0
# The same at instances that nothing was done to.
SERVED_ON_SECONDS = 2.0
# Of any route, and repeats with more time than is left, unless these are less
# than a fifth of those sent late.
MAX_ATTEMPTS = 2
MAX_LONGER = 20
SERVICES = (("orders", "reads"), ("notes", "drafts"))
# Callers of instances that are cut off from all endpoints, beside others.
MIN_CUT_OFF_SHARE = 2 / 3
MAX_CUT_OFF_FAILED = 10
# While most new connections go to one instance, of the share before.
MIN_HERD_SHARE = 0.75
# Two, and a tenth of the number of endpoints.
MAX_FALLS = 2
# Of the streams taken up, compared with the share of new ones that begin.
MIN_TAKEN_UP = 12
MIN_WENT_ON = 0.5
# In the calm seconds at the end so much is served.
CALM_SERVED_SHARE = 0.9


def all_of(run) -> list[str]:
    """Check every promise.

    :param run: a run that is over
    :return: what was broken, a line each
    """
    seen = [each for caller in run.callers for each in caller.seen]
    runs = run.machines.runs("")
    return [
        *_whole(seen),
        *_once(runs),
        *_refusals(seen, runs),
        *_workspaces(run, seen, runs),
        *_orders(run),
        *_withdrawn(run, seen),
        *_leaving(run),
        *_left_late(run, seen),
        *_planned_stops(run, seen),
        *_still_stops(run, seen),
        *_repeats(run, seen),
        *_culprits(run),
        *_herds(run, seen),
        *_cut_off(run, seen),
        *_falls(run),
        *crowds.check(run),
        *_versions(run, seen),
        *_taken_up(run),
        *_served(run, seen),
        *spells.list_excess(run),
        *spells.list_refused(run),
    ]


def _attempt(one_run) -> str:
    return one_run["headers"]["boragefold-attempt-id"]


def _whole(seen: Iterable[callers.Seen]) -> Iterator[str]:
    stream = b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(1, callers.EVENTS + 1)
    )
    for each in seen:
        if each.status != 200:
            continue
        plain = each.kind in ("orders", "reads")
        wanted = f"answer to {each.request_id}".encode() if plain else stream
        body = each.body if plain else versions.strip(each.body)
        if not each.signed or body != wanted:
            yield f"MIXED {each}"


def _once(runs) -> Iterator[str]:
    counts = collections.Counter(
        _attempt(each)
        for each in runs
        if each["target"].startswith(("/orders/", "/notes/"))
    )
    yield from (
        f"TWICE {request_id} ran {count} times"
        for request_id, count in counts.items()
        if count > 1
    )


def _refusals(seen, runs) -> Iterator[str]:
    ran = {
        _attempt(each)
        for each in runs
        if each["target"].startswith(("/orders/", "/notes/"))
    }
    for each in seen:
        if each.status in NOT_RUN and each.request_id in ran:
            yield f"REFUSED though it ran: {each}"


def _workspaces(run, seen, runs) -> Iterator[str]:
    key_of = {each.request_id: each.key for each in seen}
    for each in runs:
        key = key_of.get(_attempt(each))
        if any(known in str(each) for known in run.keys):
            yield f"KEY passed on: {each}"
        if key and each["headers"]["boragefold-tenant"] != run.holder[key]:
            yield f"WORKSPACE of another: {each}"


def _orders(run) -> Iterator[str]:
    lease_seconds = run.machines.LEASE_SECONDS
    for name in run.machines.endpoints:
        if not name.startswith("engine"):
            continue
        orders = [
            order
            for order in run.machines.seen(name)["orders"]
            if order["status"] in (200, 202)
        ]
        fences = [order["fence_token"] for order in orders]
        if fences != sorted(fences):
            yield f"FENCES fall at {name}: {fences}"
        for one, two, three in zip(
            orders, orders[1:], orders[2:], strict=False
        ):
            near = three["at_seconds"] - one["at_seconds"] < lease_seconds
            if one["holder"] == three["holder"] != two["holder"] and near:
                yield f"ONE: turns at {name}: {one} {two} {three}"


def _withdrawn(run, seen) -> Iterator[str]:
    for key, at_seconds in run.withdrawn.items():
        for each in seen:
            late = each.sent_at_seconds > at_seconds + KEY_SECONDS
            touched = run.touched(each.gateway, each.sent_at_seconds)
            if each.key == key and late and not touched:
                if each.status == 200:
                    yield f"KEY works on: {each}"


def _leaving(run) -> Iterator[str]:
    for name, (gone, back) in run.left.items():
        late = [
            each
            for each in run.machines.seen(name)["runs"]
            if gone + LEAVING_SECONDS < each["at_seconds"] < back
        ]
        if late:
            yield f"DRAIN: {name} still got {len(late)}: {late[0]}"


def _left_late(run, seen) -> Iterator[str]:
    gateway_of = {each.request_id: each.gateway for each in seen}
    for name, (gone, back) in run.left.items():
        for each in run.machines.seen(name)["runs"]:
            at_seconds = each["at_seconds"]
            gateway = gateway_of.get(_attempt(each))
            if gateway is None or run.touched(gateway, at_seconds):
                continue
            if gone + SERVED_ON_SECONDS < at_seconds < back:
                late_seconds = at_seconds - gone
                yield f"DRAIN: {name} got {each} {late_seconds:.2f} s late"


def _planned_stops(run, seen) -> Iterator[str]:
    for gateway, at_seconds in run.planned_stops:
        for each in seen:
            during = each.sent_at_seconds < at_seconds < each.ended_at_seconds
            if each.gateway == gateway and during and each.torn:
                if not run.disturbed(each.sent_at_seconds, at_seconds):
                    yield f"LOST at a planned stop: {each}"


def _still_stops(run, seen) -> Iterator[str]:
    for each in stalls.list_lost(run.still_stops, seen):
        if not run.touched(each.gateway, each.sent_at_seconds):
            yield f"LOST around a stop: {each}"


def _culprits(run) -> Iterator[str]:
    lines = [
        line
        for number in range(len(run.machines.gateways))
        for line in run.machines.lines(number)
        if line["event"] == "request_sent"
    ]
    for body, request_ids in run.culprit_ids.items():
        sent = [
            crashing_engines.Sent(line["endpoint"], line["at_seconds"])
            for line in lines
            if line["request_id"] in request_ids
        ]
        is_only = len(run.culprit_ids) == 1
        late = crashing_engines.list_late(
            sent,
            run.ended,
            is_only=is_only,
            crashes_until_known=(
                crashing_parts.CRASHES_UNTIL_KNOWN
                if body in culprits.BAD_PARTS
                else crashing_engines.CRASHES_UNTIL_KNOWN
            ),
        )
        if len(late) > crashing_engines.MAX_LATE_SENDS:
            yield f"BUDGET: {len(late)} late sends of {body}: {late}"


def _herds(run, seen) -> Iterator[str]:
    for herd in run.herds:
        since = herd.begin_seconds + crashing_engines.CONTACT_SECONDS
        if run.disturbed(herd.begin_seconds, herd.end_seconds):
            continue
        before = [
            each for each in seen if each.sent_at_seconds < herd.begin_seconds
        ]
        during = [
            each
            for each in seen
            if since < each.sent_at_seconds
            and each.ended_at_seconds < herd.end_seconds
        ]
        if during and _share(during) < MIN_HERD_SHARE * _share(before):
            yield f"RECOVER: {_share(during):.2f} served in {herd}"


def _repeats(run, seen) -> Iterator[str]:
    arrivals = repeat_load.all_arrivals(run.machines)
    for kinds in SERVICES:
        worst = repeat_load.worst_window(
            _sent(each for each in seen if each.kind in kinds),
            arrivals,
            limit=run.machines.limit,
        )
        if worst.beyond_first > worst.allowed:
            yield f"BUDGET: arrivals beyond the first of {kinds}: {worst}"
    yield from (
        f"BUDGET: {request_id} reached {[x['endpoint'] for x in found]}"
        for request_id, found in arrivals.items()
        if len({x["endpoint"] for x in found}) > MAX_ATTEMPTS
    )
    late = repeat_load.late_repeats(_sent(seen), arrivals)
    longer = [x for x in late if x > repeat_load.DEADLINE_SLACK_SECONDS]
    if len(longer) > max(MAX_LONGER, len(late) / 5):
        yield f"BUDGET: {len(longer)} of {len(late)} repeats had more time"


def _sent(seen: Iterable[callers.Seen]) -> list[repeat_load.Sent]:
    return [
        repeat_load.Sent(each.request_id, each.sent_at_seconds, each.status)
        for each in seen
    ]


def _cut_off(run, seen) -> Iterator[str]:
    for cut in run.cuts:
        during = [
            each
            for each in seen
            if cut.begin_seconds + crashing_engines.CONTACT_SECONDS
            < each.sent_at_seconds
            and each.ended_at_seconds < cut.end_seconds
            and not run.touched(each.gateway, each.sent_at_seconds)
            and each.key not in run.withdrawn
        ]
        here = [each for each in during if each.gateway in cut.gateways]
        others = [each for each in during if each.gateway not in cut.gateways]
        failed = sum(each.status != 200 for each in here)
        if (
            _share(here) < MIN_CUT_OFF_SHARE * _share(others)
            and failed > MAX_CUT_OFF_FAILED + len(here) / 50
        ):
            yield f"RECOVER: {failed} of {len(here)} failed in {cut}"


def _share(seen: list[callers.Seen]) -> float:
    return sum(each.status == 200 for each in seen) / max(1, len(seen))


def _falls(run) -> Iterator[str]:
    for falls in run.falls:
        if falls > MAX_FALLS:
            yield f"LIMIT: brittle endpoints fell over {falls} times"


def _versions(run, seen) -> Iterator[str]:
    streams = [each for taker in run.takers for each in taker.streams]
    for stream in versioned_engines.list_mixed(streams):
        yield f"ORDER: a stream of several versions: {stream}"
    for stream in streams:
        if not stream.joined_well:
            yield f"ORDER: events are missing or come twice: {stream}"
    for each in seen:
        if len(versions.told_in(each.body)) > 1:
            yield f"ORDER: an answer of several versions: {each}"


def _taken_up(run) -> Iterator[str]:
    kinds = {fault.kind for fault in run.faults}
    if not kinds <= versions.ENDPOINTS_KNOWN:
        return
    streams = [each for taker in run.takers for each in taker.streams]
    taken_up = versioned_engines.list_taken_up(streams)
    went_on = versioned_engines.went_on_share(streams)
    began = versioned_engines.began_share(streams)
    if len(taken_up) >= MIN_TAKEN_UP and went_on < MIN_WENT_ON * began:
        count = len(taken_up)
        yield f"LOST: {went_on:.2f} of {count} went on, {began:.2f} began"


def _served(run, seen) -> Iterator[str]:
    calm = [
        each
        for each in seen
        if each.sent_at_seconds > run.calm_from_seconds
        and each.key not in run.withdrawn
    ]
    by_gateway = itertools.groupby(
        sorted(calm, key=lambda each: each.gateway),
        key=lambda each: each.gateway,
    )
    for gateway, requests in by_gateway:
        statuses = collections.Counter(each.status for each in requests)
        share = statuses[200] / statuses.total()
        if share < CALM_SERVED_SHARE:
            yield f"RECOVER: gateway {gateway} served {share:.2f} {statuses}"


__all__ = [
    "all_of",
]
