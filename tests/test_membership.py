"""One VM's membership records after given sequences of messages."""

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
    reconnect,
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


class LocalMember:
    """One VM's ``Membership`` without a network around it."""

    def __init__(self, *others: member.Member) -> None:
        """Create the membership of VM ``me``, which other VMs have pinged."""
        self.outbox = message.Outbox()
        me = vm("me", 99, member.MemberState.JOINING)
        peers = peer.Peers(self.outbox)
        self.membership = membership.Membership(
            me, [], peers, self.outbox, random.Random(1)
        )
        self.now_ms = START_MS
        for item in others:
            self.ping(item)

    def ping(self, sender: member.Member, *updates: member.Member) -> wire.Ack:
        """Deliver a ping of another VM; return the Ack."""
        self.outbox.take()
        item = wire.Ping(1, sender, 1, updates)
        self.membership.receive_ping(self.now_ms, peer.address_of(sender), item)
        return typing.cast(wire.Ack, self.sent()[-1][1])

    def ack(self, number: int, sender: member.Member, sequence: int = 1) -> None:
        """Deliver an Ack of another VM."""
        self.membership.receive_ack(self.now_ms, wire.Ack(number, sender, sequence, ()))

    def run(self, ms: int, ready: bool = True) -> list[wire.Ping]:
        """Advance time with a tick each 50 ms; return the pings sent."""
        self.outbox.take()
        for _ in range(ms // 50):
            self.now_ms += 50
            self.membership.check_pause(self.now_ms)
            self.membership.tick(self.now_ms, ready)
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
        """Return the state that this VM has recorded for another one."""
        known = self.membership.others.get(name)
        return known.state if known is not None else None


@pytest.fixture
def local() -> LocalMember:
    """A VM that has records of two others."""
    return LocalMember(vm("a", 1), vm("b", 2))


def test_ack_to_a_vm_marked_dead_carries_that_update(local: LocalMember) -> None:
    # A partition outlasts the time for which the update about a death is
    # disseminated. After it heals, the VM would not receive that it is marked as
    # dead, would never refute it, and the two sides would stay separated.
    local.ping(vm("b", 2), vm("a", 1, DEAD))
    local.run(30_000)
    ack = local.ping(vm("a", 1))
    assert vm("a", 1, DEAD) in ack.updates


def test_ping_to_a_suspect_carries_the_suspicion() -> None:
    # Many other updates are queued, as when a zone restarts. A suspect that does
    # not receive the suspicion can't refute it and loses its homes.
    local = LocalMember(vm("a", 1), vm("b", 2))
    local.ping(vm("b", 2), vm("a", 1, SUSPECT))
    local.ping(vm("b", 2), *(vm(f"c{n}", 10 + n) for n in range(40)))
    for _ in range(40):
        local.ping(vm("b", 2))
    local.outbox.take()
    local.membership.announce(50)
    sent = dict(local.sent())
    ping = sent[peer.address_of(vm("a", 1))]
    assert isinstance(ping, wire.Ping)
    assert vm("a", 1, SUSPECT) in ping.updates


def test_ping_from_a_suspect_does_not_clear_the_suspicion_but_an_ack_does() -> None:
    # The network loses packets in one direction only: a VM's pings arrive, but
    # nothing sent to it does. If its pings cleared the suspicion, it would stay
    # the home of flows whose packets are lost on the way to it.
    local = LocalMember(vm("a", 1))
    local.ping(vm("a", 1), vm("a", 1, SUSPECT))
    local.ping(vm("a", 1))
    assert local.state("a") is SUSPECT
    local.ack(7, vm("a", 1))
    assert local.state("a") is ALIVE


def test_ack_of_another_vm_at_the_same_address_does_not_keep_a_vm_alive() -> None:
    # A VM dies and another one gets its address and acknowledges the pings that
    # are meant for the dead VM. If those Acks counted, the dead VM would stay the
    # home of flows that no VM has a record of.
    local = LocalMember(vm("a", 1))
    for _ in range(100):
        for item in local.run(50):
            local.ack(item.number, vm("z", 1, incarnation=START_MS - 5))
    assert local.state("a") is DEAD


def test_late_update_about_a_replaced_vm_does_not_revive_it() -> None:
    # A VM is replaced by another one with the same address before this VM starts.
    # If a late update marked the old VM as alive, it would be the home of flows
    # whose packets reach the new VM, which has no record of them.
    local = LocalMember(vm("new", 1, incarnation=START_MS + 5000), vm("b", 2))
    local.ping(vm("b", 2), vm("old", 1))
    assert local.state("old") in (None, DEAD)
    local.ping(vm("b", 2), vm("older", 99, incarnation=START_MS - 1))
    assert local.state("older") in (None, DEAD)


def test_vm_restarted_with_an_earlier_clock_receives_its_recorded_death() -> None:
    # A VM restarts with the same name after its clock was set back. Its
    # incarnation is lower than the recorded one, so the others ignore it. Without
    # the recorded state in an Ack, it could never refute that and join again.
    local = LocalMember(vm("a", 1, DEAD), vm("a", 1))
    local.ping(vm("b", 2), vm("a", 1, DEAD))
    local.run(30_000)
    joining = vm("a", 1, member.MemberState.JOINING, START_MS - 60_000)
    ack = local.ping(joining)
    assert any(item.name == "a" and item.state is DEAD for item in ack.updates)


def test_acks_from_before_a_pause_do_not_let_a_vm_join(local: LocalMember) -> None:
    # A paused VM resumes while it is partitioned from the others. If the Acks to
    # its old pings, which wait in its socket, counted as contact, it would be a
    # home again with members and a configuration from before the pause.
    local.membership.sequence = 1
    local.run(1000)
    for number in range(1, 6):
        local.ack(number, vm("a", 1))
    local.run(50)
    assert local.membership.me.state is ALIVE
    local.now_ms += 5000
    assert local.membership.check_pause(local.now_ms)
    assert local.membership.me.state is member.MemberState.JOINING
    local.ack(5, vm("a", 1))
    local.run(50)
    assert local.membership.me.state is member.MemberState.JOINING
    for item in local.run(200):
        local.ack(item.number, vm("a", 1))
    local.run(50)
    assert local.membership.me.state is ALIVE


def test_vm_in_contact_joins_only_with_the_newest_configuration() -> None:
    # A VM resumes with an old configuration while the links to it are slow. If it
    # joined after a fixed time, it would place flows on targets that the operator
    # has drained since.
    local = LocalMember(vm("a", 1))
    local.membership.sequence = 1
    for _ in range(100):
        for item in local.run(50):
            local.ack(item.number, vm("a", 1), sequence=2)
    assert local.membership.me.state is member.MemberState.JOINING
    local.membership.sequence = 2
    local.run(50)
    assert local.membership.me.state is ALIVE


def test_vm_with_a_new_address_marks_the_membership_changed() -> None:
    # A VM restarts with the same name and another address, and this VM receives
    # the update only when the other one serves already. Packets that are forwarded
    # to the old address of the home would be lost.
    local = LocalMember(vm("a", 1))
    local.membership.changed = False
    local.ping(vm("a", 7, incarnation=START_MS + 900))
    assert local.membership.changed


def test_gone_vms_are_removed_after_the_retention_time() -> None:
    # VMs are replaced under new names all day long. If dead VMs were kept for ever,
    # they would fill the memory and use up the pings meant for VMs that come back.
    local = LocalMember(vm("a", 1))
    local.ping(vm("a", 1), vm("b", 2), vm("b", 2, DEAD))
    for _ in range(reconnect.GONE_RETENTION_MS // 60_000 + 2):
        local.now_ms += 60_000
        local.run(50)
    assert local.state("b") is None


def test_leaving_vm_refutes_its_death_and_continues_to_leave(
    local: LocalMember,
) -> None:
    # The pings to a leaving VM are lost, and it is marked as dead. It still forwards
    # packets and responds to requests about its former flows, so it must refute
    # its death, but the refutation must not make it a home again.
    local.run(2000)
    local.membership.leave(local.now_ms)
    before = local.membership.me
    local.ping(vm("a", 1), before._replace(state=SUSPECT))
    assert local.membership.me == before
    local.ping(vm("a", 1), before._replace(state=DEAD))
    assert local.membership.me.state is member.MemberState.LEAVING
    assert local.membership.me.incarnation > before.incarnation


def test_one_lost_ping_does_not_mark_a_leaving_vm_dead() -> None:
    leaving = vm("a", 1, member.MemberState.LEAVING)
    local = LocalMember(leaving)
    local.run(membership.SUSPICION_TIMEOUT_MS - 100)
    assert local.state("a") is member.MemberState.LEAVING
    for item in local.run(200):
        local.ack(item.number, leaving)
    local.run(350)
    assert local.state("a") is member.MemberState.LEAVING
