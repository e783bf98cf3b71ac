"""Fleet-wide rates: buckets, their holders, grants and loans."""

from __future__ import annotations
