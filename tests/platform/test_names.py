"""Tests that only the platform folder holds the platform's names."""

from __future__ import annotations

import pathlib
import re

import names

PLATFORM_FIELDS = (
    "fence_token",
    "route_type",
    "require_fence",
    "max_attempts_per",
    "api_keys",
    "kv_capacity_tokens",
    "adapter_slots",
    "cold_per_s",
    "cold_remaining_ms",
    "cold_start_s",
    "store_revision",
)


def test_the_platforms_names_stay_in_their_folder() -> None:
    platform_names = {
        value
        for value in vars(names).values()
        if isinstance(value, str) and ("/" in value or "boragefold-" in value)
    }
    words = "|".join(
        map(re.escape, sorted(platform_names | set(PLATFORM_FIELDS)))
    )
    pattern = re.compile(rf"(?:{words})(?!\w)", re.IGNORECASE)
    found = [
        (str(path), match.group())
        for path in pathlib.Path("src").rglob("*.py")
        if "standins" not in path.parts
        for match in pattern.finditer(path.read_text())
    ]
    assert not found


def test_the_folder_only_translates() -> None:
    # The src folder holds all decisions, state and recovery; a translation
    # needs no clock, no timer and no random source.
    forbidden = ("import random", "import time", "timers", "once(")
    for path in pathlib.Path("platform").glob("*.py"):
        text = path.read_text()
        assert not any(word in text for word in forbidden), path
