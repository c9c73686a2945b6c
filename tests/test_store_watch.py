"""Tests of the task that watches the store, of the event log and of metrics."""

import os
import random
import typing

import pytest
from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import (
    clock,
    event_log,
    source,
    stats,
    store_replica,
    store_watch,
)

Answer = source.Changes | Exception
ROW = source.Row("servers/i-0a", b"v", 5)


class ScriptedStore(source.ChangeSource):
    """A store that returns prepared answers."""

    def __init__(self, *answers: Answer) -> None:
        """Prepare answers, which are returned one after the other."""
        self.answers = list(answers)
        self.calls: list[str] = []

    async def read_all(self) -> source.Changes:
        """Give the next answer; see the base class."""
        return self._next("list")

    async def changes(self, after: int, wait_ms: int) -> source.Changes:
        """Give the next answer; see the base class."""
        return self._next(f"watch {after}")

    def _next(self, call: str) -> source.Changes:
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class WatchTask:
    """A store watch with a clock that the test advances."""

    def __init__(self, script: ScriptedStore, log: int) -> None:
        """Create a watch that calls a scripted store."""
        self.now_ms = 100_000
        self.replica = store_replica.StoreReplica()
        self.merges: list[store_replica.Merge] = []
        written = event_log.EventLog(log, "vm1", 100, stats.Stats())
        self.store_watch = store_watch.StoreWatch(
            script, self.replica, self._record_merge, written, random.Random(1)
        )

    def _record_merge(
        self, now_ms: int, merge: store_replica.Merge, origin: str
    ) -> None:
        self.merges.append(merge)

    def step(self, after_ms: int = 5000) -> None:
        """Advance the clock, and call the store if a call is due."""
        self.now_ms += after_ms
        self.store_watch.check(self.now_ms, 0)


Start = typing.Callable[..., WatchTask]


@pytest.fixture
def start(monkeypatch: pytest.MonkeyPatch) -> typing.Iterator[Start]:
    read, write = os.pipe()

    def begin(script: ScriptedStore) -> WatchTask:
        watch = WatchTask(script, write)
        monkeypatch.setattr(clock, "now_ms", lambda: watch.now_ms)
        return watch

    yield begin
    os.close(read)
    os.close(write)


def _listing(revision: int, *rows: source.Row) -> source.Changes:
    return source.Changes(rows, revision, 0)


def test_lists_first_then_watches(start: Start) -> None:
    script = ScriptedStore(_listing(5, ROW), source.Changes((), 5, 5))
    task = start(script)
    task.step()
    task.step()
    assert script.calls == ["list", "watch 5"]
    assert task.replica.age_ms(task.now_ms) <= 0


def test_listing_follows_a_watch_whose_history_is_gone(start: Start) -> None:
    """Guards against missed deletions of targets when the store lost its history."""
    gone = errors.HistoryGoneError("410")
    script = ScriptedStore(_listing(5, ROW), gone, _listing(9))
    task = start(script)
    for _ in range(3):
        task.step()
    assert script.calls == ["list", "watch 5", "list"]
    assert task.merges[-1].rows == (ROW._replace(value=None),)


def test_listing_follows_an_answer_that_skips_changes(start: Start) -> None:
    """Guards against changes lost for good with a later revision without rows."""
    script = ScriptedStore(
        _listing(5, ROW),
        source.Changes((), 8, 5),
        _listing(8, ROW._replace(revision=7)),
    )
    task = start(script)
    for _ in range(3):
        task.step()
    assert script.calls == ["list", "watch 5", "list"]
    assert task.replica.revision == 8


def test_failed_calls_confirm_nothing(start: Start) -> None:
    """Guards against a VM that treats old rows as current and refuses new routes."""
    lost = errors.StoreError("no answer")
    script = ScriptedStore(_listing(5, ROW), lost, lost, source.Changes((), 5, 5))
    task = start(script)
    task.step()
    task.step()
    task.step()
    assert task.replica.age_ms(task.now_ms) == 10_000
    assert not task.store_watch.store_responds
    task.step()
    assert task.store_watch.store_responds
    assert task.replica.age_ms(task.now_ms) <= 0


def test_one_call_at_a_time(start: Start) -> None:
    """Guards against further calls, each paid for, while one call hangs."""

    class Hanging(ScriptedStore):
        async def read_all(self) -> source.Changes:
            self.calls.append("list")
            await typing.cast(typing.Any, defer.Deferred())
            raise AssertionError

    script = Hanging()
    task = start(script)
    for _ in range(5):
        task.step()
    assert script.calls == ["list"]


def test_event_log_does_not_block_when_its_reader_stops() -> None:
    """Guards against a VM that forwards no packets while it waits for a log reader."""
    read, write = os.pipe()
    counters = stats.Stats()
    written = event_log.EventLog(write, "vm1", 10**9, counters)
    for _ in range(20_000):
        written.write("event", detail="x" * 50)
        written.flush()
    assert counters.counts["log_lines_left_out"] > 0
    os.close(read)
    written.flush()
    assert counters.counts["log_write_failed"] == 1
    os.close(write)


def test_event_log_counts_the_lines_left_out() -> None:
    read, write = os.pipe()
    times_ms = iter((0, 1, 2, 3, 1500))
    written = event_log.EventLog(write, "vm1", 2, stats.Stats(), lambda: next(times_ms))
    for _ in range(5):
        written.write("event")
    written.flush()
    lines = os.read(read, 10_000).decode().splitlines()
    assert [line.split()[1] for line in lines] == [
        "event=event",
        "event=event",
        "event=log_bounded",
        "event=event",
    ]
    assert "sort=event left_out=2" in lines[2]
    os.close(read)
    os.close(write)


def test_metrics_have_the_prometheus_text_format() -> None:
    counters = stats.Stats()
    counters.counts["packets"] += 3
    counters.gauges["flows"] = 2
    for value_ms in (1, 30, 9000):
        counters.observe("answer", value_ms)
    text = counters.text()
    assert "eelgrasswick_packets_total 3" in text
    assert "eelgrasswick_flows 2" in text
    assert 'eelgrasswick_answer_ms_bucket{le="50"} 2' in text
    assert 'eelgrasswick_answer_ms_bucket{le="+Inf"} 3' in text


def test_answer_with_only_refused_items_is_followed_by_a_watch(start: Start) -> None:
    """Guards against a listing of the store for each entry that can't be read."""
    script = ScriptedStore(
        _listing(5, ROW),
        source.Changes((), 6, 5, ("key",)),
        source.Changes((), 6, 6),
    )
    task = start(script)
    for _ in range(3):
        task.step()
    assert script.calls == ["list", "watch 5", "watch 6"]
    assert task.merges[1].refused == ("key",)
