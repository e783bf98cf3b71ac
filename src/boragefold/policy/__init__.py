"""Decisions under load; no module here needs a network or a wall clock."""

from __future__ import annotations
