from __future__ import annotations

import pathlib
import re

PAGE = pathlib.Path("docs/PROOFS.md")
NAMED = re.compile(r"`(tests/[\w/]+\.py)(?:::(\w+))?`")


def test_every_test_that_the_proofs_name_exists() -> None:
    named = NAMED.findall(PAGE.read_text())
    assert len(named) > 20
    missing = [
        (file, test)
        for file, test in named
        if not pathlib.Path(file).is_file()
        or f"def {test}" not in pathlib.Path(file).read_text()
    ]
    assert not missing
