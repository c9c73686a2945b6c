"""Extraction of the log lines that explain a flow."""

import pathlib
import subprocess
import sys

import pytest

from eelgrasswick import story

FLOW = "100.64.0.7:40001>198.18.0.1:443"


def _line(at_s: float, event: str, vm: str = "vm1", **fields: str) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"at=2026-12-03T10:00:{at_s:06.3f}+00:00 event={event} vm={vm} {pairs}"


@pytest.fixture
def log() -> list[str]:
    return [
        _line(1, "target_known", target="i-0a", revision="3"),
        _line(2, "target_known", vm="vm2", target="i-0a", revision="3"),
        _line(9, "store_lost", kind="store_unavailable", detail='"no answer"'),
        _line(10, "flow_placed", flow=FLOW, target="i-0a", age_ms="900"),
        _line(10.2, "flow_placed_again", flow=FLOW, target="i-0b", copy="1"),
        _line(10.5, "target_dead", target="i-0a", flows_reset="3"),
        _line(30, "store_regained", failures="9"),
        _line(10, "flow_placed", flow=FLOW.replace("0.7", "0.8"), target="i-0a"),
    ]


def test_story_has_the_flow_and_the_events_around_it(log: list[str]) -> None:
    found = story.extract(log, FLOW)
    assert [line.event for line in found.flow] == ["flow_placed", "flow_placed_again"]
    assert [line.event for line in found.targets] == ["target_known", "target_dead"]
    assert [line.event for line in found.around] == ["store_lost"]
    assert found.around[0].fields["detail"] == "no answer"


def test_prefix_of_a_log_collector_is_skipped(log: list[str]) -> None:
    found = story.extract([f" 10.01 vm1 {line}" for line in log], FLOW)
    assert len(found.flow) == 2


@pytest.mark.parametrize("text", ["", "Traceback", "at=noon event=a vm=b", "at=x"])
def test_line_without_an_event_gives_none(text: str) -> None:
    assert story.parse(text) is None


def test_command_prints_the_story_and_fails_without_one(
    log: list[str], tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "vm1.log"
    path.write_text("\n".join(log))
    command = [sys.executable, "-m", "eelgrasswick", "story", FLOW, str(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert "flow_placed_again" in done.stdout
    command[4] = "1.2.3.4:5"
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 1
