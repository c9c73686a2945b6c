"""What a VM tells one that lacks rows: the rows, their age, and who is in the fleet.

It goes over a connection as two strings, so that the rows, which many VMs that start
at once ask for, are encoded once for all of them.
"""

import typing
import zlib

import cbor2

from eelgrasswick import errors
from eelgrasswick.cookie import exchange, knowledge, peers, source

MAX_BYTES: typing.Final = 8_000_000
# A VM's standing and its rows.
STRING_COUNT: typing.Final = 2
# Members that are taken from one message; more than any fleet has.
MAX_MEMBERS: typing.Final = 10_000
_LEVEL: typing.Final = 3


class SenderState(typing.NamedTuple):
    """What a VM tells of itself and the others.

    Attributes:
        age_ms: Age of what it knows of the store.
        members: The VMs that it takes for alive.
    """

    age_ms: int
    members: tuple[peers.Member, ...]


class Offer(typing.NamedTuple):
    """A VM's standing and its rows."""

    sender_state: SenderState
    changes: source.Changes

    def merge_into(
        self, now_ms: int, asked_ms: int, known: knowledge.Knowledge
    ) -> knowledge.Merge:
        """Merge the rows into what a VM knows.

        Args:
            now_ms: Present time.
            asked_ms: When the VM asked for them; their age counts from then.
            known: What it knows.
        """
        merge = known.merge(now_ms, self.changes)
        known.confirm(self.changes.revision, asked_ms - self.sender_state.age_ms)
        return merge


class OfferEncoder:
    """The offers of a VM, encoded."""

    def __init__(
        self,
        since: typing.Callable[[int], source.Changes],
        standing: typing.Callable[[], SenderState],
    ) -> None:
        """Offer what a VM knows.

        Args:
            since: Returns what changed after a revision.
            standing: Returns how the VM stands now.
        """
        self._since = since
        self._standing = standing
        self._full_revision = 0
        self._full = b""

    def encode(self, revision: int) -> tuple[bytes, bytes]:
        """Return the strings for a VM that knows all up to a revision.

        Only one that starts, at revision 0, is told of the members; a change of the
        configuration is fetched by every VM.
        """
        standing = self._standing()
        if revision:
            standing = standing._replace(members=())
        return _encode_standing(standing), self._rows(self._since(revision))

    def _rows(self, changes: source.Changes) -> bytes:
        if changes.base:
            return _deflate(changes)
        if changes.revision != self._full_revision:
            self._full = _deflate(changes)
            self._full_revision = changes.revision
        return self._full


def decode(standing: bytes, rows: bytes) -> Offer:
    """Read an offer's strings.

    Raises:
        errors.MessageInvalidError: They are something else.
    """
    return Offer(_decode_standing(standing), exchange.decode_changes(_inflate(rows)))


def _encode_standing(item: SenderState) -> bytes:
    return cbor2.dumps([item.age_ms, [list(member) for member in item.members]])


def _decode_standing(payload: bytes) -> SenderState:
    try:
        age_ms, members = cbor2.loads(payload)
        known = tuple(map(exchange.decode_member, members[:MAX_MEMBERS]))
        return SenderState(exchange.decode_count(age_ms), known)
    except exchange.DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"standing: {error}") from error


def _deflate(changes: source.Changes) -> bytes:
    return zlib.compress(exchange.encode_changes(changes), _LEVEL)


def _inflate(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(content, MAX_BYTES)
    except zlib.error as fault:
        raise errors.MessageInvalidError(f"changes: {fault}") from fault
    if inflater.unconsumed_tail:
        raise errors.MessageInvalidError("changes are too long")
    return plain
