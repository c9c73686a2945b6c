"""Links between VMs, on loopback sockets with free ports and in memory."""

import ipaddress
import pathlib
import socket
import typing

import pytest
import trustme
from hypothesis import given, strategies
from twisted.internet import defer, task
from twisted.internet import reactor as default_reactor
from twisted.internet.testing import StringTransport

from eelgrasswick import (
    errors,
    packet,
)
from eelgrasswick.daemons import (
    link,
    link_pool,
    setting,
    tls,
)

HOST = "127.4.9.1"
NETWORK = ipaddress.IPv4Network("127.4.9.0/24")
LIMIT_S = 10
reactor = typing.cast(typing.Any, default_reactor)


class LinkRecords:
    """Records the messages, errors and drops that links report."""

    def __init__(self) -> None:
        """Start without records."""
        self.messages: list[link.ReceivedMessage] = []
        self.errors: list[link.LinkError] = []
        self.dropped = 0

    def drop(self) -> None:
        """Count a dropped message."""
        self.dropped += 1

    @property
    def callbacks(self) -> link.Callbacks:
        """Callbacks that record, for a server."""
        return link.Callbacks(self.messages.append, self.errors.append)


@pytest.fixture
def records() -> LinkRecords:
    """Empty records of link events."""
    return LinkRecords()


def run_reactor_until(condition: typing.Callable[[], bool]) -> None:
    """Run the reactor until a condition holds; fail after ``LIMIT_S``."""
    started_s = reactor.seconds()
    if not reactor._started:
        reactor.startRunning(installSignalHandlers=False)
    while not condition():
        reactor.runUntilCurrent()
        reactor.doIteration(0.01)
        assert reactor.seconds() - started_s < LIMIT_S, (
            "the condition did not hold within the limit"
        )


class LinkedVms(typing.NamedTuple):
    """A listening VM, and the pool of another VM that sends to it."""

    pool: link_pool.LinkPool
    port: typing.Any
    receiver: link_pool.Receiver


def open_linked_vms(
    records: LinkRecords,
    server: tls.Identity | None = None,
    client: tls.Identity | None = None,
) -> LinkedVms:
    """Listen on a free port and create a pool; an identity of None is plain TCP."""
    factory = link.LinkServerFactory((NETWORK,), records.callbacks, server is not None)
    if server is None:
        port = reactor.listenTCP(0, factory, interface=HOST)
    else:
        port = reactor.listenSSL(0, factory, server.options, interface=HOST)
    address = packet.address(f"{HOST}:{port.getHost().port}")
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", client, records.drop)
    return LinkedVms(pool, port, link_pool.Receiver("vm1", address))


def close_linked_vms(linked: LinkedVms) -> None:
    """Close the pool and the listening port."""
    linked.pool.close()
    stopped: list[object] = []
    defer.maybeDeferred(linked.port.stopListening).addBoth(stopped.append)
    run_reactor_until(lambda: bool(stopped))


@pytest.fixture
def authority() -> trustme.CA:
    """A certificate authority of the fleet."""
    return trustme.CA(key_type=trustme.KeyType.ECDSA)


def identity(folder: pathlib.Path, name: str, authority: trustme.CA) -> tls.Identity:
    """Issue a certificate for a VM and load it as from settings."""
    issued = authority.issue_cert(name, key_type=trustme.KeyType.ECDSA)
    paths = [folder / f"{name}.{part}" for part in ("pem", "key", "ca")]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    authority.cert_pem.write_to_path(paths[2])
    loaded = tls.load(setting.TlsSettings(*map(str, paths)))
    assert loaded is not None
    return loaded


def test_messages_arrive_in_order_with_their_sender(records: LinkRecords) -> None:
    """Guards against links that lose, reorder or misattribute messages."""
    linked = open_linked_vms(records)
    sent = [b"%d" % number for number in range(50)]
    for payload in sent:
        linked.pool.send(linked.receiver, payload)
    run_reactor_until(lambda: len(records.messages) == len(sent))
    assert [item.payload for item in records.messages] == sent
    assert {(item.sender, item.host) for item in records.messages} == {
        ("vm2", "127.4.9.2")
    }
    close_linked_vms(linked)


def test_connection_from_outside_the_networks_is_closed(records: LinkRecords) -> None:
    """Guards against outsiders that use up a VM's file descriptors.

    A process outside the fleet connects to the link port and keeps connections open.
    """
    linked = open_linked_vms(records)
    outsider = socket.create_connection(
        (HOST, linked.receiver.address.port), LIMIT_S, ("127.4.8.1", 0)
    )
    run_reactor_until(lambda: bool(records.errors))
    assert records.errors[0].host == "127.4.8.1"
    assert not records.errors[0].authorized
    outsider.close()
    close_linked_vms(linked)


def test_queue_for_a_stopped_receiver_is_bounded(records: LinkRecords) -> None:
    """Guards against messages to a stopped VM that fill its peers' memory.

    The kernel of the stopped process still accepts connections and bytes.
    """
    stopped_vm = socket.create_server((HOST, 0))
    stopped_vm.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    address = packet.address(f"{HOST}:{stopped_vm.getsockname()[1]}")
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, records.drop)
    receiver = link_pool.Receiver("vm1", address)
    for _ in range(link_pool.MAX_QUEUED_MESSAGES + 10):
        pool.send(receiver, b"x" * 1000)
    assert records.dropped == 10
    pool.close()
    stopped_vm.close()


def test_full_transport_keeps_messages_in_the_bounded_queue(
    records: LinkRecords,
) -> None:
    """Guards against a transport buffer that grows without bound."""
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, records.drop)
    receiver = link_pool.Receiver("vm1", packet.address(f"{HOST}:9"))
    opened = link_pool.LinkClient("vm2", receiver, pool)
    opened.callLater = task.Clock().callLater  # type: ignore[method-assign]
    transport = StringTransport()
    opened.makeConnection(transport)
    opened.dataReceived(feed_server(records, transport.value()).value())
    opened.pauseProducing()
    transport.clear()
    for number in range(link_pool.MAX_QUEUED_MESSAGES + 3):
        opened.send(b"%d" % number)
    assert transport.value() == b""
    assert records.dropped == 3
    opened.resumeProducing()
    assert len(transport.value()) > link_pool.MAX_QUEUED_MESSAGES


def test_connection_without_handshake_is_closed(records: LinkRecords) -> None:
    """Guards against connections without a handshake that hold descriptors."""
    clock = task.Clock()
    link_server = link.LinkServer("127.4.9.3", records.callbacks, False)
    link_server.callLater = clock.callLater  # type: ignore[method-assign]
    transport = StringTransport()
    link_server.makeConnection(transport)
    clock.advance(link.HANDSHAKE_TIMEOUT_S + 1)
    assert transport.disconnected


def test_handshake_without_response_is_aborted(records: LinkRecords) -> None:
    """Guards against messages that stay queued after a stopped VM came back.

    The kernel of the stopped process accepts the connection, but nothing responds.
    """
    clock = task.Clock()
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, records.drop)
    receiver = link_pool.Receiver("vm1", packet.address(f"{HOST}:9"))
    opened = link_pool.LinkClient("vm2", receiver, pool)
    opened.callLater = clock.callLater  # type: ignore[method-assign]
    transport = StringTransport()
    opened.makeConnection(transport)
    clock.advance(link.HANDSHAKE_TIMEOUT_S + 1)
    assert transport.disconnected


REQUEST = (
    b"GET /link/vm2 HTTP/1.1\r\nHost: vm1\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)


def feed_server(records: LinkRecords, *chunks: bytes) -> StringTransport:
    """Return the transport of a link server that has received some chunks."""
    link_server = link.LinkServer("127.4.9.3", records.callbacks, False)
    link_server.callLater = task.Clock().callLater  # type: ignore[method-assign]
    transport = StringTransport()
    link_server.makeConnection(transport)
    for data in chunks:
        link_server.dataReceived(data)
    return transport


@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_any_bytes_in_a_handshake_give_no_message(chunks: list[bytes]) -> None:
    """Guards against an untyped error, or a message without a handshake."""
    records = LinkRecords()
    feed_server(records, *chunks)
    assert records.messages == []


@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_any_bytes_after_a_handshake_raise_nothing(chunks: list[bytes]) -> None:
    """Guards against an untyped error from corrupt frames."""
    records = LinkRecords()
    transport = feed_server(records, REQUEST, *chunks)
    assert transport.value().startswith(b"HTTP/1.1 101")


@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_any_bytes_in_response_to_a_handshake_raise_nothing(
    chunks: list[bytes],
) -> None:
    """Guards against an exception in the VM that opened the link."""
    records = LinkRecords()
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, records.drop)
    receiver = link_pool.Receiver("vm1", packet.address(f"{HOST}:9"))
    opened = link_pool.LinkClient("vm2", receiver, pool)
    opened.callLater = task.Clock().callLater  # type: ignore[method-assign]
    opened.makeConnection(StringTransport())
    for data in chunks:
        opened.dataReceived(data)


def test_frame_with_an_oversize_length_closes_the_link(records: LinkRecords) -> None:
    """Guards against a frame that fills the memory of the VM.

    A frame header can announce up to 2**63 bytes.
    """
    oversize = b"\x82\xff" + (1 << 40).to_bytes(8, "big") + b"\0\0\0\0"
    transport = feed_server(records, REQUEST, oversize)
    assert transport.disconnected
    assert records.errors[0].authorized


def test_mutual_tls_carries_messages(
    records: LinkRecords, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    """Guards against valid certificates that are refused."""
    first = identity(tmp_path, "vm1", authority)
    second = identity(tmp_path, "vm2", authority)
    linked = open_linked_vms(records, first, second)
    linked.pool.send(linked.receiver, b"hello")
    run_reactor_until(lambda: bool(records.messages))
    assert records.messages == [link.ReceivedMessage("vm2", "127.4.9.2", b"hello")]
    close_linked_vms(linked)


def test_certificate_of_another_vm_is_refused(
    records: LinkRecords, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    """Guards against a stolen key that is used in the name of another VM.

    Its holder could otherwise send a configuration as any VM.
    """
    first = identity(tmp_path, "vm1", authority)
    third = identity(tmp_path, "vm3", authority)
    linked = open_linked_vms(records, first, third)
    linked.pool.send(linked.receiver, b"hello")
    run_reactor_until(lambda: bool(records.errors))
    assert "does not name vm2" in records.errors[0].detail
    assert records.messages == []
    close_linked_vms(linked)


def test_receiver_with_another_vms_certificate_gets_nothing(
    records: LinkRecords, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    """Guards against messages sent to a process in place of the intended VM."""
    third = identity(tmp_path, "vm3", authority)
    second = identity(tmp_path, "vm2", authority)
    linked = open_linked_vms(records, third, second)
    linked.pool.send(linked.receiver, b"hello")
    run_reactor_until(lambda: not linked.pool._links)
    assert records.messages == []
    close_linked_vms(linked)


def test_certificate_of_another_authority_is_refused(
    records: LinkRecords, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    """Guards against senders whose certificate the authority has not signed."""
    first = identity(tmp_path, "vm1", authority)
    second = identity(tmp_path, "vm2", trustme.CA())
    linked = open_linked_vms(records, first, second)
    linked.pool.send(linked.receiver, b"hello")
    run_reactor_until(lambda: not linked.pool._links and bool(records.errors))
    assert records.messages == []
    assert not records.errors[0].authorized
    close_linked_vms(linked)


def test_plain_link_to_a_vm_with_tls_is_refused(
    records: LinkRecords, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    """Guards against unencrypted messages to a VM that uses TLS."""
    linked = open_linked_vms(records, identity(tmp_path, "vm1", authority), None)
    linked.pool.send(linked.receiver, b"hello")
    run_reactor_until(lambda: not linked.pool._links and bool(records.errors))
    assert records.messages == []
    close_linked_vms(linked)


@pytest.mark.parametrize("missing", ["certificate", "key", "authority"])
def test_incomplete_tls_section_is_a_settings_error(missing: str) -> None:
    """Guards against a VM that uses plain TCP because one path is missing."""
    section = setting.TlsSettings("a", "b", "c")._replace(**{missing: ""})
    with pytest.raises(errors.SettingsInvalidError):
        tls.load(section)


def test_absent_tls_files_are_a_settings_error() -> None:
    """Guards against a traceback at start when the files are absent."""
    with pytest.raises(errors.SettingsInvalidError):
        tls.load(setting.TlsSettings("/absent", "/absent", "/absent"))
