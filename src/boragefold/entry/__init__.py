"""One entry instance: what it does with callers' requests."""

from __future__ import annotations
