from __future__ import annotations

import json

from click import testing

from boragefold.cli import main

LINE = (
    '{"time_seconds":1.5,"event":"request_refused",'
    '"request_id":"r1","reason":"rate_exceeded"}\n'
)
SAME = {"believed": 6}


def test_a_story_from_files(tmp_path) -> None:
    log = tmp_path / "front-1.log"
    log.write_text(LINE)
    result = testing.CliRunner().invoke(main.main, ["story", "r1", str(log)])
    assert result.exit_code == 0
    assert "front-1 request_refused reason=rate_exceeded" in result.output


def test_a_story_from_standard_input() -> None:
    runner = testing.CliRunner()
    result = runner.invoke(main.main, ["story", "r1"], input=LINE)
    assert result.exit_code == 0
    assert "rate_exceeded" in result.output


def test_an_engines_story_has_the_orders_of_all_instances(tmp_path) -> None:
    # Two owners took turns at one engine; each log alone looks right.
    lines = [
        (3.0, "b", "engine_taken_up", {"engine": "e1"}),
        (3.1, "b", "engine_report", {"engine": "e1", "count": 6, **SAME}),
        (3.4, "a", "engine_order", {"engine": "e1", "adapter": "a5"}),
        (3.5, "a", "engine_order", {"engine": "e2", "adapter": "a9"}),
        (4.4, "b", "engine_order", {"engine": "e1", "adapter": "a7"}),
        (4.6, "a", "engine_report", {"engine": "e1", "count": 7, **SAME}),
        (4.7, "a", "engine_order", {"engine": "e1", "adapter": "a8"}),
        (4.8, "a", "engine_rejected", {"engine": "e1", "request_id": "r1"}),
    ]
    files = [tmp_path / "front-b.log", tmp_path / "front-a.log"]
    for file in files:
        file.write_text(
            "\n".join(
                json.dumps({"time_seconds": at, "event": event, **fields})
                for at, name, event, fields in lines
                if file.stem == f"front-{name}"
            )
        )
    result = testing.CliRunner().invoke(
        main.main, ["story", "e1", *map(str, files)]
    )
    told = [line.split()[:3] for line in result.output.splitlines()]
    assert told == [
        ["3.000", "front-b", "engine_taken_up"],
        ["3.400", "front-a", "engine_order"],
        ["4.400", "front-b", "engine_order"],
        ["4.600", "front-a", "engine_report"],
        ["4.700", "front-a", "engine_order"],
    ]


def test_a_story_has_all_tries_of_a_streams_caller() -> None:
    lines = [
        {"event": "request_sent", "request_id": "r1"},
        {"event": "request_sent", "request_id": "r9"},
        {"event": "stream_taken_up", "request_id": "r2", "resumes": "r1"},
        {"event": "stream_taken_up", "request_id": "r3", "resumes": "r2"},
        {"event": "stream_taken_up", "request_id": "r8", "resumes": "r7"},
        {"event": "stream_taken_up", "request_id": "r6", "resumes": ""},
    ]
    log = "\n".join(
        json.dumps({"time_seconds": at, **line})
        for at, line in enumerate(lines)
    )
    for name in ("r1", "r2", "r3"):
        result = testing.CliRunner().invoke(
            main.main, ["story", name], input=log
        )
        told = [line.split()[0] for line in result.output.splitlines()]
        assert told == ["0.000", "2.000", "3.000"]


def test_a_log_that_processes_share_names_them() -> None:
    runner = testing.CliRunner()
    result = runner.invoke(
        main.main, ["story", "r1"], input=f"front-2 | {LINE}"
    )
    assert "1.500 front-2 request_refused" in result.output


def test_an_unknown_request_names_the_remedy() -> None:
    runner = testing.CliRunner()
    result = runner.invoke(main.main, ["story", "other"], input=LINE)
    assert result.exit_code == 1
    assert "every instance" in result.output
