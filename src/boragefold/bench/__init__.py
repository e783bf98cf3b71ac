"""Benchmarks of the decisions, with their regression bounds."""

from __future__ import annotations
