"""A daemon and a UDP echo server on loopback, to time packets through sockets."""

import random
import socket
import statistics
import time
import typing

from twisted.internet import protocol
from twisted.internet import reactor as default_reactor

from eelgrasswick import (
    compose,
    config,
    message,
    packet,
    store,
    wire,
)
from eelgrasswick.daemons import (
    daemon,
    setting,
)
from eelgrasswick.emulation import (
    emulated_platform,
    virtual_fleet,
)
from eelgrasswick.fleet import member
from eelgrasswick.homes import engine
from eelgrasswick.trials import packet_path

ROUNDS: typing.Final = 10
BATCH_PACKETS: typing.Final = 50
READY_TIMEOUT_S: typing.Final = 10.0
SETTLE_S: typing.Final = 6.0
ZONE: typing.Final = "z1"
VM_NAME: typing.Final = "vm1"
PEER_NAME: typing.Final = "vm2"
_VM_IP: typing.Final = "127.3.200.1"
_PEER_IP: typing.Final = "127.3.200.2"
_FABRIC_ADDRESS: typing.Final = "127.3.201.1:6080"
_ECHO_ADDRESS: typing.Final = ("127.3.203.1", 6080)
_TARGET_IP_PREFIX: typing.Final = "127.3.202."
_BATCH_TIMEOUT_S: typing.Final = 0.5


# A stage processes the packets from a first index up to, not including, a second.
Stage = typing.Callable[[int, int], object]


class Timing(typing.NamedTuple):
    """Microseconds of processor time per packet, as medians over batches.

    Attributes:
        daemon_us: Time in the daemon.
        floor_us: Time in the echo server.
        stages_us: Time in each of the requested stages.
    """

    daemon_us: float
    floor_us: float
    stages_us: tuple[float, ...]


class _EchoServer(protocol.DatagramProtocol):
    """A Twisted UDP server that returns each datagram to its sender.

    Its cost per packet is the floor for a program that uses Twisted.
    """

    handled = 0

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        self.handled += 1
        typing.cast(typing.Any, self.transport).write(datagram, addr)


class SocketBench:
    """A daemon, an echo server and their peers' sockets in one process."""

    def __init__(self) -> None:
        """Start the daemon and the echo server; wait until the daemon serves.

        Raises:
            TimeoutError: The daemon doesn't serve in time.
        """
        self._reactor = typing.cast(typing.Any, default_reactor)
        self._echo = _EchoServer()
        self._reactor.listenUDP(_ECHO_ADDRESS[1], self._echo, _ECHO_ADDRESS[0], 65536)
        self._fabric = _socket(packet.address(_FABRIC_ADDRESS))
        self._peer = _socket(packet.address(f"{_PEER_IP}:6081"))
        self._engine = self._start_daemon()
        self._reactor.startRunning(installSignalHandlers=False)
        self._wait_until(lambda: self._engine.membership.me.serves)
        self._exchange_heartbeats()
        self._wait_until(lambda: len(self._epoch.members) == 2)
        self._settle()
        current = self._engine.tables.epochs.current
        assert current is not None
        self._targets = {
            item.endpoint: _socket(item.endpoint)
            for item in current.config.targets.values()
        }

    @property
    def _epoch(self) -> typing.Any:
        return self._engine.tables.epochs.current

    def paths(self) -> list[packet_path.Path]:
        """Return the paths through the daemon."""
        owner = self._epoch.config.services["s0"]
        return packet_path.build_paths(self._epoch, owner, VM_NAME, PEER_NAME)

    def time(self, path: packet_path.Path, stages: typing.Sequence[Stage]) -> Timing:
        """Time the daemon, the echo server and further stages in alternation.

        The speed of a shared machine changes within seconds. If each were timed
        in one piece, a stage could appear to cost more than the whole daemon.

        Args:
            path: Packets to send to the daemon; the echo server receives
                datagrams of the same sizes.
            stages: Further stages to time on the same packets.
        """
        counts = self._engine.outbox.counts
        request = message.Counter.PACKETS_REQUEST
        answer = message.Counter.PACKETS_ANSWER
        daemon_us = []
        floor_us = []
        stages_us: list[list[float]] = [[] for _ in stages]
        for _ in range(1 if path.send_once else ROUNDS):
            for start in range(0, len(path.packets), BATCH_PACKETS):
                daemon_us.append(
                    self._daemon_batch(
                        path, start, lambda: counts[request] + counts[answer]
                    )
                )
                floor_us.append(self._echo_batch(len(path.packets[start])))
                for stage, samples in zip(stages, stages_us, strict=True):
                    samples.append(_stage_us(stage, start, start + BATCH_PACKETS))
        return Timing(
            statistics.median(daemon_us),
            statistics.median(floor_us),
            tuple(statistics.median(samples) for samples in stages_us),
        )

    def _echo_batch(self, size_bytes: int) -> float:
        for _ in range(BATCH_PACKETS):
            self._fabric.sendto(bytes(size_bytes), _ECHO_ADDRESS)
        elapsed_us = self._time_until_handled(BATCH_PACKETS, lambda: self._echo.handled)
        _discard_received(self._fabric)
        return elapsed_us

    def _settle(self) -> None:
        # For a few seconds after a change of epoch, a home asks the homes of
        # earlier epochs about each new flow. Such inquiries aren't measured.
        until_s = time.monotonic() + SETTLE_S
        while time.monotonic() < until_s:
            self._exchange_heartbeats()
            self._reactor.iterate(0.05)

    def _daemon_batch(
        self, path: packet_path.Path, start: int, handled: typing.Callable[[], int]
    ) -> float:
        self._exchange_heartbeats()
        self._reactor.iterate(0)
        self._reactor.iterate(0)
        end = min(start + BATCH_PACKETS, len(path.packets))
        for index in range(start, end):
            self._send(path, index)
        elapsed_us = self._time_until_handled(end - start, handled)
        for item in (self._fabric, *self._targets.values()):
            _discard_received(item)
        return elapsed_us

    def _send(self, path: packet_path.Path, index: int) -> None:
        raw = path.packets[index]
        match path.sender:
            case packet_path.Sender.FABRIC:
                self._fabric.sendto(raw, (_VM_IP, 6080))
            case packet_path.Sender.TARGET:
                self._targets[path.sources[index]].sendto(raw, (_VM_IP, 6080))
            case packet_path.Sender.PEER:
                self._peer.sendto(wire.encode(wire.Forward(1, raw)), (_VM_IP, 6081))

    def _time_until_handled(
        self, count: int, handled: typing.Callable[[], int]
    ) -> float:
        goal = handled() + count
        deadline_s = time.monotonic() + _BATCH_TIMEOUT_S
        before_ns = time.thread_time_ns()
        while handled() < goal and time.monotonic() < deadline_s:
            self._reactor.iterate(0)
        return (time.thread_time_ns() - before_ns) / 1000 / count

    def _exchange_heartbeats(self) -> None:
        # The peer is only a socket. It sends and answers heartbeats here because
        # the daemon would otherwise mark it dead and become the home of its
        # flows.
        state = member.MemberState.ALIVE
        peer = member.Member(PEER_NAME, ZONE, _PEER_IP, 6081, 6082, 1, 1, state)
        sequence = self._engine.config_sync.sequence
        ping = wire.Ping(0, peer, sequence, ())
        self._peer.sendto(wire.encode(ping), (_VM_IP, 6081))
        for payload in _received(self._peer):
            item = wire.decode(payload)
            if isinstance(item, wire.Ping):
                ack = wire.Ack(item.number, peer, sequence, ())
                self._peer.sendto(wire.encode(ack), (_VM_IP, 6081))

    def _start_daemon(self) -> engine.Engine:
        rng = random.Random(1)
        settings = setting.read(
            f"[vm]\nname = {VM_NAME}\nzone = {ZONE}\nip = {_VM_IP}\n"
            f"[fabric]\negress = {_FABRIC_ADDRESS}\n"
            "[fleet]\nnetworks = 127.3.200.0/24\n"
            "[platform]\nurl = http://127.3.200.1:1\n[log]\ndropped_per_s = 1\n"
        )
        entry_engine = compose.entry_engine(settings, rng)
        platform = emulated_platform.EmulatedStore(self._reactor)
        text = virtual_fleet.rules_text(2, 10, (ZONE,)).replace(
            "10.1.0.", _TARGET_IP_PREFIX
        )
        document = config.encode(virtual_fleet.document(1, text))
        platform.write((), (store.Put(store.RULES_KEY, document),))
        daemon.Daemon(
            self._reactor, settings, entry_engine, platform, None, rng
        ).start()
        return entry_engine

    def _wait_until(self, done: typing.Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not done():
            if time.monotonic() > deadline_s:
                raise TimeoutError("the daemon did not become ready in time")
            self._reactor.iterate(0.05)


def _stage_us(stage: Stage, start: int, end: int) -> float:
    before_ns = time.thread_time_ns()
    stage(start, end)
    return (time.thread_time_ns() - before_ns) / 1000 / (end - start)


def _socket(address: packet.Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind((socket.inet_ntoa(address.ip), address.port))
    bound.setblocking(False)
    return bound


def _received(source: socket.socket) -> typing.Iterator[bytes]:
    while True:
        try:
            yield source.recv(65536)
        except BlockingIOError:
            return


def _discard_received(source: socket.socket) -> None:
    for _ in _received(source):
        pass
