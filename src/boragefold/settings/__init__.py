"""Settings from flags and environment variables, validated at start."""

from __future__ import annotations
