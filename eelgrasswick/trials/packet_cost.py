"""Processor time per packet, compared with a minimal Twisted UDP echo server.

The command times the engine on its own, then the daemon, which contains an
engine, on loopback sockets. Sending the packets to the daemon and reading its
output are not timed. Iterations of the reactor are timed, both for the daemon
and for the echo server.
"""

import cProfile
import dataclasses
import io
import pstats
import typing

import cappa

from eelgrasswick import (
    message,
    packet,
    wire,
)
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.fleet import peer
from eelgrasswick.trials import (
    packet_path,
    packet_socket,
    trial,
)

READY_TIMEOUT_MS: typing.Final = 10_000.0
SETTLE_MS: typing.Final = 7000.0
FABRIC_ADDRESS: typing.Final = "10.255.0.1:6080"
_PROFILE_LINES: typing.Final = 12


class Cost(typing.NamedTuple):
    """Microseconds of processor time per packet on one path.

    Attributes:
        path: Name of the path of the packet through the VM.
        parse_us: Time in the codec.
        decide_us: Time in the engine without the codec.
        send_us: Time for receiving, sending and iterations of the reactor.
        total_us: Time in the whole daemon.
        floor_us: Time of a Twisted UDP echo server for a packet of the same
            size.
        ratio: ``total_us`` over ``floor_us``.
    """

    path: str
    parse_us: float
    decide_us: float
    send_us: float
    total_us: float
    floor_us: float
    ratio: float


@cappa.command(name="packet-cost", help="measure what one packet costs")
@dataclasses.dataclass
class PacketCost:
    """Arguments of ``packet-cost``."""

    profile: typing.Annotated[
        bool, cappa.Arg(long="--profile", help="print costly functions instead")
    ] = False

    def __call__(self) -> None:
        """Print one line, or with ``--profile`` one profile, per path."""
        if self.profile:
            bench = EngineBench()
            for path in bench.paths():
                print(bench.profile(path))
            return
        for cost in measure():
            trial.print_row(cost)


def measure() -> typing.Iterator[Cost]:
    """Measure and yield the cost of each path, in the engine and in the daemon."""
    bench = EngineBench()
    sockets = packet_socket.SocketBench()
    pairs = zip(bench.paths(), sockets.paths(), strict=True)
    for path, socket_path in pairs:
        timing = sockets.time(socket_path, bench.stages(path))
        parse_us, engine_us = timing.stages_us
        yield Cost(
            path.name,
            round(parse_us, 1),
            round(engine_us - parse_us, 1),
            round(timing.daemon_us - engine_us, 1),
            round(timing.daemon_us, 1),
            round(timing.floor_us, 1),
            round(timing.daemon_us / timing.floor_us, 2),
        )


class EngineBench:
    """Two engines in virtual time; the first one is measured."""

    def __init__(self) -> None:
        """Start two engines and wait until both serve."""
        self._codec = packet.FouCodec()
        self._fleet = virtual_fleet.VirtualFleet(2, ("z1",), seed=1)
        text = virtual_fleet.rules_text(2, 10, ("z1",))
        self._fleet.put_rules(virtual_fleet.document(1, text))
        self._fleet.run_until(self._fleet.ready, READY_TIMEOUT_MS)
        # For a few seconds after a change of epoch, a home asks the homes of
        # earlier epochs about each new flow. Such inquiries aren't measured.
        self._fleet.run(SETTLE_MS)
        self._vm = self._fleet.vms[0]
        self._peer = self._fleet.vms[1]

    def paths(self) -> list[packet_path.Path]:
        """Return the paths through the measured engine."""
        current = self._vm.engine.tables.epochs.current
        assert current is not None
        owner = current.config.services["s0"]
        return packet_path.build_paths(
            current, owner, self._vm.me.name, self._peer.me.name
        )

    def count(self, counter: message.Counter) -> int:
        """Return the value of a counter of the measured engine."""
        return self._vm.engine.outbox.counts[counter]

    def stages(self, path: packet_path.Path) -> list[packet_socket.Stage]:
        """Return two stages to time: the codec, then the whole engine."""
        events = self.events(path)

        def parse(start: int, end: int) -> None:
            for raw in path.packets[start:end]:
                self._codec.decode(raw)

        return [parse, lambda start, end: self.feed(events[start:end])]

    def profile(self, path: packet_path.Path) -> str:
        """Return a profile of one path: the functions that take the most time."""
        profiler = cProfile.Profile()
        profiler.runcall(self.feed, self.events(path))
        text = io.StringIO()
        stats = pstats.Stats(profiler, stream=text)
        stats.strip_dirs().sort_stats("tottime").print_stats(_PROFILE_LINES)
        return f"path={path.name}\n{text.getvalue()}"

    def feed(self, events: typing.Sequence[message.Event]) -> None:
        """Feed events to the measured engine."""
        now_ms = round(self._fleet.now_ms)
        for event in events:
            self._vm.engine.feed(now_ms, event)

    def events(self, path: packet_path.Path) -> list[message.Event]:
        """Return the input events that carry a path's packets to the engine."""
        fabric = packet.address(FABRIC_ADDRESS)
        sender = peer.address_of(self._peer.me)
        match path.sender:
            case packet_path.Sender.FABRIC:
                return [message.FabricDatagram(fabric, raw) for raw in path.packets]
            case packet_path.Sender.TARGET:
                pairs = zip(path.sources, path.packets, strict=True)
                return [message.FabricDatagram(source, raw) for source, raw in pairs]
            case packet_path.Sender.PEER:
                return [
                    message.PeerDatagram(sender, wire.encode(wire.Forward(1, raw)))
                    for raw in path.packets
                ]
