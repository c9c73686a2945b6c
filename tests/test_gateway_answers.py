"""The client of the platform's store, and what it makes of any answer."""

import contextlib
import json
import typing

import pytest
from hypothesis import given, strategies
from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.web import server

from eelgrasswick import (
    config,
    errors,
    store,
    wire,
)
from eelgrasswick.daemons import (
    _body,
    gateway,
)
from eelgrasswick.emulation import emulated_platform
from tests import test_link

KINDS = (
    gateway.RangeAnswer,
    gateway.TxnAnswer,
    gateway.GrantAnswer,
    gateway.KeepAliveAnswer,
    gateway.WatchLine,
)
reactor = typing.cast(typing.Any, default_reactor)
plain = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    "kvs",
                    "key",
                    "value",
                    "mod_revision",
                    "result",
                    "events",
                    "kv",
                    "header",
                ]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@given(strategies.binary(max_size=80), strategies.sampled_from(KINDS))
def test_any_bytes_give_an_answer_or_a_typed_error(
    content: bytes, kind: type[typing.Any]
) -> None:
    # Something else answers at the platform's address, such as a proxy's error
    # page. An untyped error would end the watch of a VM for good.
    with contextlib.suppress(errors.StoreError):
        gateway.read_answer(content, kind)


@given(plain, strategies.sampled_from(KINDS))
def test_any_json_gives_rows_or_a_typed_error(
    value: object, kind: type[typing.Any]
) -> None:
    with contextlib.suppress(errors.StoreError):
        answer = gateway.read_answer(json.dumps(value).encode(), kind)
        if isinstance(answer, gateway.RangeAnswer):
            gateway.read_rows(answer.kvs)


@given(strategies.lists(strategies.binary(max_size=40), max_size=5))
def test_any_watch_lines_give_rows_or_a_typed_error(chunks: list[bytes]) -> None:
    lines = gateway.WatchLines(lambda rows: None)
    with contextlib.suppress(errors.StoreError):
        for data in chunks:
            lines.take(data)


def test_watch_line_may_come_in_pieces() -> None:
    heard: list[store.Row] = []
    lines = gateway.WatchLines(heard.extend)
    line = (
        b'{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==",'
        b'"mod_revision":"7"}}]}}\n'
    )
    for index in range(len(line)):
        lines.take(line[index : index + 1])
    assert heard == [store.Row("a", b"b", 7)]


@given(strategies.binary(max_size=200))
def test_any_bytes_give_a_document_or_a_typed_error(value: bytes) -> None:
    # A value that no operator's command wrote stands in the store. Every VM
    # reads it; a fault that is not typed would stop them all at once.
    with contextlib.suppress(errors.RulesInvalidError):
        config.decode(value)


@given(strategies.binary(max_size=200))
def test_any_bytes_give_a_peer_message_or_a_typed_error(payload: bytes) -> None:
    with contextlib.suppress(errors.MessageInvalidError):
        wire.decode(payload)


class Served(typing.NamedTuple):
    """An emulated store behind HTTP on loopback, and a client of it."""

    emulated: emulated_platform.EmulatedStore
    client: gateway.Gateway
    port: typing.Any


@pytest.fixture
def served() -> typing.Iterator[Served]:
    emulated = emulated_platform.EmulatedStore(reactor)
    site = server.Site(emulated_platform.StoreResource(emulated))
    port = reactor.listenTCP(0, site, interface=test_link.HOST)
    url = f"http://{test_link.HOST}:{port.getHost().port}"
    yield Served(emulated, gateway.Gateway(reactor, url, 2000), port)
    stopped: list[object] = []
    defer.maybeDeferred(port.stopListening).addBoth(stopped.append)
    test_link.spin(lambda: bool(stopped))


def await_result(
    work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
) -> typing.Any:
    """Run a coroutine on the reactor and return or raise what it ends with."""
    ended: list[typing.Any] = []
    failed: list[typing.Any] = []
    done = defer.Deferred.fromCoroutine(work)
    done.addCallbacks(ended.append, failed.append)
    test_link.spin(lambda: bool(ended or failed))
    if failed:
        failed[0].raiseException()
    return ended[0]


def test_calls_over_http_keep_the_contract(served: Served) -> None:
    client = served.client
    put = store.Put("k/a", b"\x00\xff")
    committed = await_result(client.commit((store.Compare("k/a", 0),), (put,)))
    assert committed.accepted
    row = await_result(client.read("k/a"))
    assert row == store.Row("k/a", b"\x00\xff", committed.revision)
    assert not await_result(client.commit((store.Compare("k/a", 0),), (put,))).accepted
    assert await_result(client.read_prefix("k/")) == (row,)
    assert await_result(client.read("absent")) is None
    lease = await_result(client.grant(5))
    assert await_result(client.keep_alive(lease))
    assert not await_result(client.keep_alive(lease + 1))


def test_outage_is_a_typed_error(served: Served) -> None:
    served.emulated.set_faults(emulated_platform.Faults(outage=True))
    with pytest.raises(errors.StoreError):
        await_result(served.client.read("k"))


def test_cancelled_watch_ends_at_the_platform(served: Served) -> None:
    # A VM lays its watch down because two others of its zone hold one. Were the
    # connection left open, the platform would count one more waiting call for
    # each time this happens.
    watching = defer.Deferred.fromCoroutine(
        served.client.watch("k", 0, lambda rows: None)
    )
    watching.addErrback(lambda failure: None)
    test_link.spin(lambda: served.emulated.open_watches == 1)
    await_result(served.client.read("k"))
    watching.cancel()
    test_link.spin(lambda: served.emulated.open_watches == 0)


def test_body_stops_at_a_line_that_is_wrong() -> None:
    lines = gateway.WatchLines(lambda rows: None)
    body = _body.Body(lines.take)
    failed: list[typing.Any] = []
    body.done.addErrback(failed.append)
    body.dataReceived(b"<html>\n")
    body.dataReceived(b"more\n")
    assert failed[0].check(errors.StoreError)
