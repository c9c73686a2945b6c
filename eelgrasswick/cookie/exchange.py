"""Messages between entry VMs, and what each answers to them.

A request carries a number that its answer returns. Only an answer says how old
knowledge is, and its age counts from when the request was sent: a datagram may
lie in a queue for seconds, and news of unknown age would make a VM believe that
it is up to date.
"""

import random
import typing

import cbor2

from eelgrasswick import errors
from eelgrasswick.cookie import knowledge, peers, reports, source
from eelgrasswick.decisions import ejection

# Fits one datagram beside the headers at every link's packet size.
MAX_BYTES: typing.Final = 1200
MAX_ROWS: typing.Final = 40
# What a message holds beside rows and report, and an entry of a report.
_FRAME_BYTES: typing.Final = 250
_ENTRY_BYTES: typing.Final = 12
# News goes to three VMs of the own zone and three of others at once.
PUSH_FAN_OUT: typing.Final = 3
# Word of a dead target is passed on once in this time. Flooded by six VMs each, it
# is through a fleet of 62 in three hops, some milliseconds.
DEAD_NOTICE_INTERVAL_MS: typing.Final = 5000
# Witnesses go to so many VMs of the own zone, as many as fit a datagram, and so many
# wait at most.
WITNESS_FAN_OUT: typing.Final = 4
MAX_WITNESSES: typing.Final = 60
MAX_PENDING_WITNESSES: typing.Final = 500
# An answer later than this is no answer.
RESPONSE_TIMEOUT_MS: typing.Final = 600

_ASK: typing.Final = 1
_ANSWER: typing.Final = 2
_NEWS: typing.Final = 3
_DEAD: typing.Final = 4
_WITNESS: typing.Final = 5


class Outgoing(typing.NamedTuple):
    """A datagram for another VM."""

    host: str
    payload: bytes


class Received(typing.NamedTuple):
    """What a message of another VM leads to.

    Attributes:
        sends: Datagrams to send.
        merge: Rows that were new; None when there was nothing to merge.
        fetch_from: A VM that knows more than fits a datagram; empty for none.
        joined: True when the sender was not alive before.
        dead: Cookies of targets that another VM has found dead.
        witnesses: VMs of the own zone with overdue requests at targets.
    """

    sends: tuple[Outgoing, ...]
    merge: knowledge.Merge | None
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
    """One VM's side of the talk with the others."""

    def __init__(
        self,
        zone: str,
        known: knowledge.Knowledge,
        others: peers.Peers,
        said: reports.Reports,
        rng: random.Random,
    ) -> None:
        """Talk about some knowledge with some peers.

        Args:
            zone: Availability zone of this VM.
            known: What it knows of the store.
            others: The other VMs.
            said: Takes their reports of targets.
            rng: Source of randomness.
        """
        self.reads_store = True
        self.report: reports.Report = ()
        self._reports = said
        self._zone = zone
        self._knowledge = known
        self._peers = others
        self._rng = rng
        self._number = rng.getrandbits(31)
        self._asked: dict[int, tuple[str, int]] = {}
        self._told_ms: dict[int, int] = {}
        # Witnesses to tell of, and when each was added.
        self._witnesses: list[tuple[ejection.Witness, int]] = []

    def due_requests(self, now_ms: int) -> tuple[list[Outgoing], list[str]]:
        """Return the requests that are due, and VMs that count as gone now."""
        self._forget_asked(now_ms)
        hosts = self._peers.next_hosts()
        gone = [host for host in hosts if self._peers.record_request(host)]
        for host in gone:
            self._reports.forget(host)
        return [self._request(now_ms, host) for host in hosts], gone

    def update_messages(self, now_ms: int, merge: knowledge.Merge) -> list[Outgoing]:
        """Return the datagrams that tell some others what is new."""
        if not merge.rows:
            return []
        base = min(row.revision for row in merge.rows) - 1
        payload = self._encode(now_ms, _NEWS, 0, self._short(base, ()), ())
        return [
            Outgoing(host, payload)
            for host in self._peers.select_push_hosts(PUSH_FAN_OUT)
        ]

    def dead_target_notices(self, now_ms: int, cookie: int) -> list[Outgoing]:
        """Return the datagrams that tell some others of a dead target.

        A VM of a large fleet has one flow or none on a target, and would find out
        only when that flow's caller has lost a request.
        """
        self._told_ms = {
            item: at_ms
            for item, at_ms in self._told_ms.items()
            if now_ms - at_ms < DEAD_NOTICE_INTERVAL_MS
        }
        if cookie in self._told_ms:
            return []
        self._told_ms[cookie] = now_ms
        word = (reports.TargetReport(cookie, 0, 0, True),)
        payload = self._encode(now_ms, _DEAD, 0, None, word)
        return [
            Outgoing(host, payload)
            for host in self._peers.select_push_hosts(PUSH_FAN_OUT)
        ]

    def add_witness(self, now_ms: int, item: ejection.Witness) -> None:
        """Have a witness told to other VMs of the zone with the next ones."""
        if len(self._witnesses) < MAX_PENDING_WITNESSES:
            self._witnesses.append((item, now_ms))

    def witness_messages(self, now_ms: int) -> list[Outgoing]:
        """Return the datagrams that tell some VMs of the zone of witnesses.

        Targets are mostly used from their own zone, and VMs of another zone may see
        them across a cut.
        """
        if not self._witnesses:
            return []
        told = self._witnesses[:MAX_WITNESSES]
        del self._witnesses[:MAX_WITNESSES]
        aged = [
            item._replace(age_ms=item.age_ms + now_ms - at_ms) for item, at_ms in told
        ]
        payload = self._encode(now_ms, _WITNESS, 0, None, aged)
        hosts = self._peers.select_same_zone(WITNESS_FAN_OUT)
        return [Outgoing(host, payload) for host in hosts]

    def receive(self, now_ms: int, host: str, payload: bytes) -> Received:
        """Take a datagram of another VM.

        Raises:
            errors.MessageInvalidError: It is no message of this kind.
        """
        item = _decode(payload)
        joined = self._peers.record_contact(now_ms, host, item.zone, item.reads_store)
        self._peers.add_members(now_ms, item.members)
        if item.kind in (_ASK, _ANSWER):
            self._reports.record(now_ms, host, item.report)
        merge, fetch = self._merge(now_ms, host, item)
        sends: list[Outgoing] = []
        if item.kind == _ASK:
            sends.append(self._answer(now_ms, host, item))
        elif item.kind == _ANSWER:
            self._confirm(now_ms, host, item)
        if merge is not None:
            sends += self.update_messages(now_ms, merge)
        dead: tuple[int, ...] = ()
        if item.kind == _DEAD:
            dead = tuple(entry.cookie for entry in item.report)
        for cookie in dead:
            sends += self.dead_target_notices(now_ms, cookie)
        near = item.zone == self._zone
        witnesses = item.witnesses if near else ()
        return Received(tuple(sends), merge, fetch, joined, dead, witnesses)

    def _request(self, now_ms: int, host: str) -> Outgoing:
        self._number += 1
        self._asked[self._number] = (host, now_ms)
        return Outgoing(
            host, self._encode(now_ms, _ASK, self._number, None, self.report)
        )

    def _answer(self, now_ms: int, host: str, item: _Message) -> Outgoing:
        changes = None
        if item.revision < self._knowledge.revision:
            changes = self._short(item.revision, self.report)
        return Outgoing(
            host, self._encode(now_ms, _ANSWER, item.number, changes, self.report)
        )

    def _confirm(self, now_ms: int, host: str, item: _Message) -> None:
        asked = self._asked.pop(item.number, None)
        if asked is not None and asked[0] == host:
            confirmed_ms = asked[1] - item.age_ms
            self._knowledge.confirm(item.revision, confirmed_ms)
            self._peers.record_response(host, confirmed_ms)

    def _merge(
        self, now_ms: int, host: str, item: _Message
    ) -> tuple[knowledge.Merge | None, str]:
        if item.revision <= self._knowledge.revision:
            return None, ""
        changes = item.changes
        if changes is None or changes.base > self._knowledge.revision:
            return None, host
        if changes.base == 0 and self._knowledge.revision > 0:
            return None, host
        return self._knowledge.merge(now_ms, changes), ""

    def _short(self, base: int, report: reports.Report) -> source.Changes | None:
        room = MAX_BYTES - _FRAME_BYTES - _ENTRY_BYTES * len(report)
        # A listing of everything never fits, and finding that out would cost
        # the encoding of the whole configuration.
        changes = self._knowledge.changes_since(base)
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
            self._knowledge.revision,
            knowledge.reported_age_ms(self._knowledge.age_ms(now_ms)),
            list(changes) if changes is not None else None,
            [list(member) for member in self._peers.sample()],
            [list(entry) for entry in entries],
        ]
        return cbor2.dumps(item)

    def _forget_asked(self, now_ms: int) -> None:
        late = [
            number
            for number, (_, at_ms) in self._asked.items()
            if now_ms - at_ms > RESPONSE_TIMEOUT_MS
        ]
        for number in late:
            del self._asked[number]


def encode_changes(changes: source.Changes) -> bytes:
    """Return changes as they go over a connection."""
    return cbor2.dumps(list(changes))


def decode_changes(payload: bytes) -> source.Changes:
    """Read changes that came over a connection.

    Raises:
        errors.MessageInvalidError: The bytes are something else.
    """
    try:
        return _changes(cbor2.loads(payload))
    except DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"changes: {error}") from error


# What decoding raises when a message holds something else.
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
        told = kind == _WITNESS
        item = _Message(
            decode_count(kind),
            decode_count(number),
            _text(zone),
            bool(reads),
            decode_count(revision),
            decode_count(age_ms),
            None if changes is None else _changes(changes),
            tuple(map(decode_member, members[: peers.SAMPLE_SIZE])),
            () if told else tuple(map(_entry, entries[: reports.MAX_ENTRIES])),
            tuple(map(_witness, entries[:MAX_WITNESSES])) if told else (),
        )
    except DECODE_ERRORS as error:
        raise errors.MessageInvalidError(f"peer message: {error}") from error
    if item.kind not in (_ASK, _ANSWER, _NEWS, _DEAD, _WITNESS):
        raise errors.MessageInvalidError(f"peer message of kind {item.kind}")
    return item


def _changes(item: typing.Any) -> source.Changes:
    rows, revision, base = item
    return source.Changes(
        tuple(_row(row) for row in rows), decode_count(revision), decode_count(base)
    )


def _row(item: typing.Any) -> source.Row:
    key, value, revision = item
    if value is not None and not isinstance(value, bytes):
        raise TypeError("a row's value is no bytes")
    return source.Row(_text(key), value, decode_count(revision))


def _entry(item: typing.Any) -> reports.TargetReport:
    cookie, flows, answer_ms, silent = item
    return reports.TargetReport(
        decode_count(cookie), decode_count(flows), decode_count(answer_ms), bool(silent)
    )


def decode_member(item: typing.Any) -> peers.Member:
    """Return the member that a decoded value stands for."""
    host, zone = item
    return peers.Member(_text(host), _text(zone))


def _witness(item: typing.Any) -> ejection.Witness:
    cookie, vm, age_ms = item
    return ejection.Witness(
        decode_count(cookie), decode_count(vm), decode_count(age_ms)
    )


def decode_count(value: object) -> int:
    """Return a decoded value that must be a count."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r} is no count")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > 256:
        raise TypeError("text expected")
    return value
