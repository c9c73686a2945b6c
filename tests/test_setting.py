"""Settings files, and messages whose members are no VMs."""

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
STRANGER = packet.address("10.3.0.9:6081")


@pytest.fixture
def valid(tmp_path: typing.Any) -> str:
    made = fleet.Fleet(tmp_path, 1)
    return made.settings_text(made.entry_vms[0])


def test_settings_of_the_test_fleet_are_accepted(valid: str) -> None:
    assert setting.read(valid).vm.name == "vm1"


def test_every_fault_is_named_at_once(valid: str) -> None:
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
    with contextlib.suppress(errors.SettingsInvalidError):
        setting.read("".join(words))


words = strategies.text(max_size=5) | strategies.sampled_from(
    ["vm2", "z1", "10.3.0.9", "300.1.1.1", "1", "10.3.0.9\n"]
)
numbers = strategies.integers(-5, 70_000) | strategies.integers()
members = strategies.builds(
    member.Member,
    words,
    words,
    words,
    numbers,
    numbers,
    numbers,
    numbers,
    strategies.sampled_from(member.MemberState),
)


@given(strategies.lists(members, min_size=1, max_size=4), strategies.booleans())
def test_members_that_are_no_vms_do_not_stop_the_heartbeats(
    told: list[member.Member], answers: bool
) -> None:
    # A process of another version, or a faulty one, tells of a VM whose address
    # is none. Taken in, every later heartbeat would fail on it, and the others
    # would take this VM for dead.
    rng = random.Random(1)
    made = engine.Engine(ME, (), packet.FouCodec(), placement.BoundedHash(), rng)
    kind = wire.Ack if answers else wire.Ping
    heartbeat = wire.encode(kind(1, told[0], 0, tuple(told[1:])))
    now_ms = 1_800_000_000_000
    actions = made.feed(now_ms, message.PeerDatagram(STRANGER, heartbeat))
    for _ in range(40):
        now_ms += engine.TICK_MS
        actions += made.feed(now_ms, message.Tick())
    for action in actions:
        if isinstance(action, message.SendPeer):
            assert 1 <= action.destination.port <= 65535
            assert packet.address(str(action.destination)) == action.destination
