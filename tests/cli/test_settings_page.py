from __future__ import annotations

import pathlib
import socket
import subprocess
import sys

from click import testing

from boragefold.cli import main
from boragefold.cli import settings_page
from boragefold.standins import ports

PAGE = pathlib.Path("docs/operators/settings.md")


def test_the_operators_page_shows_the_settings_of_the_code() -> None:
    assert PAGE.read_text() == settings_page.page()


def test_all_bad_settings_are_named_at_once() -> None:
    result = testing.CliRunner().invoke(
        main.main,
        [
            *(
                "serve",
                "--listen",
                "localhost",
                "--platform",
                "10.0.0.1:99999",
            ),
            *("--peer-listen", "0.0.0.0:7000", "--data-centre", "a/b"),
            *("--operators-listen", "10.0.0.1:1", "--tls-key", "/nowhere"),
            *("--peer-secret", "short", "--seeds", "10.0.0.1:1"),
        ],
    )
    assert result.exit_code == 2
    named = {line.split(":")[0] for line in result.output.splitlines()}
    assert named == {
        "--listen",
        "--platform",
        "--peer-listen",
        "--data-centre",
        "--tls-key",
        "--peer-secret",
        "--seeds",
    }


def test_an_address_in_use_is_named_with_its_remedy() -> None:
    # Another process listens where this instance was told to. The instance
    # must end and say so, not fail with a traceback or hang.
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        ended = subprocess.run(
            [
                *(sys.executable, "-m", "boragefold", "serve"),
                *("--listen", address, "--data-centre", "a"),
                *("--platform", address),
                *("--peer-listen", ports.free_address()),
                *("--operators-listen", ports.free_address()),
            ],
            capture_output=True,
            timeout=60,
            check=False,
        )
    assert ended.returncode == 2
    assert b"--listen" in ended.stderr
