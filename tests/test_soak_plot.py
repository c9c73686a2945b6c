"""The picture of a soak run."""

import pathlib

from eelgrasswick.soak import history, plot


def _event(at_s: float, kind: history.Kind, detail: str = "") -> history.Event:
    return history.Event(at_s, kind, "c1", detail=detail)


def test_ends_of_requests_are_counted_by_half_second() -> None:
    events = [
        _event(10.1, history.Kind.ANSWERED),
        _event(10.4, history.Kind.ANSWERED),
        _event(10.6, history.Kind.LOST),
        _event(10.7, history.Kind.OPENED),
    ]
    found = plot.count_outcomes(events, 10.0)
    assert found[history.Kind.ANSWERED] == [2, 0]
    assert found[history.Kind.LOST] == [0, 1]
    assert found[history.Kind.REFUSED] == [0, 0]


def test_picture_is_written(tmp_path: pathlib.Path) -> None:
    events = [
        _event(0.0, history.Kind.FAULT, "vm_kill 0.5"),
        _event(0.2, history.Kind.ANSWERED),
    ]
    path = tmp_path / "run.svg"
    plot.draw(events, path, "seed 1")
    assert "<svg" in path.read_text()
