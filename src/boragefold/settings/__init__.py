"""Settings and their validation at start."""

from __future__ import annotations
