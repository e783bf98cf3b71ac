"""Data exchanged between processes: typed messages, codecs and outcomes."""

from __future__ import annotations
