"""Interfaces by which entry VMs read configuration and targets from the store."""

import abc
import typing

from eelgrasswick.cookie import model

# Messages between VMs carry keys of at most this length. The store's limit is lower.
MAX_KEY_CHARACTERS: typing.Final = 256
MAX_REVISION: typing.Final = 2**63 - 1


class Row(typing.NamedTuple):
    """The last change of one key of the store.

    Attributes:
        key: Name of the key.
        value: Value in bytes; None when the key was deleted.
        revision: The store's revision of the change.
    """

    key: str
    value: bytes | None
    revision: int


class Changes(typing.NamedTuple):
    """Rows of the store, and the range of revisions that they cover.

    Attributes:
        rows: The rows that changed, or all rows.
        revision: The rows include every change up to this revision, except those
            up to ``base``.
        base: 0 when ``rows`` is a full listing; otherwise the rows include every
            change after this revision.
        refused: Reasons why items of the store are not among the rows, one for each.
    """

    rows: tuple[Row, ...]
    revision: int
    base: int
    refused: tuple[str, ...] = ()


class ChangeSource(abc.ABC):
    """Read-only access to the store.

    Every method raises ``errors.StoreError`` when the store does not answer or
    refuses the call, and ``errors.HistoryGoneError`` when the store no longer has
    the history of changes that the call needs.
    """

    @abc.abstractmethod
    async def read_all(self) -> Changes:
        """Return all rows."""

    @abc.abstractmethod
    async def changes(self, after: int, wait_ms: int) -> Changes:
        """Return the rows that changed after a revision.

        Args:
            after: The revision up to which this VM has all changes.
            wait_ms: How long the store waits for a change before it answers
                with none.
        """


class Reader(abc.ABC):
    """Decodes rows into configuration, evacuations and targets."""

    @abc.abstractmethod
    def is_config(self, key: str) -> bool:
        """Return True if a key holds the configuration."""

    @abc.abstractmethod
    def is_target(self, key: str) -> bool:
        """Return True if a key holds a target."""

    @abc.abstractmethod
    def is_evacuation(self, key: str) -> bool:
        """Return True if a key orders an evacuation."""

    @abc.abstractmethod
    def config(self, row: Row) -> model.Config:
        """Decode the configuration in a row.

        Raises:
            errors.EntryInvalidError: The row is not a valid configuration.
        """

    @abc.abstractmethod
    def evacuation(self, row: Row) -> model.Evacuation:
        """Decode the evacuation that a row orders.

        The key alone orders the evacuation. A malformed value is recorded in the
        result.

        Raises:
            errors.EntryInvalidError: The key names no zone.
        """

    @abc.abstractmethod
    def target(self, row: Row) -> model.Target:
        """Decode the target in a row.

        Raises:
            errors.EntryInvalidError: The row is not a valid target.
        """
