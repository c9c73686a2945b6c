"""The fabric of a run: it spreads callers' packets over the entry VMs."""

import random
import typing
import zlib

from eelgrasswick.soak import caller


class Mood(typing.NamedTuple):
    """What the fabric does to packets, as shares of them.

    Attributes:
        loses: Part that is lost.
        doubles: Part that arrives twice.
        reorders: Part that comes up to 50 ms late.
    """

    loses: float = 0.0
    doubles: float = 0.0
    reorders: float = 0.0


LATE_S: typing.Final = 0.05


class Fabric:
    """Hashes flows over the VMs that are in rotation."""

    def __init__(self, reactor: typing.Any, port: int, rng: random.Random) -> None:
        """Send to the VMs' port for packets."""
        self.mood = Mood()
        self.rotation: list[str] = []
        self.callers: dict[str, caller.Caller] = {}
        self._reactor = reactor
        self._port = port
        self._rng = rng

    def send(self, raw: bytes, host: str, port: int) -> None:
        """Take a packet from a caller's address and port."""
        if not self.rotation or self._rng.random() < self.mood.loses:
            return
        digest = zlib.crc32(f"{host}:{port}".encode())
        vm = self.rotation[digest % len(self.rotation)]
        copies = 2 if self._rng.random() < self.mood.doubles else 1
        for _ in range(copies):
            late = self._rng.random() < self.mood.reorders
            delay_s = self._rng.random() * LATE_S if late else 0.0
            self._reactor.callLater(delay_s, self._deliver, raw, host, vm)

    def _deliver(self, raw: bytes, host: str, vm: str) -> None:
        transport: typing.Any = self.callers[host].transport
        transport.write(raw, (vm, self._port))
