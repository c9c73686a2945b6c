"""The links between the entry VMs of a run, and faults on them."""

import random
import typing
import zlib

import pytest
from twisted.internet import task

from eelgrasswick.soak import layout, peer_links


class _Reactor(task.Clock):
    """A clock that opens no sockets."""

    def listenUDP(self, *_: object) -> None:  # noqa: N802
        """Open nothing."""

    def listenTCP(self, *_: object, **__: object) -> None:  # noqa: N802
        """Open nothing."""


class _Passed(typing.NamedTuple):
    clock: task.Clock
    links: peer_links.PeerLinks
    arrived: list[tuple[bytes, tuple[str, int]]]


@pytest.fixture
def passed(monkeypatch: pytest.MonkeyPatch) -> _Passed:
    """Return links of six VMs in three zones, and what arrives over them."""
    arrived: list[tuple[bytes, tuple[str, int]]] = []

    def send(_: object, raw: bytes, address: tuple[str, int]) -> None:
        arrived.append((raw, address))

    monkeypatch.setattr(peer_links._AliasSocket, "send", send)
    clock = _Reactor()
    links = peer_links.PeerLinks(clock, layout.Layout(9, 6, 1, 1), random.Random(1))
    return _Passed(clock, links, arrived)


def _talk(item: _Passed, sender: int, to: int) -> bool:
    item.arrived.clear()
    item.links.forward(b"x", f"127.9.1.{sender + 1}", to)
    item.clock.advance(1)
    return bool(item.arrived)


def test_aliases_sort_as_the_addresses_do() -> None:
    hosts = [f"127.9.1.{number + 1}" for number in range(60)]
    names = peer_links.choose_aliases(9, hosts)
    assert len(set(names)) == 60
    own = sorted(hosts, key=lambda host: zlib.crc32(host.encode()))
    known = sorted(names, key=lambda host: zlib.crc32(host.encode()))
    assert [hosts.index(host) for host in own] == [names.index(n) for n in known]


def test_datagrams_reach_the_other_vm(passed: _Passed) -> None:
    assert _talk(passed, 0, 1)
    assert passed.arrived == [(b"x", ("127.9.1.2", layout.PEER_PORT))]


def test_vm_never_hears_itself(passed: _Passed) -> None:
    assert not _talk(passed, 2, 2)


def test_strangers_are_not_passed_on(passed: _Passed) -> None:
    assert not _talk(passed, 7, 2)


def test_mute_vm_still_hears_the_others(passed: _Passed) -> None:
    """A link that carries packets one way only: a VM hears and is not heard."""
    passed.links.blocked_senders.add(0)
    assert not _talk(passed, 0, 1)
    assert _talk(passed, 1, 0)


def test_deaf_vm_is_still_heard(passed: _Passed) -> None:
    """The other way: a VM's questions arrive, and no answer comes back."""
    passed.links.blocked_receivers.add(0)
    assert _talk(passed, 0, 1)
    assert not _talk(passed, 1, 0)


def test_zone_that_is_cut_off_talks_among_itself(passed: _Passed) -> None:
    """All links between one zone and the others go away at once."""
    passed.links.isolated_vms = frozenset({0, 3})
    assert _talk(passed, 0, 3)
    assert _talk(passed, 1, 2)
    assert not _talk(passed, 0, 1)
    assert not _talk(passed, 2, 3)


def test_links_that_lose_everything_pass_nothing(passed: _Passed) -> None:
    passed.links.impairment = peer_links.Impairment(loss_share=1.0)
    assert not _talk(passed, 0, 1)


def test_late_datagrams_still_arrive(passed: _Passed) -> None:
    passed.links.impairment = peer_links.Impairment(max_delay_s=0.4)
    assert _talk(passed, 0, 1)
