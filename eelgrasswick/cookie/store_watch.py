"""The task that calls the store when it is this VM's turn."""

import random
import typing

from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import clock, event_log, knowledge, source, watch_policy

MergeCallback = typing.Callable[[int, knowledge.Merge, str], None]
_ORIGIN: typing.Final = "store"


class StoreWatch:
    """One call to the store at a time, and what it brings."""

    def __init__(
        self,
        calls: source.ChangeSource,
        known: knowledge.Knowledge,
        merged: MergeCallback,
        log: event_log.EventLog,
        rng: random.Random,
    ) -> None:
        """Merge what the store says into some knowledge.

        Args:
            calls: The store.
            known: What this VM knows.
            merged: Told of each merge.
            log: Takes lost and regained lines.
            rng: Keeps the retries of VMs apart.
        """
        self.calls = 0
        self._source = calls
        self._knowledge = known
        self._merged = merged
        self._log = log
        self._rng = rng
        self._policy = watch_policy.WatchPolicy()
        self._busy = False
        # A VM may have read all rows before the libraries were imported.
        self._listing = not known.revision
        self._rank = 0

    def settle(self, now_ms: int) -> None:
        """Note that this VM knows its rank from the start."""
        self._policy.settle(now_ms)

    @property
    def store_responds(self) -> bool:
        """False while the store does not answer this VM."""
        return self._policy.failures < 2

    def check(self, now_ms: int, rank: int) -> None:
        """Call the store if it is this VM's turn.

        Args:
            now_ms: Present time.
            rank: This VM's place among those of its zone.
        """
        self._rank = rank
        age_ms = self._knowledge.age_ms(now_ms)
        if self._busy or not self._policy.due(now_ms, age_ms, rank):
            return
        self._busy = True
        defer.ensureDeferred(self._call(now_ms))

    async def _call(self, now_ms: int) -> None:
        self.calls += 1
        try:
            await self._listed() if self._listing else await self._watched()
        except errors.HistoryGoneError as error:
            self._listing = True
            self._note("store_history_gone", error)
        except errors.StoreError as error:
            self._failed(error)
        else:
            self._answered(now_ms)
        finally:
            self._busy = False

    async def _listed(self) -> None:
        asked_ms = clock.now_ms()
        changes = await self._source.read_all()
        self._listing = False
        self._take(changes)
        self._knowledge.confirm(changes.revision, asked_ms)

    async def _watched(self) -> None:
        asked_ms = clock.now_ms()
        before = self._knowledge.revision
        changes = await self._source.changes(before, watch_policy.WATCH_TIMEOUT_MS)
        if not changes.rows and changes.revision > before:
            # The store has gone on without telling what changed. Taken over,
            # its revision would hide those changes for good.
            self._listing = True
            return
        self._take(changes)
        # With nothing to tell, the store has waited all the while.
        waited_ms = 0 if changes.rows else watch_policy.WATCH_TIMEOUT_MS
        self._knowledge.confirm(changes.revision, asked_ms + waited_ms)

    def _take(self, changes: source.Changes) -> None:
        now_ms = clock.now_ms()
        merge = self._knowledge.merge(now_ms, changes)
        self._merged(now_ms, merge, _ORIGIN)

    def _answered(self, asked_ms: int) -> None:
        now_ms = clock.now_ms()
        if self._policy.failures:
            self._log.write(
                "store_regained",
                failures=self._policy.failures,
                answer_ms=now_ms - asked_ms,
                revision=self._knowledge.revision,
            )
        self._policy.record_success(now_ms, self._rank)

    def _failed(self, error: errors.EelgrasswickError) -> None:
        now_ms = clock.now_ms()
        wait_ms = self._policy.record_failure(now_ms, self._rank, self._rng.random())
        self._note("store_lost", error, retry_ms=wait_ms)

    def _note(
        self, event: str, error: errors.EelgrasswickError, **fields: object
    ) -> None:
        now_ms = clock.now_ms()
        self._log.write(
            event,
            kind=error.kind.value,
            detail=error.detail,
            failures=self._policy.failures,
            revision=self._knowledge.revision,
            age_ms=knowledge.reported_age_ms(self._knowledge.age_ms(now_ms)),
            **fields,
        )
