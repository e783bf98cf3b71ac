"""Metrics, logs and recorded events of requests."""

from __future__ import annotations
