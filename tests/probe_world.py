"""A VM that probes targets over a simulated link in virtual time."""

import os
import typing

import pytest
from twisted.internet import address, error, testing
from twisted.python import failure

from eelgrasswick.cookie import (
    carrying,
    clock,
    forwarding,
    model,
    observations,
    settings,
    source,
    store_replica,
)
from eelgrasswick.platform import entries, segments
from tests import cookie_parts

TARGETS: typing.Final = ("i-0a", "i-0b", "i-0c", "i-0d")
START_MS: typing.Final = 1_000_000
DelayMs = typing.Callable[[int], float]
_SETTINGS: typing.Final = """\
[vm]
name = vm-1
zone = z1
data = 127.0.0.1:1
ready = 127.0.0.1:2
peer = 127.0.0.1:3
metrics = 127.0.0.1:4
[store]
address = 127.0.0.1:5
[fleet]
seeds = 127.0.0.1:3
"""


def _no_delay(_: int) -> float:
    return 1.0


class LinkReactor(testing.MemoryReactorClock):
    """A reactor whose connections pass one link with a queue.

    Attributes:
        delay_ms: Returns the round trip of an opening packet sent at a given time.
        silent: Targets that do not answer.
        refusing: Targets that refuse connections.
    """

    def __init__(self) -> None:
        """Create a link without delay to targets that accept connections."""
        super().__init__()
        self.delay_ms: DelayMs = _no_delay
        self.silent: set[str] = set()
        self.refusing: set[str] = set()

    def now_ms(self) -> int:
        """Return the virtual time."""
        return START_MS + round(1000 * self.seconds())

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: typing.Any,
        timeout: float = 30,
        bindAddress: typing.Any = None,  # noqa: N803
    ) -> typing.Any:
        """Connect after the link's delay, unless the time-out is shorter."""
        connector = super().connectTCP(host, port, factory, timeout, bindAddress)
        delay_s = self.delay_ms(self.now_ms()) / 1000
        if host in self.silent or delay_s >= timeout:
            fault: Exception = error.TimeoutError()
            self.callLater(timeout, self._fail, factory, connector, fault)
        elif host in self.refusing:
            fault = error.ConnectionRefusedError()
            self.callLater(delay_s, self._fail, factory, connector, fault)
        else:
            peer = address.IPv4Address("TCP", host, port)
            self.callLater(delay_s, self._accept, factory, connector, peer)
        return connector

    def _fail(
        self, factory: typing.Any, connector: typing.Any, fault: Exception
    ) -> None:
        if connector.stoppedConnecting:
            return
        factory.clientConnectionFailed(connector, failure.Failure(fault))

    def _accept(
        self, factory: typing.Any, connector: typing.Any, peer: address.IPv4Address
    ) -> None:
        if connector.stoppedConnecting:
            return
        protocol = factory.buildProtocol(peer)
        if protocol is not None:
            protocol.makeConnection(testing.StringTransport(peerAddress=peer))


class _Transport:
    """Records the datagrams that a VM sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, model.Address]] = []

    def write(self, datagram: bytes, to: model.Address) -> None:
        """Record a datagram."""
        self.sent.append((datagram, to))


class ProbeWorld:
    """One VM with open flows on targets of its zone.

    Attributes:
        reactor: The link and the virtual time.
        forwarder: Probes the targets and resets their flows.
        carrier: Decides about packets.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Create a VM that has all rows and no flow."""
        self.reactor = LinkReactor()
        monkeypatch.setattr(clock, "now_ms", self.reactor.now_ms)
        self._log, self._descriptor = os.pipe()
        self.carrier = carrying.build_carrier(
            settings.read(_SETTINGS),
            segments.Codec(),
            entries.Reader(),
            self._descriptor,
        )
        self.forwarder = forwarding.Forwarder(
            self.reactor, self.carrier, lambda *_: None
        )
        self._transport = _Transport()
        self.forwarder.port.transport = self._transport  # type: ignore[assignment]
        self.forwarder.begin()
        rows = [
            cookie_parts.target_row(name, number)
            for number, name in enumerate(TARGETS, 2)
        ]
        self.apply(cookie_parts.config_row(1), *rows)

    def close(self) -> None:
        """Close the pipe of the log."""
        os.close(self._log)
        os.close(self._descriptor)

    @property
    def observed(self) -> observations.Observations:
        """Observations of the VM."""
        return self.carrier.parts.observations

    def apply(self, *rows: source.Row) -> None:
        """Apply rows as if the store had sent them."""
        self.carrier.apply_rows(
            self.reactor.now_ms(), store_replica.Merge(rows, 0), "store"
        )

    def target(self, name: str) -> model.Target:
        """Return a target by its name."""
        return next(
            item for item in self.carrier.parts.catalog.targets if item.name == name
        )

    def open_flow(self, name: str, caller_port: int) -> None:
        """Pass a packet of a flow that is open at a target."""
        self.open_flow_of(self.target(name), caller_port)

    def open_flow_of(self, target: model.Target, caller_port: int) -> None:
        """Pass a packet of an open flow of a target, which may have no entry."""
        raw = cookie_parts.packet(
            cookie_parts.ACK, caller_port, cookie=target.cookie, data=b"GET"
        )
        self.carrier.handle_packet(raw, "100.64.0.7")

    def answer(self, name: str) -> None:
        """Record an answer of a target, as an acknowledgement of its caller does."""
        self.observed.record_answer(self.reactor.now_ms(), self.target(name))

    def suspect(self, name: str) -> None:
        """Let the VM probe a target whose answer is overdue."""
        self.forwarder.probe_reported(self.target(name).cookie)

    def run(self, duration_ms: int, step_ms: int = 5) -> None:
        """Let time pass, with the periodic check of the VM."""
        for passed_ms in range(0, duration_ms, step_ms):
            self.reactor.advance(step_ms / 1000)
            if passed_ms % 100 == 0:
                self.carrier.check_stall()

    def resets(self) -> list[int]:
        """Return the caller ports of the flows that were reset."""
        return [
            int.from_bytes(datagram[28:30], "big")
            for datagram, to in self._transport.sent
            if to.host == "100.64.0.7"
        ]

    def log(self) -> str:
        """Return the log lines written so far."""
        self.carrier.parts.log.flush()
        os.set_blocking(self._log, False)
        try:
            return os.read(self._log, 1_000_000).decode()
        except BlockingIOError:
            return ""
