"""What CI passes over is exactly what ``KNOWN-RED.txt`` lists."""

from __future__ import annotations

import pathlib

import pytest

from tests import conftest

pytest_plugins = ["pytester"]

TESTS = """
import pytest

@pytest.mark.parametrize("name", ["a b", "c"])
def test_red(name):
    assert name == "c"

def test_red_too():
    pass
"""
ENTRY = """test_some.py::test_red[a b]
  command: pytest 'test_some.py::test_red[a b]'
  seed: 17

  seen: a name with a space: it fails
  issue: 20
"""


@pytest.fixture
def project(pytester):
    pytester.makeconftest(pathlib.Path(conftest.__file__).read_text())
    pytester.makepyfile(test_some=TESTS)
    return pytester


def run(project, entries):
    path = project.path / "KNOWN-RED.txt"
    path.write_text(entries)
    return project.runpytest(f"--known-red={path.name}")


def test_only_the_listed_test_is_passed_over(project):
    run(project, ENTRY).assert_outcomes(passed=2, deselected=1)


def test_a_name_lists_no_test_that_begins_with_it(project):
    outcome = run(project, "test_some.py::test_red\n  seed: 17\n")
    assert outcome.ret == pytest.ExitCode.USAGE_ERROR
    outcome.stderr.fnmatch_lines("*lists tests that don't exist*test_red*")


def test_without_the_option_nothing_is_passed_over(project):
    (project.path / "KNOWN-RED.txt").write_text(ENTRY)
    project.runpytest().assert_outcomes(passed=2, failed=1)
