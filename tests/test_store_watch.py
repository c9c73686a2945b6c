"""The task that calls the store."""

import os
import random
import typing

import pytest
from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import clock, event_log, knowledge, source, stats, store_watch

Answer = source.Changes | Exception
ROW = source.Row("servers/i-0a", b"v", 5)


class Script(source.ChangeSource):
    """A store that gives prepared answers."""

    def __init__(self, *answers: Answer) -> None:
        """Give some answers, one after the other."""
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


class Task:
    """A store_watch task whose clock is turned by hand."""

    def __init__(self, script: Script, log: int) -> None:
        """Call a scripted store."""
        self.now_ms = 100_000
        self.knowledge = knowledge.Knowledge()
        self.merges: list[knowledge.Merge] = []
        written = event_log.EventLog(log, "vm1", 100, stats.Stats())
        self.store_watch = store_watch.StoreWatch(
            script, self.knowledge, self._merged, written, random.Random(1)
        )

    def _merged(self, now_ms: int, merge: knowledge.Merge, origin: str) -> None:
        self.merges.append(merge)

    def step(self, after_ms: int = 5000) -> None:
        """Let time pass, and call the store if it is this VM's turn."""
        self.now_ms += after_ms
        self.store_watch.check(self.now_ms, 0)


Start = typing.Callable[..., Task]


@pytest.fixture
def start(monkeypatch: pytest.MonkeyPatch) -> typing.Iterator[Start]:
    read, write = os.pipe()

    def begin(script: Script) -> Task:
        made = Task(script, write)
        monkeypatch.setattr(clock, "now_ms", lambda: made.now_ms)
        return made

    yield begin
    os.close(read)
    os.close(write)


def _listing(revision: int, *rows: source.Row) -> source.Changes:
    return source.Changes(rows, revision, 0)


def test_lists_first_then_watches(start: Start) -> None:
    script = Script(_listing(5, ROW), source.Changes((), 5, 5))
    task = start(script)
    task.step()
    task.step()
    assert script.calls == ["list", "watch 5"]
    assert task.knowledge.age_ms(task.now_ms) <= 0


def test_forgotten_history_is_made_good_by_a_listing(start: Start) -> None:
    """The store has dropped its history while a server left.

    A VM that went on watching would never hear of that server again.
    """
    gone = errors.HistoryGoneError("410")
    script = Script(_listing(5, ROW), gone, _listing(9))
    task = start(script)
    for _ in range(3):
        task.step()
    assert script.calls == ["list", "watch 5", "list"]
    assert task.merges[-1].rows == (ROW._replace(value=None),)


def test_answer_that_skips_changes_is_not_believed(start: Start) -> None:
    """A watch ends with a later revision and without the changes up to it.

    Taken over, these changes would be hidden from this VM for good.
    """
    script = Script(
        _listing(5, ROW),
        source.Changes((), 8, 5),
        _listing(8, ROW._replace(revision=7)),
    )
    task = start(script)
    for _ in range(3):
        task.step()
    assert script.calls == ["list", "watch 5", "list"]
    assert task.knowledge.revision == 8


def test_failed_calls_leave_knowledge_old(start: Start) -> None:
    """The store answers nothing for seconds.

    A VM that took its knowledge for fresh would refuse routes that were added.
    """
    lost = errors.StoreError("no answer")
    script = Script(_listing(5, ROW), lost, lost, source.Changes((), 5, 5))
    task = start(script)
    task.step()
    task.step()
    task.step()
    assert task.knowledge.age_ms(task.now_ms) == 10_000
    assert not task.store_watch.store_responds
    task.step()
    assert task.store_watch.store_responds
    assert task.knowledge.age_ms(task.now_ms) <= 0


def test_one_call_at_a_time(start: Start) -> None:
    """A call hangs. Each further one would hang too, and be paid for."""

    class Hanging(Script):
        async def read_all(self) -> source.Changes:
            self.calls.append("list")
            await typing.cast(typing.Any, defer.Deferred())
            raise AssertionError

    script = Hanging()
    task = start(script)
    for _ in range(5):
        task.step()
    assert script.calls == ["list"]


def test_journal_never_waits_for_its_reader() -> None:
    """Whoever collects the logs has stopped reading.

    A VM that waited for it would carry no packet.
    """
    read, write = os.pipe()
    counted = stats.Stats()
    written = event_log.EventLog(write, "vm1", 10**9, counted)
    for _ in range(20_000):
        written.write("event", detail="x" * 50)
        written.flush()
    assert counted.counts["log_lines_left_out"] > 0
    os.close(read)
    written.flush()
    assert counted.counts["log_write_failed"] == 1
    os.close(write)


def test_journal_says_what_was_left_out() -> None:
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


def test_page_of_metrics() -> None:
    counted = stats.Stats()
    counted.counts["packets"] += 3
    counted.gauges["flows"] = 2
    for value_ms in (1, 30, 9000):
        counted.observe("answer", value_ms)
    text = counted.text()
    assert "eelgrasswick_packets_total 3" in text
    assert "eelgrasswick_flows 2" in text
    assert 'eelgrasswick_answer_ms_bucket{le="50"} 2' in text
    assert 'eelgrasswick_answer_ms_bucket{le="+Inf"} 3' in text
