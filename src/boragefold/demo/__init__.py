"""A whole fleet with its callers, on one loop in one process."""

from __future__ import annotations
