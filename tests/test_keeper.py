"""The configuration in force at one VM."""

import typing

import pytest

from eelgrasswick import (
    config,
    message,
    wire,
)
from eelgrasswick.fleet import (
    keeper,
    member,
    peer,
)

NOW_MS = 1_800_000_000_000


class Kept:
    """One VM's keeper without a network around it."""

    def __init__(self, text: str) -> None:
        """Start with sequence 5 in force."""
        self.text = text
        self.outbox = message.Outbox()
        self.peers = peer.Peers(self.outbox)
        self.me = self.vm("me", 1)
        self.others = [self.vm(f"vm{n}", n) for n in range(2, 9)]
        self.peers.set_members([self.me, *self.others])
        self.keeper = keeper.ConfigSync("me", self.peers, self.outbox)
        self.keeper.offer(NOW_MS, self.value(5), "store")
        self.outbox.take()

    def vm(self, name: str, number: int) -> member.Member:
        """Return a serving VM of zone z1."""
        state = member.MemberState.ALIVE
        return member.Member(
            name, "z1", f"10.0.0.{number}", 6081, 6082, 1, NOW_MS, state
        )

    def value(self, sequence: int, author: str = "ann") -> bytes:
        """Return an encoded document."""
        plain = (sequence, f"{author}{sequence}", author, 1, self.text, "", ())
        return config.encode(config.Document(*plain))

    def taken(self, kind: type) -> list[typing.Any]:
        """Return the actions of one kind since the last call."""
        return [item for item in self.outbox.take() if isinstance(item, kind)]

    def refused(self) -> list[str]:
        """Return the kinds of refusals logged since the last call."""
        logs = self.taken(message.Log)
        fields = [dict(item.fields) for item in logs if item.name == "config_refused"]
        return [str(item["kind"]) for item in fields]


@pytest.fixture
def kept(rules_text: str) -> Kept:
    """A VM with sequence 5 in force."""
    return Kept(rules_text)


def test_older_document_is_refused_and_logged(kept: Kept) -> None:
    # A slow peer or a stale read brings an older document. In force, it would
    # undo an accepted change, a drain for instance.
    kept.keeper.offer(NOW_MS, kept.value(4), "vm2")
    assert kept.keeper.sequence == 5
    assert kept.refused() == ["config_stale"]


@pytest.mark.parametrize("value", [b"", b"garbage", b"e30=", b"eJwDAAAAAAE="])
def test_malformed_value_is_refused_and_replaced(kept: Kept, value: bytes) -> None:
    # Something else wrote under the rules key. The VMs serve on, and a watcher
    # puts the last good document back, so that new VMs get one.
    kept.keeper.store_read(NOW_MS, value)
    assert kept.keeper.sequence == 5
    repairs = kept.taken(message.RepairStore)
    assert [item.sequence for item in repairs] == [5]


def test_newer_document_with_faults_is_refused_and_left(kept: Kept) -> None:
    # Another version of the product wrote rules that this one can't read. It
    # must not overwrite them, or old and new VMs would undo each other.
    broken = config.Document(9, "x", "x", 1, "servce desk  # typo\n", "", ())
    kept.keeper.store_read(NOW_MS, config.encode(broken))
    assert kept.keeper.sequence == 5
    assert kept.taken(message.RepairStore) == []


def test_deleted_rules_are_put_back(kept: Kept) -> None:
    kept.keeper.store_read(NOW_MS, None)
    assert [item.sequence for item in kept.taken(message.RepairStore)] == [5]


def test_other_content_under_the_sequence_in_force_does_not_win(kept: Kept) -> None:
    # The store is restored to sequence 4, and before a watcher has repaired it
    # an operator's change is accepted as sequence 5 once more. The VMs would
    # refuse it for ever, new VMs would take it, and the fleet would be divided.
    kept.keeper.store_read(NOW_MS, kept.value(5, "ben"))
    assert kept.keeper.sequence == 5
    actions = kept.outbox.take()
    repairs = [item for item in actions if isinstance(item, message.RepairStore)]
    assert [item.sequence for item in repairs] == [6]
    repaired = config.decode(repairs[0].value)
    assert (repaired.sequence, repaired.author) == (6, "ann")
    kept.keeper.store_read(NOW_MS, repairs[0].value)
    assert kept.keeper.sequence == 6


def test_same_document_in_other_bytes_is_no_conflict(kept: Kept) -> None:
    again = config.encode(config.decode(kept.value(5)))
    kept.keeper.store_read(NOW_MS, again)
    assert kept.taken(message.RepairStore) == []


def test_another_vm_is_asked_when_the_first_does_not_send(kept: Kept) -> None:
    # The VM that announced the change dies before it sends it, or the link to
    # it is lost. Who hears of the change from another must ask that one.
    kept.keeper.request_if_newer(NOW_MS, "vm2", 6)
    kept.keeper.request_if_newer(NOW_MS + 100, "vm3", 6)
    kept.keeper.request_if_newer(NOW_MS + 300, "vm4", 6)
    asked = [item.receiver for item in kept.taken(message.SendLink)]
    assert asked == ["vm2", "vm4"]


def test_document_is_sent_only_to_who_lacks_it(kept: Kept) -> None:
    kept.keeper.send_if_newer("vm2", wire.ConfigRequest(5))
    kept.keeper.send_if_newer("vm3", wire.ConfigRequest(4))
    assert [item.receiver for item in kept.taken(message.SendLink)] == ["vm3"]


def watchers(kept: Kept, state: member.MemberState, since_ms: int) -> int:
    """Return how many of eight VMs in one state watch the store."""
    fleet = [
        item._replace(state=state)
        for item in (kept.me, *kept.others, kept.vm("vm9", 9))
    ]
    count = 0
    for me in fleet:
        own = keeper.ConfigSync(me.name, kept.peers, kept.outbox)
        own.tick(NOW_MS, me, [me], {})
        own.tick(NOW_MS + since_ms, me, fleet, {})
        count += own.watching
    return count


@pytest.mark.parametrize("state", list(member.SERVING) + [member.MemberState.JOINING])
def test_two_vms_of_a_zone_watch(kept: Kept, state: member.MemberState) -> None:
    # All VMs start at once after a loss of power. Did each one watch until one
    # serves, the platform would get as many calls as there are VMs.
    assert watchers(kept, state, keeper.PEER_DISCOVERY_MS) == keeper.WATCHERS_PER_ZONE


def test_starting_vm_waits_to_hear_of_others_before_it_watches(kept: Kept) -> None:
    own = keeper.ConfigSync("me", kept.peers, kept.outbox)
    joining = kept.me._replace(state=member.MemberState.JOINING)
    own.tick(NOW_MS, joining, [joining], {})
    assert not own.watching
    own.tick(NOW_MS + keeper.PEER_DISCOVERY_MS, joining, [joining], {})
    assert own.watching


def test_starting_vm_does_not_report_at_once(kept: Kept) -> None:
    # All VMs start at once, and each takes itself for the first of its zone.
    own = keeper.ConfigSync("me", kept.peers, kept.outbox)
    own.tick(NOW_MS, kept.me, [kept.me], {})
    own.offer(NOW_MS, kept.value(5), "store")
    own.tick(NOW_MS + 1000, kept.me, [kept.me], {})
    assert kept.taken(message.ReportInForce) == []
    own.offer(NOW_MS + 1000, kept.value(6), "store")
    own.tick(NOW_MS + 1000 + keeper.REPORT_AFTER_CHANGE_MS, kept.me, [kept.me], {})
    assert len(kept.taken(message.ReportInForce)) == 1
