"""A VM's copy of the store's rows, with its revision and its age.

Each row carries the store's revision of its last change. A merge keeps the row with
the higher revision, so the copy never reverts to an older row, whichever source sends
last. Age is recorded apart from revision: a copy that is complete up to a revision may
lack later changes, so each confirmation carries the time at which it was requested.
"""

import collections
import typing

from eelgrasswick.cookie import source

# Deletions are kept as tombstones for VMs that lag behind. A fleet of 19,000 targets
# with 1,700 restarts a day needs far fewer in the seconds for which a VM lags.
MAX_TOMBSTONES: typing.Final = 512
NEVER_MS: typing.Final = -1_000_000_000
# Larger ages are reported as this value, because the age of an empty copy is
# meaningless.
MAX_REPORTED_AGE_MS: typing.Final = 1_000_000


def reported_age_ms(age_ms: int) -> int:
    """Limit an age to the range used in logs, metrics and peer messages."""
    return min(max(0, age_ms), MAX_REPORTED_AGE_MS)


class Merge(typing.NamedTuple):
    """The result of a merge.

    Attributes:
        rows: The rows that are new to this VM.
        previous_age_ms: Age of the VM's copy before the merge.
        refused: Reasons why items of the store are not among the rows.
    """

    rows: tuple[source.Row, ...]
    previous_age_ms: int
    refused: tuple[str, ...] = ()


class StoreReplica:
    """A VM's copy of the store: rows by key, merged by revision.

    Attributes:
        revision: The copy has all changes up to this revision of the store.
        confirmed_ms: Latest time at which the store had no later revision.
    """

    def __init__(self) -> None:
        """Create an empty copy."""
        self.revision = 0
        self.confirmed_ms = NEVER_MS
        self._rows: dict[str, source.Row] = {}
        self._tombstones: collections.OrderedDict[str, source.Row] = (
            collections.OrderedDict()
        )
        self._oldest_base = 0

    @property
    def rows(self) -> typing.Iterable[source.Row]:
        """All rows that are not deleted."""
        return self._rows.values()

    def age_ms(self, now_ms: int) -> int:
        """Return the time since the copy was last confirmed complete."""
        return now_ms - self.confirmed_ms

    def confirm(self, revision: int, at_ms: int) -> None:
        """Record that a revision was the store's latest at a given time."""
        if revision == self.revision:
            self.confirmed_ms = max(self.confirmed_ms, at_ms)

    def merge(self, now_ms: int, changes: source.Changes) -> Merge:
        """Merge rows from the store or from another VM.

        Args:
            now_ms: Present time.
            changes: The rows. Changes whose base is above this VM's revision are
                rejected, because the VM would miss the changes in between.

        Returns:
            The rows that were new.
        """
        gap_ms = self.age_ms(now_ms)
        if changes.base > self.revision or changes.revision < self.revision:
            return Merge((), gap_ms, changes.refused)
        new = [row for row in changes.rows if self._merge_row(row)]
        if changes.base == 0 and changes.revision > self.revision:
            new += self._drop_missing(changes)
        self.revision = changes.revision
        return Merge(tuple(new), gap_ms, changes.refused)

    def changes_since(self, revision: int) -> source.Changes:
        """Return the rows that a VM lacks which has all changes up to a revision."""
        if revision < self._oldest_base or revision == 0:
            return source.Changes(tuple(self._rows.values()), self.revision, 0)
        candidates = (*self._rows.values(), *self._tombstones.values())
        rows = tuple(row for row in candidates if row.revision > revision)
        return source.Changes(rows, self.revision, revision)

    def _merge_row(self, row: source.Row) -> bool:
        present = self._rows.get(row.key) or self._tombstones.get(row.key)
        if present is not None and present.revision >= row.revision:
            return False
        if row.value is not None:
            self._tombstones.pop(row.key, None)
            self._rows[row.key] = row
            return True
        self._rows.pop(row.key, None)
        self._tombstones[row.key] = row
        self._tombstones.move_to_end(row.key)
        if len(self._tombstones) > MAX_TOMBSTONES:
            _, oldest = self._tombstones.popitem(last=False)
            self._oldest_base = max(self._oldest_base, oldest.revision)
        return True

    def _drop_missing(self, changes: source.Changes) -> list[source.Row]:
        # A key that is missing from a full listing was deleted at an unknown
        # revision. VMs with an earlier revision must get a full listing too.
        listed = {row.key for row in changes.rows}
        missing = [
            row
            for row in self._rows.values()
            if row.key not in listed and row.revision <= changes.revision
        ]
        self._oldest_base = max(self._oldest_base, changes.revision)
        for row in missing:
            del self._rows[row.key]
        return [row._replace(value=None) for row in missing]
