"""Messages between entry VMs, and the response of a VM to each.

A request carries a number that its response repeats. Only a response confirms the
age of a VM's rows, and that age counts from when the request was sent. A datagram
may stay in a queue for seconds. If a VM computed the age of its rows from an update,
it would treat outdated rows as current.
"""

import random
import socket
import typing

import cbor2

from eelgrasswick import errors
from eelgrasswick.cookie import model, peers, reports, source, store_replica
from eelgrasswick.decisions import ejection

# A message of this size and its headers fit in one packet on every link.
MAX_BYTES: typing.Final = 1200
MAX_ROWS: typing.Final = 40
# CBOR has integers of any length, and one that does not fit in a float would fail in
# the decisions that use it.
MAX_COUNT: typing.Final = 2**63 - 1
# These are upper bounds for the encoded size of a message without its rows and its
# report, and for one entry of a report.
_FRAME_BYTES: typing.Final = 250
_ENTRY_BYTES: typing.Final = 12
# A VM pushes an update at once to this many VMs of its own zone and as many of
# other zones.
PUSH_FAN_OUT: typing.Final = 3
# A VM passes on the notice of one dead target at most once in this time. Each VM
# sends the notice to six others, so it reaches a fleet of 62 in three hops, which
# take a few milliseconds.
DEAD_NOTICE_INTERVAL_MS: typing.Final = 5000
# A datagram with at most MAX_WITNESSES witnesses goes to WITNESS_FAN_OUT VMs of the
# own zone. At most MAX_PENDING_WITNESSES witnesses wait to be sent.
WITNESS_FAN_OUT: typing.Final = 4
MAX_WITNESSES: typing.Final = 60
MAX_PENDING_WITNESSES: typing.Final = 500
# A response that arrives later than this is ignored.
RESPONSE_TIMEOUT_MS: typing.Final = 600

_REQUEST: typing.Final = 1
_RESPONSE: typing.Final = 2
_UPDATE: typing.Final = 3
_DEAD_TARGET: typing.Final = 4
_WITNESS: typing.Final = 5


class Outgoing(typing.NamedTuple):
    """A datagram for another VM."""

    host: str
    payload: bytes


class Received(typing.NamedTuple):
    """The results of handling a message of another VM.

    Attributes:
        sends: Datagrams to send.
        merge: The merge of the message's rows; None when there was nothing to merge.
        fetch_from: A VM with more new rows than fit in a datagram; empty for none.
        joined: True when the sender was not alive before.
        dead_cookies: Cookies of targets that another VM has detected as dead.
        witnesses: VMs of the own zone with overdue requests at targets.
    """

    sends: tuple[Outgoing, ...]
    merge: store_replica.Merge | None
    fetch_from: str
    joined: bool
    dead_cookies: tuple[int, ...]
    witnesses: tuple[ejection.Witness, ...] = ()


class _Message(typing.NamedTuple):
    kind: int
    number: int
    zone: str
    reads_store: bool
    revision: int
    age_ms: int
    changes: source.Changes | None
    members: tuple[peers.Member, ...]
    report: reports.Report
    witnesses: tuple[ejection.Witness, ...]


class Exchange:
    """Builds and handles one VM's messages to and from other VMs.

    Attributes:
        reads_store: False while the store does not respond to this VM.
        report: The current report of this VM about targets.
    """

    def __init__(
        self,
        zone: str,
        replica: store_replica.StoreReplica,
        other_vms: peers.Peers,
        received_reports: reports.Reports,
        rng: random.Random,
    ) -> None:
        """Create the exchange of one VM.

        Args:
            zone: Availability zone of this VM.
            replica: This VM's copy of the store's rows.
            other_vms: The other VMs.
            received_reports: Records the other VMs' reports about targets.
            rng: Source of randomness.
        """
        self.reads_store = True
        self.report: reports.Report = ()
        self._reports = received_reports
        self._zone = zone
        self._replica = replica
        self._peers = other_vms
        self._rng = rng
        self._number = rng.getrandbits(31)
        self._pending_requests: dict[int, tuple[str, int]] = {}
        self._dead_notice_sent_ms: dict[int, int] = {}
        # This list holds each witness that waits to be sent, and when it was added.
        self._witnesses: list[tuple[ejection.Witness, int]] = []

    def due_requests(self, now_ms: int) -> tuple[list[Outgoing], list[str]]:
        """Return the requests that are due, and the VMs that are dead from now on."""
        self._expire_requests(now_ms)
        hosts = self._peers.next_hosts()
        newly_dead = [host for host in hosts if self._peers.record_request(host)]
        for host in newly_dead:
            self._reports.remove(host)
        return [self._request(now_ms, host) for host in hosts], newly_dead

    def update_messages(
        self, now_ms: int, merge: store_replica.Merge
    ) -> list[Outgoing]:
        """Return the datagrams that push new rows to some other VMs."""
        if not merge.rows:
            return []
        base = min(row.revision for row in merge.rows) - 1
        payload = self._encode(
            now_ms, _UPDATE, 0, self._changes_for_datagram(base, ()), ()
        )
        return [
            Outgoing(host, payload)
            for host in self._peers.select_push_hosts(PUSH_FAN_OUT)
        ]

    def dead_target_notices(self, now_ms: int, cookie: int) -> list[Outgoing]:
        """Return the datagrams that notify some other VMs of a dead target.

        A VM of a large fleet has at most one flow on a target. Without the notice it
        would detect the failure only after that flow's caller has lost a request.
        """
        self._dead_notice_sent_ms = {
            item: at_ms
            for item, at_ms in self._dead_notice_sent_ms.items()
            if now_ms - at_ms < DEAD_NOTICE_INTERVAL_MS
        }
        if cookie in self._dead_notice_sent_ms:
            return []
        self._dead_notice_sent_ms[cookie] = now_ms
        notice = (reports.TargetReport(cookie, 0, 0, True),)
        payload = self._encode(now_ms, _DEAD_TARGET, 0, None, notice)
        return [
            Outgoing(host, payload)
            for host in self._peers.select_push_hosts(PUSH_FAN_OUT)
        ]

    def add_witness(self, now_ms: int, item: ejection.Witness) -> None:
        """Queue a witness for the next datagrams to other VMs of the zone."""
        if len(self._witnesses) < MAX_PENDING_WITNESSES:
            self._witnesses.append((item, now_ms))

    def witness_messages(self, now_ms: int) -> list[Outgoing]:
        """Return the datagrams that send queued witnesses to VMs of the zone.

        Witnesses stay within the zone because targets are mostly used from their own
        zone, and a VM of another zone may be cut off from them by a network partition.
        """
        if not self._witnesses:
            return []
        batch = self._witnesses[:MAX_WITNESSES]
        del self._witnesses[:MAX_WITNESSES]
        aged = [
            item._replace(age_ms=item.age_ms + now_ms - at_ms) for item, at_ms in batch
        ]
        payload = self._encode(now_ms, _WITNESS, 0, None, aged)
        hosts = self._peers.select_same_zone(WITNESS_FAN_OUT)
        return [Outgoing(host, payload) for host in hosts]

    def receive(self, now_ms: int, host: str, payload: bytes) -> Received:
        """Handle a datagram of another VM.

        Raises:
            errors.MessageInvalidError: The datagram is not a valid peer message.
        """
        item = _decode(payload)
        joined = self._peers.record_contact(now_ms, host, item.zone, item.reads_store)
        self._peers.add_members(now_ms, item.members)
        if item.kind in (_REQUEST, _RESPONSE):
            self._reports.record(now_ms, host, item.report)
        merge, fetch = self._merge(now_ms, host, item)
        sends: list[Outgoing] = []
        if item.kind == _REQUEST:
            sends.append(self._response(now_ms, host, item))
        elif item.kind == _RESPONSE:
            self._record_response(now_ms, host, item)
        if merge is not None:
            sends += self.update_messages(now_ms, merge)
        dead: tuple[int, ...] = ()
        if item.kind == _DEAD_TARGET:
            dead = tuple(entry.cookie for entry in item.report)
        for cookie in dead:
            sends += self.dead_target_notices(now_ms, cookie)
        same_zone = item.zone == self._zone
        witnesses = item.witnesses if same_zone else ()
        return Received(tuple(sends), merge, fetch, joined, dead, witnesses)

    def _request(self, now_ms: int, host: str) -> Outgoing:
        self._number += 1
        self._pending_requests[self._number] = (host, now_ms)
        return Outgoing(
            host, self._encode(now_ms, _REQUEST, self._number, None, self.report)
        )

    def _response(self, now_ms: int, host: str, item: _Message) -> Outgoing:
        changes = None
        if item.revision < self._replica.revision:
            changes = self._changes_for_datagram(item.revision, self.report)
        return Outgoing(
            host, self._encode(now_ms, _RESPONSE, item.number, changes, self.report)
        )

    def _record_response(self, now_ms: int, host: str, item: _Message) -> None:
        pending = self._pending_requests.pop(item.number, None)
        if pending is not None and pending[0] == host:
            confirmed_ms = pending[1] - item.age_ms
            self._replica.confirm(item.revision, confirmed_ms)
            self._peers.record_response(host, confirmed_ms)

    def _merge(
        self, now_ms: int, host: str, item: _Message
    ) -> tuple[store_replica.Merge | None, str]:
        if item.revision <= self._replica.revision:
            return None, ""
        changes = item.changes
        if changes is None or changes.base > self._replica.revision:
            return None, host
        if changes.base == 0 and self._replica.revision > 0:
            return None, host
        return self._replica.merge(now_ms, changes), ""

    def _changes_for_datagram(
        self, base: int, report: reports.Report
    ) -> source.Changes | None:
        room = MAX_BYTES - _FRAME_BYTES - _ENTRY_BYTES * len(report)
        # A full listing never fits in a datagram. Measuring its size would cost an
        # encoding of the whole configuration.
        changes = self._replica.changes_since(base)
        if changes.base == 0 or len(changes.rows) > MAX_ROWS:
            return None
        size = sum(len(row.key) + len(row.value or b"") + 8 for row in changes.rows)
        return changes if size <= room else None

    def _encode(
        self,
        now_ms: int,
        kind: int,
        number: int,
        changes: source.Changes | None,
        entries: typing.Iterable[reports.TargetReport | ejection.Witness],
    ) -> bytes:
        item = [
            kind,
            number,
            self._zone,
            self.reads_store,
            self._replica.revision,
            store_replica.reported_age_ms(self._replica.age_ms(now_ms)),
            _changes_item(changes) if changes is not None else None,
            [list(member) for member in self._peers.sample()],
            [list(entry) for entry in entries],
        ]
        return cbor2.dumps(item)

    def _expire_requests(self, now_ms: int) -> None:
        late = [
            number
            for number, (_, at_ms) in self._pending_requests.items()
            if now_ms - at_ms > RESPONSE_TIMEOUT_MS
        ]
        for number in late:
            del self._pending_requests[number]


def encode_changes(changes: source.Changes) -> bytes:
    """Encode changes for a transfer over a connection."""
    return cbor2.dumps(_changes_item(changes))


def _changes_item(changes: source.Changes) -> list[typing.Any]:
    return [changes.rows, changes.revision, changes.base]


def decode_changes(payload: bytes) -> source.Changes:
    """Decode changes that were transferred over a connection.

    Raises:
        errors.MessageInvalidError: The bytes are not valid changes.
    """
    try:
        return _changes(cbor2.loads(payload))
    except DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"changes: {error}") from error


# Decoding raises one of these exceptions for a message with invalid contents.
DECODE_ERRORS: typing.Final = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    LookupError,
    OverflowError,
    RecursionError,
)


def _decode(payload: bytes) -> _Message:
    try:
        (
            kind,
            number,
            zone,
            reads,
            revision,
            age_ms,
            changes,
            members,
            entries,
        ) = cbor2.loads(payload)
        has_witnesses = kind == _WITNESS
        item = _Message(
            decode_count(kind),
            decode_count(number),
            _text(zone),
            bool(reads),
            decode_count(revision),
            decode_count(age_ms),
            None if changes is None else _changes(changes),
            tuple(map(decode_member, members[: peers.SAMPLE_SIZE])),
            () if has_witnesses else tuple(map(_entry, entries[: reports.MAX_ENTRIES])),
            tuple(map(_witness, entries[:MAX_WITNESSES])) if has_witnesses else (),
        )
    except DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"peer message: {error}") from error
    if item.kind not in (_REQUEST, _RESPONSE, _UPDATE, _DEAD_TARGET, _WITNESS):
        raise errors.MessageInvalidError(f"peer message of unknown kind {item.kind}")
    return item


def _changes(item: typing.Any) -> source.Changes:
    rows, revision, base = item
    return source.Changes(
        tuple(_row(row) for row in rows), decode_count(revision), decode_count(base)
    )


def _row(item: typing.Any) -> source.Row:
    key, value, revision = item
    if value is not None and not isinstance(value, bytes):
        raise TypeError("a row's value must be bytes or null")
    return source.Row(
        _text(key, source.MAX_KEY_CHARACTERS), value, decode_count(revision)
    )


def _entry(item: typing.Any) -> reports.TargetReport:
    cookie, flows, answer_ms, silent = item
    return reports.TargetReport(
        decode_count(cookie), decode_count(flows), decode_count(answer_ms), bool(silent)
    )


def decode_member(item: typing.Any) -> peers.Member:
    """Convert a decoded CBOR value to a member."""
    host, zone = item
    return peers.Member(_ip(host), _text(zone))


def _witness(item: typing.Any) -> ejection.Witness:
    cookie, vm, age_ms = item
    return ejection.Witness(
        decode_count(cookie), decode_count(vm), decode_count(age_ms)
    )


def decode_count(value: object) -> int:
    """Return a decoded value after checking that it is a non-negative integer.

    Raises:
        TypeError: The value is no such integer.
        ValueError: It exceeds ``MAX_COUNT``.
    """
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r} is not a non-negative integer")
    if value > MAX_COUNT:
        raise ValueError("a count exceeds 63 bits")
    return value


def _ip(value: object) -> str:
    text = _text(value)
    try:
        socket.inet_pton(socket.AF_INET, text)
    except OSError as error:
        raise ValueError(f"{text!r} is not an IPv4 address") from error
    return text


def _text(value: object, max_characters: int = model.MAX_NAME_CHARACTERS) -> str:
    if not isinstance(value, str) or len(value) > max_characters:
        raise TypeError(f"expected a text of at most {max_characters} characters")
    return value
