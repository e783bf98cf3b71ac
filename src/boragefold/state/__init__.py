"""Data that one instance holds, and the rules that need no other instance."""

from __future__ import annotations
