"""Small stand-ins for the platform, the engines and the plain services."""

from __future__ import annotations
