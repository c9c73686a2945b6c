"""The chart of a soak run."""

import pathlib

from eelgrasswick.soak import history, plot


def _event(at_s: float, kind: history.Kind, detail: str = "") -> history.Event:
    return history.Event(at_s, kind, "c1", detail=detail)


def test_request_outcomes_are_counted_by_bins_of_half_a_second() -> None:
    events = [
        _event(10.1, history.Kind.ANSWERED),
        _event(10.4, history.Kind.ANSWERED),
        _event(10.6, history.Kind.LOST),
        _event(10.7, history.Kind.OPENED),
    ]
    counts = plot.count_outcomes(events, 10.0)
    assert counts[history.Kind.ANSWERED] == [2, 0]
    assert counts[history.Kind.LOST] == [0, 1]
    assert counts[history.Kind.REFUSED] == [0, 0]


def test_chart_of_a_run_is_written_as_svg(tmp_path: pathlib.Path) -> None:
    events = [
        _event(0.0, history.Kind.FAULT, "vm_kill 0.5"),
        _event(0.2, history.Kind.ANSWERED),
    ]
    path = tmp_path / "run.svg"
    plot.draw(events, path, "seed 1")
    assert "<svg" in path.read_text()
