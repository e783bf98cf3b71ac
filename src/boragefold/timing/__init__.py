"""Clocks, and the timer service that the other parts subscribe to."""

from __future__ import annotations
