"""How entry instances act together: membership, leases, grants, records."""

from __future__ import annotations
