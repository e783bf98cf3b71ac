"""Sockets, HTTP and the peer link: the layer that does input and output."""

from __future__ import annotations
