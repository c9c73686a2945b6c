"""The network fabric of a run, which distributes packets over the entry VMs."""

import random
import typing
import zlib

from eelgrasswick.soak import caller


class Impairment(typing.NamedTuple):
    """Faults of the fabric, as shares of packets from 0 to 1.

    Attributes:
        loss_share: Share that is lost.
        answer_loss_share: Share of the packets to callers that is lost.
        duplicate_share: Share that arrives twice.
        late_share: Share that is delayed by up to MAX_DELAY_S and may be reordered.
    """

    loss_share: float = 0.0
    answer_loss_share: float = 0.0
    duplicate_share: float = 0.0
    late_share: float = 0.0


MAX_DELAY_S: typing.Final = 0.05


class Fabric:
    """Sends each packet to a VM that a hash of caller address and port selects.

    Attributes:
        impairment: Faults that apply to all packets.
        rotation: IP addresses of the VMs that get packets.
        callers: Callers by IP address; packets are sent from their sockets.
    """

    def __init__(self, reactor: typing.Any, port: int, rng: random.Random) -> None:
        """Send packets to a port of the VMs."""
        self.impairment = Impairment()
        self.rotation: list[str] = []
        self.callers: dict[str, caller.Caller] = {}
        self._reactor = reactor
        self._port = port
        self._rng = rng

    def send(self, raw: bytes, host: str, port: int) -> None:
        """Send a packet of a caller's address and port to a VM."""
        if not self.rotation or self._rng.random() < self.impairment.loss_share:
            return
        digest = zlib.crc32(f"{host}:{port}".encode())
        vm = self.rotation[digest % len(self.rotation)]
        copies = 2 if self._rng.random() < self.impairment.duplicate_share else 1
        for _ in range(copies):
            late = self._rng.random() < self.impairment.late_share
            delay_s = self._rng.random() * MAX_DELAY_S if late else 0.0
            self._reactor.callLater(delay_s, self._deliver, raw, host, vm)

    def loses_answer(self) -> bool:
        """Draw whether a packet to a caller is lost."""
        share = self.impairment.answer_loss_share
        return share > 0 and self._rng.random() < share

    def _deliver(self, raw: bytes, host: str, vm: str) -> None:
        transport: typing.Any = self.callers[host].transport
        transport.write(raw, (vm, self._port))
