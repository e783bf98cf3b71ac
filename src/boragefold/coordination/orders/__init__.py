"""Orders to endpoints: load, evict, change role; and leases of use."""

from __future__ import annotations
