"""Tests of the client of the platform's store, with a stand-in on loopback."""

import base64
import json
import typing
import urllib.parse

import h11
import pytest
from twisted.internet import defer, protocol
from twisted.internet import reactor as default_reactor

from eelgrasswick import errors
from eelgrasswick.cookie import model, source
from eelgrasswick.platform import store
from tests import turning

HOST: typing.Final = "127.0.0.1"
Answer = tuple[int, bytes] | None
Script = typing.Callable[[str, dict[str, str]], Answer]


class StandIn(protocol.Factory):
    """A store that answers as a script returns; None stands for no answer.

    Attributes:
        parts: Number of parts in which an answer is sent.
        interval_s: Time between two parts.
        sent_parts: Number of parts that are sent at all.
    """

    parts = 1
    interval_s = 0.0
    sent_parts = 1000

    def __init__(self, script: Script) -> None:
        """Create a store that answers calls with the results of a script."""
        self.script = script
        self.calls: list[str] = []
        self.connections = 0

    def buildProtocol(self, addr: object) -> "_Call":  # noqa: N802
        """Count and accept a connection."""
        self.connections += 1
        return _Call(self)


class _Call(protocol.Protocol):
    def __init__(self, stand_in: StandIn) -> None:
        self._stand_in = stand_in
        self._http = h11.Connection(h11.SERVER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._answer(event.target.decode())
            elif isinstance(event, h11.EndOfMessage):
                self._http.start_next_cycle()

    def _answer(self, target: str) -> None:
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self._stand_in.calls.append(parts.path)
        answer = self._stand_in.script(parts.path, query)
        if answer is None:
            return
        status, body = answer
        headers = [("Content-Length", str(len(body)))]
        response = h11.Response(status_code=status, headers=headers)
        out = [
            self._http.send(response),
            self._http.send(h11.Data(data=body)),
            self._http.send(h11.EndOfMessage()),
        ]
        raw = b"".join(o for o in out if o)
        size = -(-len(raw) // self._stand_in.parts)
        pieces = [raw[i : i + size] for i in range(0, len(raw), size)]
        self._send(pieces[: self._stand_in.sent_parts])

    def _send(self, pieces: list[bytes]) -> None:
        if pieces and self.connected:
            typing.cast(typing.Any, self.transport).write(pieces[0])
            reactor = typing.cast(typing.Any, default_reactor)
            reactor.callLater(self._stand_in.interval_s, self._send, pieces[1:])


Start = typing.Callable[[Script], tuple[StandIn, store.Store]]


@pytest.fixture
def start() -> typing.Iterator[Start]:
    ports = []

    def begin(script: Script) -> tuple[StandIn, store.Store]:
        stand_in = StandIn(script)
        reactor = typing.cast(typing.Any, default_reactor)
        port = reactor.listenTCP(0, stand_in, interface=HOST)
        ports.append(port)
        address = model.Address(HOST, port.getHost().port)
        return stand_in, store.Store(reactor, address)

    yield begin
    for port in ports:
        turning.result(defer.maybeDeferred(port.stopListening))


def _item(key: str, revision: int, value: bytes = b"v") -> dict[str, typing.Any]:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": 1, "lease": 0}


def _json(body: object) -> tuple[int, bytes]:
    return 200, json.dumps(body).encode()


def test_all_pages_are_read_over_one_connection(start: Start) -> None:
    """Guards against a listing that ends with its first page."""

    def script(path: str, query: dict[str, str]) -> Answer:
        if "after" in query:
            assert query["after"] == "b"
            return _json(
                {"items": [_item("c", 9)], "has_more": False, "store_revision": 9}
            )
        items = [_item("a", 1), _item("b", 2)]
        return _json({"items": items, "has_more": True, "store_revision": 7})

    stand_in, client = start(script)
    changes = turning.result(client.read_all())
    assert [row.key for row in changes.rows] == ["a", "b", "c"]
    assert changes.revision == 7
    assert changes.base == 0
    assert stand_in.connections == 1


def test_watch_returns_writes_and_deletions(start: Start) -> None:
    """Guards against deleted rows that stay in use."""

    def script(path: str, query: dict[str, str]) -> Answer:
        assert (path, query["after"]) == ("/api/kv-watch", "4")
        events = [_item("a", 5), {"key": "b", "revision": 6, "deleted": True}]
        return _json({"events": events, "store_revision": 6})

    _, client = start(script)
    changes = turning.result(client.changes(4, 1000))
    assert changes.rows == (source.Row("a", b"v", 5), source.Row("b", None, 6))
    assert (changes.base, changes.revision) == (4, 6)


def test_status_410_raises_history_gone(start: Start) -> None:
    """Guards against endless watches from a revision that the store has deleted."""
    _, client = start(lambda *_: (410, b"{}"))
    with pytest.raises(errors.HistoryGoneError):
        turning.result(client.changes(4, 1000))


@pytest.mark.parametrize(
    "answer",
    [
        (503, b"{}"),
        (429, b""),
        (200, b"no json"),
        (200, b"[]"),
        (200, b"{}"),
        (200, b'{"events": [{}], "store_revision": 4}'),
        (200, b'{"events": [], "store_revision": "4"}'),
        (
            200,
            b'{"events": [{"key": "a", "value": "?", "revision": 5}],'
            b' "store_revision": 5}',
        ),
    ],
)
def test_refusal_or_invalid_body_raises_store_error(
    start: Start, answer: Answer
) -> None:
    """Guards against answers of another server that are treated as the store's."""
    _, client = start(lambda *_: answer)
    with pytest.raises(errors.StoreError):
        turning.result(client.changes(4, 100))


def test_call_after_a_timeout_uses_a_new_connection(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a VM that never receives a change again.

    An open connection returns nothing more, without a reset.
    """
    monkeypatch.setattr(store, "ANSWER_TIMEOUT_MS", 100)
    answers: list[Answer] = [None, _json({"events": [], "store_revision": 4})]
    stand_in, client = start(lambda *_: answers.pop(0))
    with pytest.raises(errors.StoreError):
        turning.result(client.changes(4, 50))
    assert turning.result(client.changes(4, 50)).revision == 4
    assert stand_in.connections == 2


def test_refused_connection_raises_store_error() -> None:
    """Guards against a connection error that callers of the client don't handle."""
    client = store.Store(default_reactor, model.Address(HOST, 1))
    with pytest.raises(errors.StoreError):
        turning.result(client.read_all())


def test_connection_that_is_never_accepted_raises_store_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call that hangs for minutes and blocks all later calls.

    A partition drops the opening packets of a connection.
    """
    monkeypatch.setattr(store, "CONNECT_TIMEOUT_MS", 50)
    with turning.full_listener() as address:
        client = store.Store(default_reactor, address)
        with pytest.raises(errors.StoreError):
            turning.result(client.read_all())


def test_large_answer_that_makes_progress_is_read_to_its_end(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against VMs that fetch a large configuration again and again in vain."""
    monkeypatch.setattr(store, "ANSWER_TIMEOUT_MS", 1000)
    large = _item("op/config", 5, b"v" * 200_000)
    body = _json({"events": [large], "store_revision": 5})
    stand_in, client = start(lambda *_: body)
    stand_in.parts, stand_in.interval_s = 20, 0.08
    assert turning.result(client.changes(4, 50)).revision == 5
    assert len(stand_in.calls) == 1


def test_answer_that_stops_halfway_is_given_up(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that hangs when a partition cuts off its answer."""
    monkeypatch.setattr(store, "ANSWER_TIMEOUT_MS", 100)
    large = _item("op/config", 5, b"v" * 200_000)
    body = _json({"events": [large], "store_revision": 5})
    stand_in, client = start(lambda *_: body)
    stand_in.parts, stand_in.sent_parts = 20, 10
    with pytest.raises(errors.StoreError, match="[1-9][0-9]* bytes received"):
        turning.result(client.changes(4, 50))


def test_answer_that_never_ends_is_given_up(
    start: Start, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call that lasts for minutes and holds up later changes."""
    monkeypatch.setattr(store, "ANSWER_TIMEOUT_MS", 100)
    monkeypatch.setattr(store, "MAX_ANSWER_MS", 300)
    large = _item("op/config", 5, b"v" * 200_000)
    body = _json({"events": [large], "store_revision": 5})
    stand_in, client = start(lambda *_: body)
    stand_in.parts, stand_in.interval_s = 1000, 0.02
    with pytest.raises(errors.StoreError):
        turning.result(client.changes(4, 50))


def test_item_with_an_unusable_key_costs_no_other_row(start: Start) -> None:
    """Guards against another writer's key that keeps a VM from reading its rows."""

    def script(path: str, query: dict[str, str]) -> Answer:
        if "after" in query:
            return _json(
                {"items": [_item("c", 9)], "has_more": False, "store_revision": 9}
            )
        items = [_item("a", 1), _item("x" * 300, 2), _item("half \ud83d", 3)]
        return _json({"items": items, "has_more": True, "store_revision": 7})

    _, client = start(script)
    changes = turning.result(client.read_all())
    assert [row.key for row in changes.rows] == ["a", "c"]
    assert len(changes.refused) == 2
    assert all(detail.encode() for detail in changes.refused)


def test_watch_leaves_out_an_event_with_an_unusable_key(start: Start) -> None:
    """Guards against another writer's key that hides the changes beside it."""
    events = [_item("a", 5), _item("half \ud83d", 6), _item("b", 7)]
    _, client = start(lambda *_: _json({"events": events, "store_revision": 7}))
    changes = turning.result(client.changes(4, 1000))
    assert [row.key for row in changes.rows] == ["a", "b"]
    assert len(changes.refused) == 1
