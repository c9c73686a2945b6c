"""One VM's view of the fleet, message by message, and what becomes of it."""

import random
import typing

import pytest

from eelgrasswick import (
    message,
    packet,
    wire,
)
from eelgrasswick.fleet import (
    member,
    membership,
    peer,
    unheard,
)
from tests import world

START_MS = world.START_MS
ALIVE = member.MemberState.ALIVE
SUSPECT = member.MemberState.SUSPECT
DEAD = member.MemberState.DEAD


def vm(
    name: str,
    number: int,
    state: member.MemberState = ALIVE,
    incarnation: int = START_MS,
) -> member.Member:
    """Return a VM of zone z1 whose address ends with a number."""
    ip = f"10.0.0.{number}"
    return member.Member(name, "z1", ip, 6081, 6082, 1, incarnation, state)


class Alone:
    """One VM's membership without a network around it."""

    def __init__(self, *others: member.Member) -> None:
        """Start as VM ``me`` that has heard of other VMs."""
        self.outbox = message.Outbox()
        me = vm("me", 99, member.MemberState.JOINING)
        peers = peer.Peers(self.outbox)
        self.view = membership.Membership(me, [], peers, self.outbox, random.Random(1))
        self.now_ms = START_MS
        for item in others:
            self.ping(item)

    def ping(self, sender: member.Member, *updates: member.Member) -> wire.Ack:
        """Let a VM ping this one; return the Ack."""
        self.outbox.take()
        item = wire.Ping(1, sender, 1, updates)
        self.view.receive_ping(self.now_ms, peer.address_of(sender), item)
        return typing.cast(wire.Ack, self.sent()[-1][1])

    def ack(self, number: int, sender: member.Member, sequence: int = 1) -> None:
        """Let a VM answer a ping of this one."""
        self.view.receive_ack(self.now_ms, wire.Ack(number, sender, sequence, ()))

    def run(self, ms: int, ready: bool = True) -> list[wire.Ping]:
        """Let time pass with a tick each 50 ms; return the pings sent."""
        self.outbox.take()
        for _ in range(ms // 50):
            self.now_ms += 50
            self.view.check_pause(self.now_ms)
            self.view.tick(self.now_ms, ready)
        return [item for _, item in self.sent() if isinstance(item, wire.Ping)]

    def sent(self) -> list[tuple[packet.Address, wire.PeerMessage]]:
        """Return the messages sent since the last call."""
        actions = self.outbox.take()
        return [
            (item.destination, wire.decode(item.payload))
            for item in actions
            if isinstance(item, message.SendPeer)
        ]

    def state(self, name: str) -> member.MemberState | None:
        """Return what this VM holds another one for."""
        known = self.view.others.get(name)
        return known.state if known is not None else None


@pytest.fixture
def alone() -> Alone:
    """A VM that knows two others."""
    return Alone(vm("a", 1), vm("b", 2))


def test_ack_tells_a_vm_that_it_is_taken_for_dead(alone: Alone) -> None:
    # A cut outlasts the time for which the news of a death is passed on. When
    # it heals, the VM speaks again and nobody tells it that it is held for
    # dead, so it never refutes that, and the two sides stay apart for good.
    alone.ping(vm("b", 2), vm("a", 1, DEAD))
    alone.run(30_000)
    ack = alone.ping(vm("a", 1))
    assert vm("a", 1, DEAD) in ack.updates


def test_ping_of_a_suspect_tells_it_of_the_suspicion() -> None:
    # Much other news is under way, as when a zone restarts. A suspect that
    # does not hear of the suspicion can't refute it and loses its homes.
    alone = Alone(vm("a", 1), vm("b", 2))
    alone.ping(vm("b", 2), vm("a", 1, SUSPECT))
    alone.ping(vm("b", 2), *(vm(f"c{n}", 10 + n) for n in range(40)))
    for _ in range(40):
        alone.ping(vm("b", 2))
    alone.outbox.take()
    alone.view.announce(50)
    told = dict(alone.sent())
    ping = told[peer.address_of(vm("a", 1))]
    assert isinstance(ping, wire.Ping)
    assert vm("a", 1, SUSPECT) in ping.updates


def test_ping_from_a_suspect_is_no_proof_of_the_way_there() -> None:
    # The network loses what goes one way only: a VM's pings arrive here, and
    # nothing sent to it gets there. Taken as alive it would stay the home of
    # flows, and their packets would vanish on the way to it.
    alone = Alone(vm("a", 1))
    alone.ping(vm("a", 1), vm("a", 1, SUSPECT))
    alone.ping(vm("a", 1))
    assert alone.state("a") is SUSPECT
    alone.ack(7, vm("a", 1))
    assert alone.state("a") is ALIVE


def test_answer_of_another_vm_under_the_address_is_no_proof() -> None:
    # A VM dies and another gets its address. It answers the pings meant for
    # the dead one, which would stay the home of flows that nobody holds.
    alone = Alone(vm("a", 1))
    for _ in range(100):
        for item in alone.run(50):
            alone.ack(item.number, vm("z", 1, incarnation=START_MS - 5))
    assert alone.state("a") is DEAD


def test_late_news_of_a_replaced_vm_does_not_revive_it() -> None:
    # A VM was replaced under its address before this VM started. Late news
    # still names the old one as alive; it would be the home of flows whose
    # packets reach the new VM, which does not know them.
    alone = Alone(vm("new", 1, incarnation=START_MS + 5000), vm("b", 2))
    alone.ping(vm("b", 2), vm("old", 1))
    assert alone.state("old") in (None, DEAD)
    alone.ping(vm("b", 2), vm("older", 99, incarnation=START_MS - 1))
    assert alone.state("older") in (None, DEAD)


def test_vm_restarted_with_an_earlier_clock_is_heard() -> None:
    # A VM restarts under its name, and its clock went back meanwhile. Its
    # incarnation is lower than the one the others hold, and they would never
    # take it in again.
    alone = Alone(vm("a", 1, DEAD), vm("a", 1))
    alone.ping(vm("b", 2), vm("a", 1, DEAD))
    alone.run(30_000)
    joining = vm("a", 1, member.MemberState.JOINING, START_MS - 60_000)
    ack = alone.ping(joining)
    assert any(item.name == "a" and item.state is DEAD for item in ack.updates)


def test_answers_from_before_a_pause_are_no_contact(alone: Alone) -> None:
    # A paused VM wakes on the far side of a cut. Answers to its old pings wait
    # in its socket; taken as contact, it would be a home again with a view and
    # a configuration from before the pause.
    alone.view.sequence = 1
    alone.run(1000)
    for number in range(1, 6):
        alone.ack(number, vm("a", 1))
    alone.run(50)
    assert alone.view.me.state is ALIVE
    alone.now_ms += 5000
    assert alone.view.check_pause(alone.now_ms)
    assert alone.view.me.state is member.MemberState.JOINING
    alone.ack(5, vm("a", 1))
    alone.run(50)
    assert alone.view.me.state is member.MemberState.JOINING
    for item in alone.run(200):
        alone.ack(item.number, vm("a", 1))
    alone.run(50)
    assert alone.view.me.state is ALIVE


def test_vm_in_contact_joins_only_with_the_newest_configuration() -> None:
    # A VM wakes with an old configuration while the links to it are slow.
    # Joined after a fixed time it would place flows on targets that the
    # operator has drained since.
    alone = Alone(vm("a", 1))
    alone.view.sequence = 1
    for _ in range(100):
        for item in alone.run(50):
            alone.ack(item.number, vm("a", 1), sequence=2)
    assert alone.view.me.state is member.MemberState.JOINING
    alone.view.sequence = 2
    alone.run(50)
    assert alone.view.me.state is ALIVE


def test_moved_vm_is_noticed_at_its_new_address() -> None:
    # A VM restarts under its name with another address, and this VM hears of
    # it only when it serves already. Sent to the old address, packets of the
    # flows it is the home of would be lost.
    alone = Alone(vm("a", 1))
    alone.view.changed = False
    alone.ping(vm("a", 7, incarnation=START_MS + 900))
    assert alone.view.changed


def test_gone_vms_are_forgotten_after_a_while() -> None:
    # VMs are replaced under new names all day long. Kept for ever, the dead
    # ones would fill the memory and take the pings for those that come back.
    alone = Alone(vm("a", 1))
    alone.ping(vm("a", 1), vm("b", 2), vm("b", 2, DEAD))
    for _ in range(unheard.GONE_RETENTION_MS // 60_000 + 2):
        alone.now_ms += 60_000
        alone.run(50)
    assert alone.state("b") is None


def test_leaving_vm_refutes_its_death_and_goes_on_leaving(alone: Alone) -> None:
    # The pings to a VM that is leaving are lost, and it is taken for dead. It
    # still passes packets on and answers for its former flows, so it must be
    # heard; it must not become a home again by that.
    alone.run(2000)
    alone.view.leave(alone.now_ms)
    before = alone.view.me
    alone.ping(vm("a", 1), before._replace(state=SUSPECT))
    assert alone.view.me == before
    alone.ping(vm("a", 1), before._replace(state=DEAD))
    assert alone.view.me.state is member.MemberState.LEAVING
    assert alone.view.me.incarnation > before.incarnation


def test_one_lost_probe_does_not_end_a_leaving_vm() -> None:
    leaving = vm("a", 1, member.MemberState.LEAVING)
    alone = Alone(leaving)
    alone.run(membership.SUSPICION_TIMEOUT_MS - 100)
    assert alone.state("a") is member.MemberState.LEAVING
    for item in alone.run(200):
        alone.ack(item.number, leaving)
    alone.run(350)
    assert alone.state("a") is member.MemberState.LEAVING
