"""Links between VMs on real sockets, with ports of the system's choice."""

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


class Heard:
    """Collects what a listener is told."""

    def __init__(self) -> None:
        """Start empty."""
        self.arrivals: list[link.ReceivedMessage] = []
        self.faults: list[link.LinkError] = []
        self.dropped = 0

    def drop(self) -> None:
        """Count a dropped message."""
        self.dropped += 1

    @property
    def listener(self) -> link.Callbacks:
        """What a server is given."""
        return link.Callbacks(self.arrivals.append, self.faults.append)


@pytest.fixture
def heard() -> Heard:
    return Heard()


def spin(done: typing.Callable[[], bool]) -> None:
    """Run the reactor until something holds; fail after a generous limit."""
    begun_s = reactor.seconds()
    if not reactor._started:
        reactor.startRunning(installSignalHandlers=False)
    while not done():
        reactor.runUntilCurrent()
        reactor.doIteration(0.01)
        assert reactor.seconds() - begun_s < LIMIT_S, "not reached in time"


class Site(typing.NamedTuple):
    """A listening VM, and the pool of another that speaks to it."""

    pool: link_pool.LinkPool
    port: typing.Any
    receiver: link_pool.Receiver


def open_site(
    heard: Heard,
    server: tls.Identity | None = None,
    client: tls.Identity | None = None,
) -> Site:
    factory = link.LinkServerFactory((NETWORK,), heard.listener, server is not None)
    if server is None:
        port = reactor.listenTCP(0, factory, interface=HOST)
    else:
        port = reactor.listenSSL(0, factory, server.options, interface=HOST)
    address = packet.address(f"{HOST}:{port.getHost().port}")
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", client, heard.drop)
    return Site(pool, port, link_pool.Receiver("vm1", address))


def close_site(site: Site) -> None:
    site.pool.close()
    stopped: list[object] = []
    defer.maybeDeferred(site.port.stopListening).addBoth(stopped.append)
    spin(lambda: bool(stopped))


@pytest.fixture
def authority() -> trustme.CA:
    return trustme.CA(key_type=trustme.KeyType.ECDSA)


def identity(folder: pathlib.Path, name: str, authority: trustme.CA) -> tls.Identity:
    """Write a VM's certificate and load it as the settings would."""
    issued = authority.issue_cert(name, key_type=trustme.KeyType.ECDSA)
    paths = [folder / f"{name}.{part}" for part in ("pem", "key", "ca")]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    authority.cert_pem.write_to_path(paths[2])
    loaded = tls.load(setting.TlsSettings(*map(str, paths)))
    assert loaded is not None
    return loaded


def test_messages_arrive_in_order_with_their_sender(heard: Heard) -> None:
    site = open_site(heard)
    sent = [b"%d" % number for number in range(50)]
    for payload in sent:
        site.pool.send(site.receiver, payload)
    spin(lambda: len(heard.arrivals) == len(sent))
    assert [item.payload for item in heard.arrivals] == sent
    assert {(item.sender, item.host) for item in heard.arrivals} == {
        ("vm2", "127.4.9.2")
    }
    close_site(site)


def test_address_outside_the_networks_is_cut_off(heard: Heard) -> None:
    # A process outside the fleet finds the link port. Served, it could keep
    # connections open until the VM has no descriptors left.
    site = open_site(heard)
    outsider = socket.create_connection(
        (HOST, site.receiver.address.port), LIMIT_S, ("127.4.8.1", 0)
    )
    spin(lambda: bool(heard.faults))
    assert heard.faults[0].host == "127.4.8.1"
    assert not heard.faults[0].authorized
    outsider.close()
    close_site(site)


def test_receiver_that_stands_still_bounds_the_queue(heard: Heard) -> None:
    # A VM is stopped while its kernel still accepts connections and bytes.
    # Messages for it pile up at every other VM until memory runs out.
    still = socket.create_server((HOST, 0))
    still.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    address = packet.address(f"{HOST}:{still.getsockname()[1]}")
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, heard.drop)
    receiver = link_pool.Receiver("vm1", address)
    for _ in range(link_pool.MAX_QUEUED_MESSAGES + 10):
        pool.send(receiver, b"x" * 1000)
    assert heard.dropped == 10
    pool.close()
    still.close()


def test_full_transport_keeps_messages_in_the_bounded_queue(heard: Heard) -> None:
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, heard.drop)
    receiver = link_pool.Receiver("vm1", packet.address(f"{HOST}:9"))
    opened = link_pool.LinkClient("vm2", receiver, pool)
    opened.callLater = task.Clock().callLater  # type: ignore[method-assign]
    transport = StringTransport()
    opened.makeConnection(transport)
    opened.dataReceived(server_fed(heard, transport.value()).value())
    opened.pauseProducing()
    transport.clear()
    for number in range(link_pool.MAX_QUEUED_MESSAGES + 3):
        opened.send(b"%d" % number)
    assert transport.value() == b""
    assert heard.dropped == 3
    opened.resumeProducing()
    assert len(transport.value()) > link_pool.MAX_QUEUED_MESSAGES


def test_silent_connection_is_ended(heard: Heard) -> None:
    # Someone connects and never sends a handshake. Each such connection would
    # hold a descriptor of the VM for good.
    clock = task.Clock()
    made = link.LinkServer("127.4.9.3", heard.listener, False)
    made.callLater = clock.callLater  # type: ignore[method-assign]
    transport = StringTransport()
    made.makeConnection(transport)
    clock.advance(link.HANDSHAKE_TIMEOUT_S + 1)
    assert transport.disconnected


def test_handshake_without_answer_is_given_up(heard: Heard) -> None:
    # The other process is frozen: its kernel accepts the connection, but no
    # answer comes. Messages sent after it came back would still wait here.
    clock = task.Clock()
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, heard.drop)
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


def server_fed(heard: Heard, *chunks: bytes) -> StringTransport:
    made = link.LinkServer("127.4.9.3", heard.listener, False)
    made.callLater = task.Clock().callLater  # type: ignore[method-assign]
    transport = StringTransport()
    made.makeConnection(transport)
    for data in chunks:
        made.dataReceived(data)
    return transport


@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_any_bytes_in_a_handshake_give_a_fault_or_wait(chunks: list[bytes]) -> None:
    heard = Heard()
    server_fed(heard, *chunks)
    assert heard.arrivals == []


@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_any_bytes_after_a_handshake_end_the_link_or_wait(chunks: list[bytes]) -> None:
    heard = Heard()
    transport = server_fed(heard, REQUEST, *chunks)
    assert transport.value().startswith(b"HTTP/1.1 101")


@given(strategies.lists(strategies.binary(max_size=60), max_size=6))
def test_any_bytes_in_answer_to_a_handshake_do_no_harm(chunks: list[bytes]) -> None:
    heard = Heard()
    pool = link_pool.LinkPool(reactor, "vm2", "127.4.9.2", None, heard.drop)
    receiver = link_pool.Receiver("vm1", packet.address(f"{HOST}:9"))
    opened = link_pool.LinkClient("vm2", receiver, pool)
    opened.callLater = task.Clock().callLater  # type: ignore[method-assign]
    opened.makeConnection(StringTransport())
    for data in chunks:
        opened.dataReceived(data)


def test_frame_that_announces_too_much_ends_the_link(heard: Heard) -> None:
    # A frame header can announce 2**63 bytes. Waited for, they would fill the
    # memory of the VM.
    oversize = b"\x82\xff" + (1 << 40).to_bytes(8, "big") + b"\0\0\0\0"
    transport = server_fed(heard, REQUEST, oversize)
    assert transport.disconnected
    assert heard.faults[0].authorized


def test_mutual_tls_carries_messages(
    heard: Heard, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    first = identity(tmp_path, "vm1", authority)
    second = identity(tmp_path, "vm2", authority)
    site = open_site(heard, first, second)
    site.pool.send(site.receiver, b"hello")
    spin(lambda: bool(heard.arrivals))
    assert heard.arrivals == [link.ReceivedMessage("vm2", "127.4.9.2", b"hello")]
    close_site(site)


def test_certificate_of_another_vm_is_refused(
    heard: Heard, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    # A VM's key is stolen. Without this check its holder could speak as any
    # other VM and offer a configuration of its own.
    first = identity(tmp_path, "vm1", authority)
    third = identity(tmp_path, "vm3", authority)
    site = open_site(heard, first, third)
    site.pool.send(site.receiver, b"hello")
    spin(lambda: bool(heard.faults))
    assert "does not name vm2" in heard.faults[0].detail
    assert heard.arrivals == []
    close_site(site)


def test_receiver_with_another_vms_certificate_gets_nothing(
    heard: Heard, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    third = identity(tmp_path, "vm3", authority)
    second = identity(tmp_path, "vm2", authority)
    site = open_site(heard, third, second)
    site.pool.send(site.receiver, b"hello")
    spin(lambda: not site.pool._links)
    assert heard.arrivals == []
    close_site(site)


def test_certificate_of_another_authority_is_refused(
    heard: Heard, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    first = identity(tmp_path, "vm1", authority)
    second = identity(tmp_path, "vm2", trustme.CA())
    site = open_site(heard, first, second)
    site.pool.send(site.receiver, b"hello")
    spin(lambda: not site.pool._links and bool(heard.faults))
    assert heard.arrivals == []
    assert not heard.faults[0].authorized
    close_site(site)


def test_plain_link_to_a_vm_with_tls_is_refused(
    heard: Heard, tmp_path: pathlib.Path, authority: trustme.CA
) -> None:
    site = open_site(heard, identity(tmp_path, "vm1", authority), None)
    site.pool.send(site.receiver, b"hello")
    spin(lambda: not site.pool._links and bool(heard.faults))
    assert heard.arrivals == []
    close_site(site)


@pytest.mark.parametrize("missing", ["certificate", "key", "authority"])
def test_half_named_tls_is_a_settings_fault(missing: str) -> None:
    named = setting.TlsSettings("a", "b", "c")._replace(**{missing: ""})
    with pytest.raises(errors.SettingsInvalidError):
        tls.load(named)


def test_absent_tls_files_are_a_settings_fault() -> None:
    with pytest.raises(errors.SettingsInvalidError):
        tls.load(setting.TlsSettings("/absent", "/absent", "/absent"))
