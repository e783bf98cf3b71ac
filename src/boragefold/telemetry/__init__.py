"""Counters, latency histograms and log lines."""

from __future__ import annotations
