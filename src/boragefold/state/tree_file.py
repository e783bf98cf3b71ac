"""A published tree as files."""

from __future__ import annotations

import pathlib

import msgspec


def load(source: pathlib.Path) -> dict[str, bytes]:
    """Read a tree from a file, or from a directory with a file per path.

    :param source: a JSON object of documents by path, or a directory of
        ``<path>.json`` files
    :return: JSON by path; raises ``msgspec.DecodeError`` for a file that is
        no JSON object
    """
    if source.is_file():
        return parse(source.read_bytes())
    return {
        file.relative_to(source).with_suffix("").as_posix(): file.read_bytes()
        for file in sorted(source.rglob("*.json"))
    }


def parse(data: bytes) -> dict[str, bytes]:
    """Read a tree from one JSON object of documents by path.

    :param data: JSON
    :return: JSON by path; raises ``msgspec.DecodeError`` when it is none
    """
    tree = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    return {path: bytes(value) for path, value in tree.items()}


__all__ = [
    "load",
    "parse",
]
