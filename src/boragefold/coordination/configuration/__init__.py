"""The published configuration: read by few, passed on to all."""

from __future__ import annotations
