"""Links between the entry VMs of a run, on which faults can be injected.

The VMs reach each other by aliases, which are addresses that this module listens on.
It forwards a datagram that arrives at an alias to the VM of this alias, and sends it
from the alias of the sender. Connections to an alias go through a proxy.
"""

import hashlib
import heapq
import random
import typing
import zlib

from twisted.internet import protocol

from eelgrasswick.soak import layout, proxy

# Aliases are chosen from these values of the third part of 127.BLOCK/16; the
# addresses of the layout use lower ones.
ALIAS_NETS: typing.Final = range(64, 256)
# The checksums of this many aliases differ by at most 1% from the one of an address.
SIMILAR_ALIASES: typing.Final = 480


class Impairment(typing.NamedTuple):
    """Faults of datagrams between VMs.

    Attributes:
        loss_share: Share of datagrams, from 0 to 1, that is lost.
        max_delay_s: Upper limit of the random delay of each datagram, in seconds.
    """

    loss_share: float = 0.0
    max_delay_s: float = 0.0


def choose_aliases(block: int, hosts: typing.Sequence[str]) -> list[str]:
    """Return an alias for each of some IP addresses of VMs.

    VMs determine by a checksum of their addresses which of them watches the store.
    A VM uses its own address for itself and the aliases of the others, so that an
    alias needs nearly the same checksum as the address that it stands for. The
    schedulers of groups are selected by another hash, so that the alias with the most
    similar hashes is chosen among those with a similar checksum. Otherwise the VMs of
    a zone would disagree about the scheduler of every second group.
    """
    free = {f"127.{block}.{net}.{last}" for net in ALIAS_NETS for last in range(1, 255)}
    chosen = []
    for number, host in enumerate(hosts):
        similar = heapq.nsmallest(
            SIMILAR_ALIASES, free, key=lambda item: _difference(item, host)
        )
        # Half the distance to the next host keeps the order of the checksums.
        limit = min(
            (_difference(item, host) for item in hosts if item != host), default=0
        )
        close = [item for item in similar if 2 * _difference(item, host) < limit]
        zone = layout.ZONES[number % len(layout.ZONES)]
        scores = _scheduler_scores(zone, host)
        alias = min(
            close or similar[:1], key=lambda item: _distance(scores, zone, item)
        )
        free.remove(alias)
        chosen.append(alias)
    return chosen


def _difference(one: str, other: str) -> int:
    return abs(zlib.crc32(one.encode()) - zlib.crc32(other.encode()))


def _scheduler_scores(zone: str, host: str) -> list[int]:
    keys = [f"{service}/{zone}/0 {host}" for service in layout.SERVICES]
    return [
        int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest(), "big")
        for key in keys
    ]


def _distance(scores: typing.Sequence[int], zone: str, host: str) -> int:
    others = _scheduler_scores(zone, host)
    return max(abs(one - other) for one, other in zip(scores, others, strict=True))


class PeerLinks:
    """All links between the VMs of a run.

    Attributes:
        impairment: Faults that apply to all datagrams.
        blocked_senders: Numbers of the VMs whose datagrams are dropped.
        blocked_receivers: Numbers of the VMs that receive no datagrams.
        isolated_vms: Numbers of the VMs that exchange datagrams only with each other.
        proxies: The proxy of each VM for connections from the other VMs.
        ports: All listening ports, for closing them.
        aliases: The alias of each VM.
    """

    def __init__(
        self, reactor: typing.Any, addresses: layout.Layout, rng: random.Random
    ) -> None:
        """Listen on the aliases of all VMs."""
        self.impairment = Impairment()
        self.blocked_senders: set[int] = set()
        self.blocked_receivers: set[int] = set()
        self.isolated_vms: frozenset[int] = frozenset()
        self.proxies: list[proxy.Proxy] = []
        self.ports: list[typing.Any] = []
        self._reactor = reactor
        self._rng = rng
        self._hosts = [addresses.vm_ip(number) for number in range(addresses.vms)]
        self._numbers = {host: number for number, host in enumerate(self._hosts)}
        self._sockets: list[_AliasSocket] = []
        self.aliases = choose_aliases(addresses.block, self._hosts)
        for number, alias in enumerate(self.aliases):
            self._listen(number, alias)

    def _listen(self, number: int, alias: str) -> None:
        alias_socket = _AliasSocket(self, number)
        self._sockets.append(alias_socket)
        peer_proxy = proxy.Proxy(self._reactor, self._hosts[number], layout.PEER_PORT)
        self.proxies.append(peer_proxy)
        port = layout.PEER_PORT
        self.ports.append(self._reactor.listenUDP(port, alias_socket, alias, 65_535))
        self.ports.append(self._reactor.listenTCP(port, peer_proxy, interface=alias))

    def forward(self, raw: bytes, host: str, to: int) -> None:
        """Forward a datagram to a VM unless a fault drops it.

        Args:
            raw: The datagram.
            host: IP address of the VM that sent it. Datagrams from addresses of no
                VM are dropped.
            to: Number of the VM that it is for.
        """
        sender = self._numbers.get(host)
        if (
            sender is None
            or sender == to
            or sender in self.blocked_senders
            or to in self.blocked_receivers
        ):
            return
        separated = (sender in self.isolated_vms) != (to in self.isolated_vms)
        if separated or self._rng.random() < self.impairment.loss_share:
            return
        delay_s = self._rng.random() * self.impairment.max_delay_s
        address = (self._hosts[to], layout.PEER_PORT)
        self._reactor.callLater(delay_s, self._sockets[sender].send, raw, address)


class _AliasSocket(protocol.DatagramProtocol):
    def __init__(self, links: PeerLinks, number: int) -> None:
        self._links = links
        self._number = number

    def send(self, raw: bytes, address: tuple[str, int]) -> None:
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).write(raw, address)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        self._links.forward(datagram, addr[0], self._number)
