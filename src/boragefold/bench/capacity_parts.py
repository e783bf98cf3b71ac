"""Small slopes of the parts that have no bench of their own."""

from __future__ import annotations

import time
from typing import NamedTuple
import uuid

import msgspec

from boragefold.coordination.once import tickets
from boragefold.entry import load_poller
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing

ROUNDS = 2_000
SLOTS = 8


class Slope(NamedTuple):
    """What one item costs."""

    name: str
    item_bytes: float
    cpu_seconds: float


def measure_ticket() -> Slope:
    """Measure one non-idempotent call's messages.

    :return: bytes of its claims, replies and stored answers; processor time
        of minting, packing and unpacking
    """
    here, there = (_instance(name) for name in ("here", "there"))
    timers = timing.TimerService(clock=clocks.VirtualClock())
    ticket_issuer = tickets.TicketIssuer(
        self_id=here, timers=timers, others=lambda: [there]
    )
    codec = envelope.Codec(kinds=once_messages.KINDS)
    began = time.process_time()
    size = 0
    for number in range(ROUNDS):
        ticket = ticket_issuer.issue("team/workspace")
        attempt = once_messages.Attempt(here, number)
        answer = once_messages.StoredAnswer(200, "application/json", b"x" * 64)
        bodies = (
            once_messages.Claim(ticket, attempt, "d" * 64),
            once_messages.ClaimReply(ticket.serial, attempt, "granted", None),
            once_messages.Store(ticket.serial, attempt, answer),
            once_messages.Stored(ticket.serial, attempt),
        )
        packed = [codec.encode(sender=here, body=body) for body in bodies]
        for data in packed:
            codec.decode(data)
        size = sum(map(len, packed))
    cpu_seconds = (time.process_time() - began) / ROUNDS
    return Slope("non-idempotent call, second register", size, cpu_seconds)


def measure_load_report() -> Slope:
    """Measure one load report of an engine with eight adapters.

    :return: its bytes and the processor time to read it
    """
    report = load_poller.EngineReport(
        incarnation=uuid.uuid4().hex,
        running=20,
        waiting=1,
        resident=[(f"team/adapter-{n:05d}", "v2", 2) for n in range(SLOTS)],
    )
    data = msgspec.json.encode(report)
    decoder = msgspec.json.Decoder(load_poller.EngineReport)
    began = time.process_time()
    for _ in range(ROUNDS):
        decoder.decode(data)
    cpu_seconds = (time.process_time() - began) / ROUNDS
    return Slope("load report", len(data), cpu_seconds)


def measure_list(*, instances: int) -> Slope:
    """Measure one reading of the platform's list.

    :param instances: how many it shows
    :return: its bytes and the processor time to read it
    """
    listed = [
        platform_api.ListedInstance(
            f"10.0.{n >> 8}.{n & 255}:8000", f"dc-{n % 29}", "endpoint", "live"
        )
        for n in range(instances)
    ]
    platform = platforms.Platform(now_seconds=lambda: 0.0)
    platform.put_list(listed)
    data = platform_api.encode_list(platform.list_instances())
    began = time.process_time()
    platform_api.decode_list(data)
    cpu_seconds = time.process_time() - began
    return Slope(f"list of {instances}", len(data), cpu_seconds)


def _instance(name: str) -> ids.InstanceId:
    return ids.InstanceId("dc-a", f"10.0.0.1:{len(name)}", uuid.uuid4().hex)


__all__ = [
    "Slope",
    "measure_list",
    "measure_load_report",
    "measure_ticket",
]
