"""What the start of an instance may cost."""

from __future__ import annotations

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Each takes a tenth of the start or more, and serves no request.
UNUSED = ("absl.logging", "importlib.metadata", "multiprocessing.pool")


def test_a_start_imports_nothing_large_that_no_request_needs() -> None:
    # Hundreds that start together after a loss of power start more slowly.
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
