"""Links between the entry VMs of a soak run, and faults on them."""

import itertools
import random
import typing
import zlib

import pytest
from twisted.internet import task

from eelgrasswick.reservations import groups
from eelgrasswick.soak import layout, peer_links


class _Reactor(task.Clock):
    """A clock whose listening calls open no sockets."""

    def listenUDP(self, *_: object) -> None:  # noqa: N802
        """Open nothing."""

    def listenTCP(self, *_: object, **__: object) -> None:  # noqa: N802
        """Open nothing."""


class _Network(typing.NamedTuple):
    clock: task.Clock
    links: peer_links.PeerLinks
    arrived: list[tuple[bytes, tuple[str, int]]]


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> _Network:
    """Return the links of six VMs in three zones, and the datagrams that arrive."""
    arrived: list[tuple[bytes, tuple[str, int]]] = []

    def send(_: object, raw: bytes, address: tuple[str, int]) -> None:
        arrived.append((raw, address))

    monkeypatch.setattr(peer_links._AliasSocket, "send", send)
    clock = _Reactor()
    links = peer_links.PeerLinks(clock, layout.Layout(9, 6, 1, 1), random.Random(1))
    return _Network(clock, links, arrived)


def _reaches(network: _Network, sender: int, to: int) -> bool:
    network.arrived.clear()
    network.links.forward(b"x", f"127.9.1.{sender + 1}", to)
    network.clock.advance(1)
    return bool(network.arrived)


def test_aliases_have_the_checksum_order_of_the_addresses() -> None:
    """With another order, VMs would disagree on which of them watches the store."""
    hosts = [f"127.9.1.{number + 1}" for number in range(60)]
    names = peer_links.choose_aliases(9, hosts)
    assert len(set(names)) == 60
    own = sorted(hosts, key=lambda host: zlib.crc32(host.encode()))
    known = sorted(names, key=lambda host: zlib.crc32(host.encode()))
    assert [hosts.index(host) for host in own] == [names.index(n) for n in known]


def test_datagram_without_a_fault_reaches_the_other_vm(network: _Network) -> None:
    assert _reaches(network, 0, 1)
    assert network.arrived == [(b"x", ("127.9.1.2", layout.PEER_PORT))]


def test_datagram_of_a_vm_to_itself_is_dropped(network: _Network) -> None:
    assert not _reaches(network, 2, 2)


def test_datagram_from_an_unknown_address_is_dropped(network: _Network) -> None:
    assert not _reaches(network, 7, 2)


def test_blocked_sender_still_receives_datagrams(network: _Network) -> None:
    """A one-way fault: datagrams reach the VM, and those that it sends are dropped."""
    network.links.blocked_senders.add(0)
    assert not _reaches(network, 0, 1)
    assert _reaches(network, 1, 0)


def test_datagrams_of_a_blocked_receiver_still_arrive(network: _Network) -> None:
    """A one-way fault: requests of the VM arrive, and responses to it are dropped."""
    network.links.blocked_receivers.add(0)
    assert _reaches(network, 0, 1)
    assert not _reaches(network, 1, 0)


def test_isolated_vms_reach_only_each_other(network: _Network) -> None:
    """All links between one zone and the others fail at the same time."""
    network.links.isolated_vms = frozenset({0, 3})
    assert _reaches(network, 0, 3)
    assert _reaches(network, 1, 2)
    assert not _reaches(network, 0, 1)
    assert not _reaches(network, 2, 3)


def test_loss_of_all_datagrams_delivers_none(network: _Network) -> None:
    network.links.impairment = peer_links.Impairment(loss_share=1.0)
    assert not _reaches(network, 0, 1)


def test_delayed_datagram_arrives(network: _Network) -> None:
    network.links.impairment = peer_links.Impairment(max_delay_s=0.4)
    assert _reaches(network, 0, 1)


def test_most_vms_of_a_zone_agree_about_the_scheduler_of_a_group() -> None:
    """Guards against aliases by which each VM of a zone selects another scheduler."""
    agreed = total = 0
    for block in (130, 131, 132):
        hosts = [layout.Layout(block, 6, 1, 1).vm_ip(number) for number in range(6)]
        aliases = peer_links.choose_aliases(block, hosts)
        for number, service in itertools.product(range(3), layout.SERVICES):
            key = f"{service}/{layout.ZONES[number]}/0"
            first = [hosts[number], aliases[number + 3]]
            second = [aliases[number], hosts[number + 3]]
            selected = first.index(groups.scheduler_host(key, first) or "")
            agreed += selected == second.index(groups.scheduler_host(key, second) or "")
            total += 1
    assert agreed / total > 0.8
