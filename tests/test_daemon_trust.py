"""Only addresses of the fleet's networks are heard on the peer port."""

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


class Made(typing.NamedTuple):
    """A daemon without sockets, and its engine."""

    daemon: daemon.Daemon
    engine: engine.Engine


@pytest.fixture
def made() -> Made:
    """A daemon that is not started."""
    settings = setting.read(SETTINGS)
    rng = random.Random(1)
    runs = compose.entry_engine(settings, rng)
    clock = task.Clock()
    platform = emulated_platform.EmulatedStore(clock)
    return Made(daemon.Daemon(clock, settings, runs, platform, None, rng), runs)


def test_strange_address_is_refused_each_time(made: Made) -> None:
    # Someone outside the fleet sends to the peer port again and again. Were a
    # first refusal forgotten or a first trust handed on, a forged message would
    # change where flows go.
    source = packet.address("10.9.9.9:6081")
    counter = message.Counter.PACKETS_UNKNOWN_SENDER
    invalid = message.Counter.MESSAGES_INVALID
    for _ in range(3):
        made.daemon._on_peer(source, b"junk")
    assert made.engine.outbox.counts[counter] == 3
    assert made.engine.outbox.counts[invalid] == 0


def test_known_address_is_heard_each_time(made: Made) -> None:
    source = packet.address("127.3.200.9:6081")
    invalid = message.Counter.MESSAGES_INVALID
    for _ in range(3):
        made.daemon._on_peer(source, b"junk")
    assert made.engine.outbox.counts[invalid] == 3


def test_memory_of_addresses_is_bounded(
    made: Made, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A sender that changes its address with each datagram would otherwise make
    # the VM keep all of them.
    monkeypatch.setattr(daemon, "MAX_CACHED_ADDRESSES", 2)
    for number in range(5):
        made.daemon._on_peer(packet.address(f"10.9.9.{number + 1}:6081"), b"junk")
    assert len(made.daemon._trusted_ips) == 2
    counter = message.Counter.PACKETS_UNKNOWN_SENDER
    assert made.engine.outbox.counts[counter] == 5
