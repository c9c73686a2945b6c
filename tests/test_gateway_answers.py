"""The client of the platform's store: its calls, and responses of any form."""

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

RESPONSE_TYPES = (
    gateway.RangeResponse,
    gateway.TxnResponse,
    gateway.LeaseGrantResponse,
    gateway.LeaseKeepAliveResponse,
    gateway.WatchLine,
)
reactor = typing.cast(typing.Any, default_reactor)
json_values = strategies.recursive(
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


@given(strategies.binary(max_size=80), strategies.sampled_from(RESPONSE_TYPES))
def test_any_bytes_give_a_response_or_a_typed_error(
    content: bytes, kind: type[typing.Any]
) -> None:
    """Guards against an untyped error, which would end a VM's watch permanently.

    Something else may respond at the platform's address, such as a proxy with an
    error page.
    """
    with contextlib.suppress(errors.StoreError):
        gateway.decode_response(content, kind)


@given(json_values, strategies.sampled_from(RESPONSE_TYPES))
def test_any_json_gives_rows_or_a_typed_error(
    value: object, kind: type[typing.Any]
) -> None:
    """Guards against an untyped error from valid JSON of another schema."""
    with contextlib.suppress(errors.StoreError):
        response = gateway.decode_response(json.dumps(value).encode(), kind)
        if isinstance(response, gateway.RangeResponse):
            gateway.decode_rows(response.kvs)


@given(strategies.lists(strategies.binary(max_size=40), max_size=5))
def test_any_watch_stream_gives_rows_or_a_typed_error(chunks: list[bytes]) -> None:
    """Guards against an untyped error from the stream of a watch."""
    decoder = gateway.WatchDecoder(lambda rows: None)
    with contextlib.suppress(errors.StoreError):
        for data in chunks:
            decoder.receive(data)


def test_watch_line_split_into_single_bytes_is_decoded() -> None:
    """Guards against an update that is lost because its line spans several reads."""
    rows: list[store.Row] = []
    decoder = gateway.WatchDecoder(rows.extend)
    line = (
        b'{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==",'
        b'"mod_revision":"7"}}]}}\n'
    )
    for index in range(len(line)):
        decoder.receive(line[index : index + 1])
    assert rows == [store.Row("a", b"b", 7)]


@given(strategies.binary(max_size=200))
def test_any_bytes_give_a_document_or_a_typed_error(value: bytes) -> None:
    """Guards against an untyped error, which would stop all VMs at once.

    Every VM reads the document in the store, and anything may have written it.
    """
    with contextlib.suppress(errors.RulesInvalidError):
        config.decode(value)


@given(strategies.binary(max_size=200))
def test_any_bytes_give_a_peer_message_or_a_typed_error(payload: bytes) -> None:
    """Guards against a datagram whose decoding fails with an untyped error."""
    with contextlib.suppress(errors.MessageInvalidError):
        wire.decode(payload)


class Served(typing.NamedTuple):
    """An emulated store, served over HTTP on loopback, and its client."""

    emulated: emulated_platform.EmulatedStore
    client: gateway.Gateway
    port: typing.Any


@pytest.fixture
def served() -> typing.Iterator[Served]:
    """A store on a free port, and a client with a time-out of 2 s."""
    emulated = emulated_platform.EmulatedStore(reactor)
    site = server.Site(emulated_platform.StoreResource(emulated))
    port = reactor.listenTCP(0, site, interface=test_link.HOST)
    url = f"http://{test_link.HOST}:{port.getHost().port}"
    yield Served(emulated, gateway.Gateway(reactor, url, 2000), port)
    stopped: list[object] = []
    defer.maybeDeferred(port.stopListening).addBoth(stopped.append)
    test_link.run_reactor_until(lambda: bool(stopped))


def await_result(
    work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
) -> typing.Any:
    """Run a coroutine on the reactor; return its result or raise its error."""
    ended: list[typing.Any] = []
    failed: list[typing.Any] = []
    done = defer.Deferred.fromCoroutine(work)
    done.addCallbacks(ended.append, failed.append)
    test_link.run_reactor_until(lambda: bool(ended or failed))
    if failed:
        failed[0].raiseException()
    return ended[0]


def test_calls_over_http_have_the_semantics_of_the_store(served: Served) -> None:
    """Guards against a client that breaks the contract of ``store.Store``."""
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


def test_call_during_outage_raises_store_error(served: Served) -> None:
    """Guards against an untyped error from an HTTP status."""
    served.emulated.set_faults(emulated_platform.Faults(outage=True))
    with pytest.raises(errors.StoreError):
        await_result(served.client.read("k"))


def test_cancelled_watch_ends_at_the_platform(served: Served) -> None:
    """Guards against watches that stay open at the platform after cancellation.

    A VM stops its watch when two other VMs of its zone watch. With the connection
    left open, the platform would count one more waiting call each time.
    """
    watching = defer.Deferred.fromCoroutine(
        served.client.watch("k", 0, lambda rows: None)
    )
    watching.addErrback(lambda failure: None)
    test_link.run_reactor_until(lambda: served.emulated.open_watches == 1)
    await_result(served.client.read("k"))
    watching.cancel()
    test_link.run_reactor_until(lambda: served.emulated.open_watches == 0)


def test_invalid_line_ends_the_body_with_store_error() -> None:
    """Guards against a watch that goes on after a line it can't decode."""
    decoder = gateway.WatchDecoder(lambda rows: None)
    body = _body.BodyReceiver(decoder.receive)
    failed: list[typing.Any] = []
    body.done.addErrback(failed.append)
    body.dataReceived(b"<html>\n")
    body.dataReceived(b"more\n")
    assert failed[0].check(errors.StoreError)
