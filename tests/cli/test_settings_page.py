from __future__ import annotations

import pathlib

from click import testing

from boragefold.cli import main
from boragefold.cli import settings_page

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
