"""Clocks and timers."""

from __future__ import annotations
