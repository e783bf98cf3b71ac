"""Entries of endpoints that nobody uses, which fill the store's pages."""

from __future__ import annotations

# With these, a listing of the endpoints takes two pages.
FURTHER_ENTRIES = 70
FURTHER_ENTRY = {
    "service": "other",
    "address": "127.0.0.1:9",
    "zone": "dc-a",
    "slots": 1,
    "state": "ready",
}


def fill(machines) -> None:
    """Write so many entries that a listing takes two pages."""
    for number in range(FURTHER_ENTRIES):
        machines.put(f"servers/further-{number:02}", FURTHER_ENTRY)


__all__ = [
    "FURTHER_ENTRY",
    "fill",
]
