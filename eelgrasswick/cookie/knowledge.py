"""What a VM knows of the store, how far it goes and how old it is.

Rows carry the store's revision of their last change, so rows from any source
merge by taking the higher revision, and knowledge never goes back whichever
source speaks last. Age is kept apart: knowledge that is complete up to a
revision says nothing of what came after, so each confirmation carries the time
at which it was asked for.
"""

import collections
import typing

from eelgrasswick.cookie import source

# Deletions remembered for VMs that are behind; a fleet of 19,000 targets with
# 1,700 restarts a day needs far fewer in the seconds for which a VM is behind.
MAX_TOMBSTONES: typing.Final = 512
NEVER_MS: typing.Final = -1_000_000_000
# Ages above this are shown as this; a VM that knows nothing has none.
MAX_REPORTED_AGE_MS: typing.Final = 1_000_000


def reported_age_ms(age_ms: int) -> int:
    """Return an age as logs, metrics and other VMs get it."""
    return min(max(0, age_ms), MAX_REPORTED_AGE_MS)


class Merge(typing.NamedTuple):
    """What a merge changed.

    Attributes:
        rows: The rows that are new to this VM.
        gap_ms: Age of the knowledge before the merge.
    """

    rows: tuple[source.Row, ...]
    previous_age_ms: int


class Knowledge:
    """Rows by key, merged by revision."""

    def __init__(self) -> None:
        """Know nothing."""
        self.revision = 0
        self.confirmed_ms = NEVER_MS
        self._rows: dict[str, source.Row] = {}
        self._deleted: collections.OrderedDict[str, source.Row] = (
            collections.OrderedDict()
        )
        self._floor = 0

    @property
    def rows(self) -> typing.Iterable[source.Row]:
        """All rows that exist."""
        return self._rows.values()

    def age_ms(self, now_ms: int) -> int:
        """Return how long ago the store was known to hold no more than this."""
        return now_ms - self.confirmed_ms

    def confirm(self, revision: int, at_ms: int) -> None:
        """Note that no change after a revision had been made at some time."""
        if revision == self.revision:
            self.confirmed_ms = max(self.confirmed_ms, at_ms)

    def merge(self, now_ms: int, changes: source.Changes) -> Merge:
        """Take rows from the store or from another VM.

        Args:
            now_ms: Present time.
            changes: The rows. Those whose base lies above this VM's revision
                are left, as changes in between would be missed.

        Returns:
            The rows that were new.
        """
        gap_ms = self.age_ms(now_ms)
        if changes.base > self.revision or changes.revision < self.revision:
            return Merge((), gap_ms)
        new = [row for row in changes.rows if self._take(row)]
        if changes.base == 0 and changes.revision > self.revision:
            new += self._drop_missing(changes)
        self.revision = changes.revision
        return Merge(tuple(new), gap_ms)

    def changes_since(self, revision: int) -> source.Changes:
        """Return what a VM lacks that knows all up to a revision."""
        if revision < self._floor or revision == 0:
            return source.Changes(tuple(self._rows.values()), self.revision, 0)
        known = (*self._rows.values(), *self._deleted.values())
        rows = tuple(row for row in known if row.revision > revision)
        return source.Changes(rows, self.revision, revision)

    def _take(self, row: source.Row) -> bool:
        present = self._rows.get(row.key) or self._deleted.get(row.key)
        if present is not None and present.revision >= row.revision:
            return False
        if row.value is not None:
            self._deleted.pop(row.key, None)
            self._rows[row.key] = row
            return True
        self._rows.pop(row.key, None)
        self._deleted[row.key] = row
        self._deleted.move_to_end(row.key)
        if len(self._deleted) > MAX_TOMBSTONES:
            _, oldest = self._deleted.popitem(last=False)
            self._floor = max(self._floor, oldest.revision)
        return True

    def _drop_missing(self, changes: source.Changes) -> list[source.Row]:
        # A key that a full listing leaves out was deleted at a revision that
        # nobody knows; VMs behind this one must get a full listing too.
        listed = {row.key for row in changes.rows}
        missing = [
            row
            for row in self._rows.values()
            if row.key not in listed and row.revision <= changes.revision
        ]
        self._floor = max(self._floor, changes.revision)
        for row in missing:
            del self._rows[row.key]
        return [row._replace(value=None) for row in missing]
