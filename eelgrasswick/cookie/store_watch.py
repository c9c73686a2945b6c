"""The task that watches the store for changes while this VM is responsible for it."""

import random
import typing

from twisted.internet import defer

from eelgrasswick import errors
from eelgrasswick.cookie import clock, event_log, source, store_replica, watch_policy

MergeCallback = typing.Callable[[int, store_replica.Merge, str], None]
_SOURCE_NAME: typing.Final = "store"


class StoreWatch:
    """Calls the store, one call at a time, and merges the rows that it returns.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(
        self,
        calls: source.ChangeSource,
        replica: store_replica.StoreReplica,
        on_merge: MergeCallback,
        log: event_log.EventLog,
        rng: random.Random,
    ) -> None:
        """Create a watch that merges the store's rows into a VM's copy.

        Args:
            calls: The store.
            replica: This VM's copy of the store's rows.
            on_merge: Called with the time, the merge and its source.
            log: Receives a line when the store is lost or regained.
            rng: Source of jitter for the retries.
        """
        self.calls = 0
        self._source = calls
        self._replica = replica
        self._on_merge = on_merge
        self._log = log
        self._rng = rng
        self._policy = watch_policy.WatchPolicy()
        self._busy = False
        # A VM that already read all rows, before the libraries were imported, needs
        # no listing.
        self._needs_listing = not replica.revision
        self._rank = 0

    def mark_rank_reliable(self, now_ms: int) -> None:
        """Record that this VM's rank is reliable from the start."""
        self._policy.mark_rank_reliable(now_ms)

    @property
    def store_responds(self) -> bool:
        """False while the store does not respond to this VM."""
        return self._policy.failures < 2

    def check(self, now_ms: int, rank: int) -> None:
        """Call the store if a call is due according to the watch policy.

        Args:
            now_ms: Present time.
            rank: This VM's rank among those of its zone.
        """
        self._rank = rank
        age_ms = self._replica.age_ms(now_ms)
        if self._busy or not self._policy.due(now_ms, age_ms, rank):
            return
        self._busy = True
        defer.ensureDeferred(self._call(now_ms))

    async def _call(self, now_ms: int) -> None:
        self.calls += 1
        try:
            await self._read_all() if self._needs_listing else await self._watch()
        except errors.HistoryGoneError as error:
            self._needs_listing = True
            self._log_error("store_history_gone", error)
        except errors.StoreError as error:
            self._record_failure(error)
        else:
            self._record_success(now_ms)
        finally:
            self._busy = False

    async def _read_all(self) -> None:
        requested_ms = clock.now_ms()
        changes = await self._source.read_all()
        self._needs_listing = False
        self._merge(changes)
        self._replica.confirm(changes.revision, requested_ms)

    async def _watch(self) -> None:
        requested_ms = clock.now_ms()
        before = self._replica.revision
        changes = await self._source.changes(before, watch_policy.WATCH_TIMEOUT_MS)
        answered = bool(changes.rows or changes.refused)
        if not answered and changes.revision > before:
            # The store returned a later revision without the changes up to it. If
            # the VM adopted that revision, it would never receive those changes.
            self._needs_listing = True
            return
        self._merge(changes)
        # A watch that returns nothing has waited for its whole time-out.
        waited_ms = 0 if answered else watch_policy.WATCH_TIMEOUT_MS
        self._replica.confirm(changes.revision, requested_ms + waited_ms)

    def _merge(self, changes: source.Changes) -> None:
        now_ms = clock.now_ms()
        merge = self._replica.merge(now_ms, changes)
        self._on_merge(now_ms, merge, _SOURCE_NAME)

    def _record_success(self, requested_ms: int) -> None:
        now_ms = clock.now_ms()
        if self._policy.failures:
            self._log.write(
                "store_regained",
                failures=self._policy.failures,
                answer_ms=now_ms - requested_ms,
                revision=self._replica.revision,
            )
        self._policy.record_success(now_ms, self._rank)

    def _record_failure(self, error: errors.EelgrasswickError) -> None:
        now_ms = clock.now_ms()
        wait_ms = self._policy.record_failure(now_ms, self._rank, self._rng.random())
        self._log_error("store_lost", error, retry_ms=wait_ms)

    def _log_error(
        self, event: str, error: errors.EelgrasswickError, **fields: object
    ) -> None:
        now_ms = clock.now_ms()
        self._log.write(
            event,
            kind=error.kind.value,
            detail=error.detail,
            failures=self._policy.failures,
            revision=self._replica.revision,
            age_ms=store_replica.reported_age_ms(self._replica.age_ms(now_ms)),
            **fields,
        )
