"""Settings from flags and environment variables, checked at start."""

from __future__ import annotations
