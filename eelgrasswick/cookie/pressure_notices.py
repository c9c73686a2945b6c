"""Notices by which the VMs of a zone tell each other of pools under pressure.

Load pattern: a pool is under pressure, and only some VMs have found a sign of it. The
others would fill the targets without reservations. A VM that found a sign notifies a
few VMs of its zone, and each relays the notice once.
"""

import collections
import random
import typing

from eelgrasswick.cookie import peers
from eelgrasswick.decisions import overload, pressure
from eelgrasswick.reservations import codec, messages

# A notice goes to this many VMs of the zone, and each relays it once to as many.
FAN_OUT: typing.Final = 4
# A VM that finds a pool under pressure repeats the notice after this time, unless it
# received one in the meantime. Pressure ends three seconds after its last sign.
INTERVAL_MS: typing.Final = 1000
MAX_NUMBERS: typing.Final = 1024
_NUMBER_BITS: typing.Final = 31


class PressureNotices:
    """Pools under pressure, and the notices about them."""

    def __init__(
        self,
        zone: str,
        known: pressure.Pressure,
        vms: peers.Peers,
        send: typing.Callable[[str, bytes], None],
        rng: random.Random,
    ) -> None:
        """Create the notices of a VM that knows of no pressure.

        Args:
            zone: Availability zone of this VM.
            known: The pools under pressure, as known to this VM.
            vms: The other VMs.
            send: Sends a datagram to a host.
            rng: Source of the numbers of notices.
        """
        self._zone = zone
        self._pressure = known
        self._peers = vms
        self._send = send
        self._rng = rng
        self._numbers: collections.OrderedDict[int, None] = collections.OrderedDict()
        # When the last notice about each pool under pressure was sent or received.
        self._notice_ms: dict[overload.Pool, int] = {}

    def __len__(self) -> int:
        """Return the number of pools under pressure."""
        return len(self._notice_ms)

    def receive(self, now_ms: int, message: messages.Pressure) -> None:
        """Record and relay a notice, unless it is known or of another zone."""
        if message.number in self._numbers or message.zone != self._zone:
            return
        pool = overload.Pool(message.service, message.zone)
        self._pressure.record_notice(now_ms, pool)
        self._notice_ms[pool] = now_ms
        self._publish(message)

    def record_change(self, now_ms: int, change: pressure.Change) -> None:
        """Record that pressure on a pool has begun or ended."""
        if change.begun:
            self._notice_ms.setdefault(change.pool, now_ms - INTERVAL_MS)
        else:
            self._notice_ms.pop(change.pool, None)

    def retain(self, pools: typing.Collection[overload.Pool]) -> None:
        """Forget all other pools."""
        for pool in [item for item in self._notice_ms if item not in pools]:
            del self._notice_ms[pool]

    def send_due(self, now_ms: int) -> None:
        """Send notices of the pools for which this VM itself has found a sign."""
        for pool, notice_ms in list(self._notice_ms.items()):
            if now_ms - notice_ms < INTERVAL_MS or pool.zone != self._zone:
                continue
            if self._pressure.has_own_sign(now_ms, pool):
                self._notice_ms[pool] = now_ms
                number = self._rng.getrandbits(_NUMBER_BITS)
                self._publish(messages.Pressure(*pool, number))

    def _publish(self, message: messages.Pressure) -> None:
        self._numbers[message.number] = None
        if len(self._numbers) > MAX_NUMBERS:
            self._numbers.popitem(last=False)
        payload = codec.encode(message)
        for host in self._peers.select_same_zone(FAN_OUT):
            self._send(host, payload)
