"""Tests that the start of an instance imports no large unused modules."""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Each takes at least a tenth of the start time, and no request needs it.
UNUSED = ("absl.logging", "importlib.metadata", "multiprocessing.pool")


def test_a_start_imports_nothing_large_that_no_request_needs() -> None:
    # Guards against slow starts when hundreds of instances start together
    # after a power failure.
    code = "import run, sys; print(*sys.modules, sep='\\n')"
    imported = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT / "platform",
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert "circuits" in imported
    assert not set(UNUSED) & set(imported)
