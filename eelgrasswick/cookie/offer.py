"""The offer that a VM sends to one that lacks rows: rows, age and fleet members.

An offer goes over a connection as two strings. The rows have a string of their own,
so that they are encoded only once for the many VMs that request them when a fleet
starts.
"""

import typing
import zlib

import cbor2

from eelgrasswick import errors
from eelgrasswick.cookie import exchange, peers, source, store_replica

MAX_BYTES: typing.Final = 8_000_000
# An offer consists of the encoded sender state and the encoded rows.
STRING_COUNT: typing.Final = 2
# Further members of a message are ignored; no fleet has this many.
MAX_MEMBERS: typing.Final = 10_000
_COMPRESSION_LEVEL: typing.Final = 3


class SenderState(typing.NamedTuple):
    """The age of the sender's rows, and the members that it lists.

    Attributes:
        age_ms: Time since the sender's rows were last confirmed complete.
        members: The VMs that the sender treats as alive.
    """

    age_ms: int
    members: tuple[peers.Member, ...]


class Offer(typing.NamedTuple):
    """The state and the rows of the sending VM."""

    sender_state: SenderState
    changes: source.Changes

    def merge_into(
        self, now_ms: int, requested_ms: int, replica: store_replica.StoreReplica
    ) -> store_replica.Merge:
        """Merge the offered rows into a VM's copy of the store, and confirm it.

        Args:
            now_ms: Present time.
            requested_ms: When the VM requested the offer; the age counts from then.
            replica: The VM's copy of the store's rows.
        """
        merge = replica.merge(now_ms, self.changes)
        replica.confirm(self.changes.revision, requested_ms - self.sender_state.age_ms)
        return merge


class OfferEncoder:
    """Encodes the offers of a VM, and caches the encoded full listing."""

    def __init__(
        self,
        changes_since: typing.Callable[[int], source.Changes],
        sender_state: typing.Callable[[], SenderState],
    ) -> None:
        """Create an encoder for a VM's rows.

        Args:
            changes_since: Returns the changes after a revision.
            sender_state: Returns the current age and members of the VM.
        """
        self._changes_since = changes_since
        self._sender_state = sender_state
        self._full_revision: int | None = None
        self._full = b""

    def encode(self, revision: int) -> tuple[bytes, bytes]:
        """Encode an offer for a VM that has all changes up to a revision.

        Only a VM that starts, at revision 0, receives the members. Every VM fetches
        each change of the configuration, and the members would multiply that traffic.
        """
        sender_state = self._sender_state()
        if revision:
            sender_state = sender_state._replace(members=())
        return _encode_sender_state(sender_state), self._encode_rows(
            self._changes_since(revision)
        )

    def _encode_rows(self, changes: source.Changes) -> bytes:
        if changes.base:
            return _deflate(changes)
        if changes.revision != self._full_revision:
            self._full = _deflate(changes)
            self._full_revision = changes.revision
        return self._full


def decode(sender_state: bytes, rows: bytes) -> Offer:
    """Decode the two strings of an offer.

    Raises:
        errors.MessageInvalidError: The strings are not a valid offer.
    """
    return Offer(
        _decode_sender_state(sender_state), exchange.decode_changes(_inflate(rows))
    )


def _encode_sender_state(item: SenderState) -> bytes:
    return cbor2.dumps([item.age_ms, [list(member) for member in item.members]])


def _decode_sender_state(payload: bytes) -> SenderState:
    try:
        age_ms, members = cbor2.loads(payload)
        listed = tuple(map(exchange.decode_member, members[:MAX_MEMBERS]))
        return SenderState(exchange.decode_count(age_ms), listed)
    except exchange.DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"sender state: {error}") from error


def _deflate(changes: source.Changes) -> bytes:
    return zlib.compress(exchange.encode_changes(changes), _COMPRESSION_LEVEL)


def _inflate(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(content, MAX_BYTES)
    except zlib.error as fault:
        raise errors.MessageInvalidError(f"changes: {fault}") from fault
    if inflater.unconsumed_tail:
        raise errors.MessageInvalidError("changes are too long when decompressed")
    return plain
