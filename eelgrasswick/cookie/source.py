"""Where configuration and targets come from: the store as entry VMs read it."""

import abc
import typing

from eelgrasswick.cookie import model


class Row(typing.NamedTuple):
    """One key of the store at its last change.

    Attributes:
        key: Name of the key.
        value: Its bytes; None when the key was deleted.
        revision: The store's revision of that change.
    """

    key: str
    value: bytes | None
    revision: int


class Changes(typing.NamedTuple):
    """Rows of the store, and how far they go.

    Attributes:
        rows: The rows that changed, or all of them.
        revision: All changes up to this revision are among the rows or are
            older than what was asked for.
        base: 0 when ``rows`` is all there is; else the rows hold every change
            after this revision.
    """

    rows: tuple[Row, ...]
    revision: int
    base: int


class ChangeSource(abc.ABC):
    """The store, read only.

    Every method raises ``errors.StoreError`` when the store gives no answer or
    refuses, and ``errors.HistoryGoneError`` when it has forgotten the changes.
    """

    @abc.abstractmethod
    async def read_all(self) -> Changes:
        """Return all rows."""

    @abc.abstractmethod
    async def changes(self, after: int, wait_ms: int) -> Changes:
        """Return what changed after a revision.

        Args:
            after: The revision up to which the caller knows everything.
            wait_ms: How long the store waits for a change before it answers
                with none.
        """


class Reader(abc.ABC):
    """Turns rows into configuration, evacuations and targets."""

    @abc.abstractmethod
    def is_config(self, key: str) -> bool:
        """Tell whether a key holds the configuration."""

    @abc.abstractmethod
    def is_target(self, key: str) -> bool:
        """Tell whether a key holds a target."""

    @abc.abstractmethod
    def is_evacuation(self, key: str) -> bool:
        """Tell whether a key orders an evacuation."""

    @abc.abstractmethod
    def config(self, row: Row) -> model.Config:
        """Return the configuration that a row holds.

        Raises:
            errors.EntryInvalidError: The row holds something else.
        """

    @abc.abstractmethod
    def evacuation(self, row: Row) -> model.Evacuation:
        """Return the evacuation that a row orders.

        The key alone orders it. A value that can't be read is noted in the result.

        Raises:
            errors.EntryInvalidError: The key names no zone.
        """

    @abc.abstractmethod
    def target(self, row: Row) -> model.Target:
        """Return the target that a row holds.

        Raises:
            errors.EntryInvalidError: The row holds something else.
        """
