"""Passes over the tests that ``KNOWN-RED.txt`` lists, where CI asks for it."""

from __future__ import annotations

import pathlib

import pytest


def listed_tests(text: str) -> set[str]:
    """Read the ids of the tests of an entry each.

    :param text: entries that begin with an id; their other lines are indented
    :return: the ids
    """
    return {
        line.strip()
        for line in text.splitlines()
        if line.strip() and not line[0].isspace()
    }


def pytest_addoption(parser):
    parser.addoption(
        "--known-red",
        type=pathlib.Path,
        help="a file that lists the tests to pass over",
    )


def pytest_collection_modifyitems(config, items):
    path = config.getoption("--known-red")
    if path is None:
        return
    listed = listed_tests(path.read_text())
    unknown = listed - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(
            f"{path} lists tests that don't exist; remove or correct these "
            f"entries: {sorted(unknown)}"
        )
    passed_over = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=passed_over)
