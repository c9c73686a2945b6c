"""The peer port accepts datagrams from the fleet's networks only."""

import random
import typing

import pytest
from twisted.internet import task

from eelgrasswick import (
    compose,
    message,
    packet,
)
from eelgrasswick.daemons import (
    daemon,
    setting,
)
from eelgrasswick.emulation import emulated_platform
from eelgrasswick.homes import engine

SETTINGS = """\
[vm]
name = vm1
zone = z1
ip = 127.3.200.1
[fabric]
egress = 127.3.201.1:6080
[fleet]
networks = 127.3.200.0/24
[platform]
url = http://127.3.200.1:1
"""


class LocalDaemon(typing.NamedTuple):
    """A daemon without bound sockets, and its engine."""

    daemon: daemon.Daemon
    engine: engine.Engine


@pytest.fixture
def local() -> LocalDaemon:
    """A daemon that is not started, so that no socket is bound."""
    settings = setting.read(SETTINGS)
    rng = random.Random(1)
    vm_engine = compose.entry_engine(settings, rng)
    clock = task.Clock()
    platform = emulated_platform.EmulatedStore(clock)
    return LocalDaemon(
        daemon.Daemon(clock, settings, vm_engine, platform, None, rng), vm_engine
    )


def test_untrusted_address_is_refused_each_time(local: LocalDaemon) -> None:
    """Guards against a forged message that changes where flows are routed.

    A process outside the fleet sends to the peer port repeatedly. The cached
    decision must refuse it each time, and must not be used for other addresses.
    """
    source = packet.address("10.9.9.9:6081")
    unknown_sender = message.Counter.PACKETS_UNKNOWN_SENDER
    invalid = message.Counter.MESSAGES_INVALID
    for _ in range(3):
        local.daemon._on_peer(source, b"junk")
    assert local.engine.outbox.counts[unknown_sender] == 3
    assert local.engine.outbox.counts[invalid] == 0


def test_trusted_address_is_accepted_each_time(local: LocalDaemon) -> None:
    """Guards against a VM that drops the datagrams of its peers."""
    source = packet.address("127.3.200.9:6081")
    invalid = message.Counter.MESSAGES_INVALID
    for _ in range(3):
        local.daemon._on_peer(source, b"junk")
    assert local.engine.outbox.counts[invalid] == 3


def test_cache_of_trusted_addresses_is_bounded(
    local: LocalDaemon, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a sender that fills the memory by changing its address."""
    monkeypatch.setattr(daemon, "MAX_CACHED_ADDRESSES", 2)
    for number in range(5):
        local.daemon._on_peer(packet.address(f"10.9.9.{number + 1}:6081"), b"junk")
    assert len(local.daemon._trusted_ips) == 2
    unknown_sender = message.Counter.PACKETS_UNKNOWN_SENDER
    assert local.engine.outbox.counts[unknown_sender] == 5
