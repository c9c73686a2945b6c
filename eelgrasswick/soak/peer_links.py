"""The links between the entry VMs of a run, so that they can be cut.

Each VM is known to the others by an alias, an address of this module: what comes
there is passed on to the VM, under the alias of the sender.
"""

import random
import typing
import zlib

from twisted.internet import protocol

from eelgrasswick.soak import layout, proxy

ALIAS_NETS: typing.Final = range(64, 256)


class Impairment(typing.NamedTuple):
    """What happens to datagrams between VMs.

    Attributes:
        loses: Part of all that is lost.
        delay_s: Each is late by up to this.
    """

    loss_share: float = 0.0
    max_delay_s: float = 0.0


def choose_aliases(block: int, hosts: typing.Sequence[str]) -> list[str]:
    """Return an alias for each VM.

    VMs work out from a checksum of addresses which of them watches the store.
    A VM knows itself by its own address and the others by their aliases, so an
    alias must have nearly the checksum of the address.
    """
    free = {f"127.{block}.{net}.{last}" for net in ALIAS_NETS for last in range(1, 255)}
    chosen = []
    for host in hosts:
        wanted = zlib.crc32(host.encode())
        alias = min(free, key=lambda item: abs(zlib.crc32(item.encode()) - wanted))
        free.remove(alias)
        chosen.append(alias)
    return chosen


class PeerLinks:
    """All links between the VMs of a run.

    Attributes:
        mood: What happens to all datagrams.
        mute: VMs whose datagrams vanish, by number.
        deaf: VMs that datagrams do not reach, by number.
        zone: VMs that only hear each other, by number.
        connections: The proxy in front of each VM for connections of others.
    """

    def __init__(
        self, reactor: typing.Any, placed: layout.Layout, rng: random.Random
    ) -> None:
        """Open the aliases of all VMs."""
        self.impairment = Impairment()
        self.blocked_senders: set[int] = set()
        self.blocked_receivers: set[int] = set()
        self.isolated_vms: frozenset[int] = frozenset()
        self.proxies: list[proxy.Proxy] = []
        self.ports: list[typing.Any] = []
        self._reactor = reactor
        self._rng = rng
        self._hosts = [placed.vm_ip(number) for number in range(placed.vms)]
        self._numbers = {host: number for number, host in enumerate(self._hosts)}
        self._ends: list[_AliasSocket] = []
        self.aliases = choose_aliases(placed.block, self._hosts)
        for number, alias in enumerate(self.aliases):
            self._open(number, alias)

    def _open(self, number: int, alias: str) -> None:
        end = _AliasSocket(self, number)
        self._ends.append(end)
        made = proxy.Proxy(self._reactor, self._hosts[number], layout.PEER_PORT)
        self.proxies.append(made)
        port = layout.PEER_PORT
        self.ports.append(self._reactor.listenUDP(port, end, alias, 65_535))
        self.ports.append(self._reactor.listenTCP(port, made, interface=alias))

    def forward(self, raw: bytes, host: str, to: int) -> None:
        """Take a datagram of a VM for another."""
        sender = self._numbers.get(host)
        if (
            sender is None
            or sender == to
            or sender in self.blocked_senders
            or to in self.blocked_receivers
        ):
            return
        apart = (sender in self.isolated_vms) != (to in self.isolated_vms)
        if apart or self._rng.random() < self.impairment.loss_share:
            return
        delay_s = self._rng.random() * self.impairment.max_delay_s
        address = (self._hosts[to], layout.PEER_PORT)
        self._reactor.callLater(delay_s, self._ends[sender].send, raw, address)


class _AliasSocket(protocol.DatagramProtocol):
    def __init__(self, links: PeerLinks, number: int) -> None:
        self._links = links
        self._number = number

    def send(self, raw: bytes, address: tuple[str, int]) -> None:
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).write(raw, address)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        self._links.forward(datagram, addr[0], self._number)
