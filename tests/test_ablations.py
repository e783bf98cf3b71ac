"""Each mechanism that is listed can still be switched off."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
MECHANISMS = tomllib.loads((ROOT / "tools" / "ablations.toml").read_text())


@pytest.mark.parametrize("name", MECHANISMS)
def test_what_is_replaced_stands_in_the_sources_once(name: str) -> None:
    # A table of what mechanisms are worth can't be measured again when the
    # list names code that is no longer there.
    mechanism = MECHANISMS[name]
    text = (ROOT / mechanism["file"]).read_text()
    assert text.count(mechanism["stands"]) == 1
    assert mechanism["without"] != mechanism["stands"]
