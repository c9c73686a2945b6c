"""Interface of the platform's key-value store."""

import abc
import typing

RULES_KEY: typing.Final = "eelgrasswick/rules"
AUDIT_PREFIX: typing.Final = "eelgrasswick/audit/"
IN_FORCE_PREFIX: typing.Final = "eelgrasswick/inforce/"
VMS_PREFIX: typing.Final = "vms/"


class Row(typing.NamedTuple):
    """One key with its value.

    Attributes:
        key: Name of the key.
        value: Value of the key, at most one megabyte.
        revision: Store revision of the last write to this key.
    """

    key: str
    value: bytes
    revision: int


class Compare(typing.NamedTuple):
    """A condition on the revision of a key's last write; 0 for an absent key."""

    key: str
    revision: int


class Put(typing.NamedTuple):
    """A write; with a lease of 0 the key does not expire."""

    key: str
    value: bytes
    lease: int = 0


class Committed(typing.NamedTuple):
    """The store's response to a transaction.

    Attributes:
        accepted: True when all conditions held and all writes were made.
        revision: The store's revision afterwards.
    """

    accepted: bool
    revision: int


Listener = typing.Callable[[tuple[Row, ...]], None]


class Store(abc.ABC):
    """Compare-and-swap on revisions, leases and watches.

    Every method raises ``errors.StoreError`` when the store does not respond. A
    write may have taken effect nevertheless.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return a key's row, or None when there is no such key."""

    @abc.abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[Row, ...]:
        """Return all rows whose key begins with a prefix, sorted by key."""

    @abc.abstractmethod
    async def commit(
        self, compares: typing.Sequence[Compare], puts: typing.Sequence[Put]
    ) -> Committed:
        """Make all writes if all conditions hold, and none otherwise."""

    @abc.abstractmethod
    async def grant(self, ttl_s: int) -> int:
        """Return a new lease that expires unless it is kept alive."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Extend a lease; return False when it has expired."""

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, listener: Listener) -> None:
        """Report writes to keys with a prefix until the connection ends.

        Args:
            prefix: Beginning of the keys.
            after: Writes with a revision above this one are reported.
            listener: Called with the rows of each write.
        """
