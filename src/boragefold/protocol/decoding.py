"""What decoding bytes of others may raise."""

from __future__ import annotations

import msgspec

# Bytes may be nested too deeply to be decoded.
ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


__all__ = [
    "ERRORS",
]
