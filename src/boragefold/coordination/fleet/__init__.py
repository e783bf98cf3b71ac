"""How entry instances find each other and share out the engines."""

from __future__ import annotations
