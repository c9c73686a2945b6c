"""Settings files, and heartbeats whose members have invalid addresses."""

import contextlib
import random
import typing

import pytest
from hypothesis import given, strategies

from eelgrasswick import (
    errors,
    message,
    packet,
    wire,
)
from eelgrasswick.daemons import setting
from eelgrasswick.decisions import placement
from eelgrasswick.fleet import member
from eelgrasswick.homes import engine
from tests import fleet

ME = member.Member(
    "vm1", "z1", "10.3.0.1", 6081, 6082, 1, 1, member.MemberState.JOINING
)
SENDER = packet.address("10.3.0.9:6081")


@pytest.fixture
def valid(tmp_path: typing.Any) -> str:
    """The settings of one VM of the test fleet."""
    test_fleet = fleet.Fleet(tmp_path, 1)
    return test_fleet.settings_text(test_fleet.entry_vms[0])


def test_settings_of_the_test_fleet_are_accepted(valid: str) -> None:
    """Guards against a check that refuses valid settings."""
    assert setting.read(valid).vm.name == "vm1"


def test_every_fault_is_listed_at_once(valid: str) -> None:
    """Guards against a report of the first fault only."""
    text = valid.replace("ip = 127.0.1.1", "ip = 127.0.1")
    text += "dropped_per_s = many\nextra = 1\n[DEFAULT]\nname = x\n"
    with pytest.raises(errors.SettingsInvalidError) as caught:
        setting.read(text)
    detail = caught.value.detail
    for expected in (
        "[vm] ip",
        "[log] dropped_per_s",
        "[log] extra: unknown key",
        "[DEFAULT]: unknown section",
    ):
        assert expected in detail


@given(strategies.text(max_size=200))
def test_any_text_gives_settings_or_a_typed_error(text: str) -> None:
    """Guards against a start that ends with a traceback."""
    with contextlib.suppress(errors.SettingsInvalidError):
        setting.read(text)


@given(
    strategies.lists(
        strategies.sampled_from(
            ["[vm]", "[DEFAULT]", "[]", "name", "=", ":", "x", "\n", " ", "%(a)s", ";"]
        )
    )
)
def test_any_words_give_settings_or_a_typed_error(words: list[str]) -> None:
    """Guards against a traceback from a file that is nearly INI syntax."""
    with contextlib.suppress(errors.SettingsInvalidError):
        setting.read("".join(words))


texts = strategies.text(max_size=5) | strategies.sampled_from(
    ["vm2", "z1", "10.3.0.9", "300.1.1.1", "1", "10.3.0.9\n"]
)
numbers = strategies.integers(-5, 70_000) | strategies.integers()
members = strategies.builds(
    member.Member,
    texts,
    texts,
    texts,
    numbers,
    numbers,
    numbers,
    numbers,
    strategies.sampled_from(member.MemberState),
)


@given(strategies.lists(members, min_size=1, max_size=4), strategies.booleans())
def test_members_with_invalid_addresses_do_not_stop_the_heartbeats(
    received_members: list[member.Member], acknowledges: bool
) -> None:
    """Guards against a VM that peers treat as dead because its heartbeats fail.

    A faulty process, or one of another version, sends a heartbeat with a member
    whose address is invalid. Once recorded, it would make later heartbeats fail.
    """
    rng = random.Random(1)
    vm_engine = engine.Engine(ME, (), packet.FouCodec(), placement.BoundedHash(), rng)
    kind = wire.Ack if acknowledges else wire.Ping
    heartbeat = wire.encode(
        kind(1, received_members[0], 0, tuple(received_members[1:]))
    )
    now_ms = 1_800_000_000_000
    actions = vm_engine.feed(now_ms, message.PeerDatagram(SENDER, heartbeat))
    for _ in range(40):
        now_ms += engine.TICK_MS
        actions += vm_engine.feed(now_ms, message.Tick())
    for action in actions:
        if isinstance(action, message.SendPeer):
            assert 1 <= action.destination.port <= 65535
            assert packet.address(str(action.destination)) == action.destination
