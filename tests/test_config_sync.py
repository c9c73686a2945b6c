"""Acceptance, repair and dissemination of the configuration at one VM."""

import typing

import pytest

from eelgrasswick import (
    config,
    message,
    wire,
)
from eelgrasswick.fleet import (
    config_sync,
    member,
    peer,
)

NOW_MS = 1_800_000_000_000


class LocalConfig:
    """One VM's ``ConfigSync`` without a network around it."""

    def __init__(self, text: str) -> None:
        """Create a VM that has sequence 5 in force."""
        self.text = text
        self.outbox = message.Outbox()
        self.peers = peer.Peers(self.outbox)
        self.me = self.vm("me", 1)
        self.others = [self.vm(f"vm{n}", n) for n in range(2, 9)]
        self.peers.set_members([self.me, *self.others])
        self.config_sync = config_sync.ConfigSync("me", self.peers, self.outbox)
        self.config_sync.offer(NOW_MS, self.value(5), "store")
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
        """Return the kinds of the refusals logged since the last call."""
        logs = self.taken(message.Log)
        fields = [dict(item.fields) for item in logs if item.name == "config_refused"]
        return [str(item["kind"]) for item in fields]


@pytest.fixture
def local(rules_text: str) -> LocalConfig:
    """A VM with sequence 5 in force."""
    return LocalConfig(rules_text)


def test_older_document_is_refused_and_logged(local: LocalConfig) -> None:
    # A slow peer or a stale read delivers an older document. If it were put in
    # force, it would undo an accepted change, for example a drain.
    local.config_sync.offer(NOW_MS, local.value(4), "vm2")
    assert local.config_sync.sequence == 5
    assert local.refused() == ["config_stale"]


@pytest.mark.parametrize("value", [b"", b"garbage", b"e30=", b"eJwDAAAAAAE="])
def test_malformed_value_is_refused_and_repaired(
    local: LocalConfig, value: bytes
) -> None:
    # Another program writes to the rules key. The VMs must continue to serve, and
    # a watching VM must write the last valid document back, so that new VMs get it.
    local.config_sync.store_read(NOW_MS, value)
    assert local.config_sync.sequence == 5
    repairs = local.taken(message.RepairStore)
    assert [item.sequence for item in repairs] == [5]


def test_newer_document_with_faults_is_refused_but_not_overwritten(
    local: LocalConfig,
) -> None:
    # Another version of the product writes rules that this one can't read. This
    # version must not overwrite them, or old and new VMs would undo each other's
    # writes.
    broken = config.Document(9, "x", "x", 1, "servce desk  # typo\n", "", ())
    local.config_sync.store_read(NOW_MS, config.encode(broken))
    assert local.config_sync.sequence == 5
    assert local.taken(message.RepairStore) == []


def test_deleted_rules_are_written_back(local: LocalConfig) -> None:
    local.config_sync.store_read(NOW_MS, None)
    assert [item.sequence for item in local.taken(message.RepairStore)] == [5]


def test_other_document_with_the_sequence_in_force_is_overridden(
    local: LocalConfig,
) -> None:
    # The store is restored to sequence 4, and before a watching VM has repaired it
    # an operator's change is accepted as a second sequence 5. Running VMs would
    # refuse it for ever, new VMs would accept it, and the fleet would be divided.
    local.config_sync.store_read(NOW_MS, local.value(5, "ben"))
    assert local.config_sync.sequence == 5
    actions = local.outbox.take()
    repairs = [item for item in actions if isinstance(item, message.RepairStore)]
    assert [item.sequence for item in repairs] == [6]
    repaired = config.decode(repairs[0].value)
    assert (repaired.sequence, repaired.author) == (6, "ann")
    local.config_sync.store_read(NOW_MS, repairs[0].value)
    assert local.config_sync.sequence == 6


def test_same_document_in_another_encoding_is_not_repaired(local: LocalConfig) -> None:
    again = config.encode(config.decode(local.value(5)))
    local.config_sync.store_read(NOW_MS, again)
    assert local.taken(message.RepairStore) == []


def test_document_is_requested_from_another_vm_when_the_first_is_silent(
    local: LocalConfig,
) -> None:
    # The VM that announced a change dies before it sends the document, or the link
    # to it is lost. A VM must then request it from the next VM that announces it.
    local.config_sync.request_if_newer(NOW_MS, "vm2", 6)
    local.config_sync.request_if_newer(NOW_MS + 100, "vm3", 6)
    local.config_sync.request_if_newer(NOW_MS + 300, "vm4", 6)
    asked = [item.receiver for item in local.taken(message.SendLink)]
    assert asked == ["vm2", "vm4"]


def test_document_is_sent_only_to_a_vm_with_an_older_one(local: LocalConfig) -> None:
    local.config_sync.send_if_newer("vm2", wire.ConfigRequest(5))
    local.config_sync.send_if_newer("vm3", wire.ConfigRequest(4))
    assert [item.receiver for item in local.taken(message.SendLink)] == ["vm3"]


def watchers(local: LocalConfig, state: member.MemberState, since_ms: int) -> int:
    """Return how many of eight VMs in one state watch the store."""
    fleet = [
        item._replace(state=state)
        for item in (local.me, *local.others, local.vm("vm9", 9))
    ]
    count = 0
    for me in fleet:
        own = config_sync.ConfigSync(me.name, local.peers, local.outbox)
        own.tick(NOW_MS, me, [me], {})
        own.tick(NOW_MS + since_ms, me, fleet, {})
        count += own.watching
    return count


@pytest.mark.parametrize("state", list(member.SERVING) + [member.MemberState.JOINING])
def test_exactly_two_vms_of_a_zone_watch(
    local: LocalConfig, state: member.MemberState
) -> None:
    # All VMs start at the same time after a power failure. If each one watched
    # until one serves, the platform would get as many calls as there are VMs.
    assert (
        watchers(local, state, config_sync.PEER_DISCOVERY_MS)
        == config_sync.WATCHERS_PER_ZONE
    )


def test_starting_vm_watches_only_after_the_peer_discovery_time(
    local: LocalConfig,
) -> None:
    own = config_sync.ConfigSync("me", local.peers, local.outbox)
    joining = local.me._replace(state=member.MemberState.JOINING)
    own.tick(NOW_MS, joining, [joining], {})
    assert not own.watching
    own.tick(NOW_MS + config_sync.PEER_DISCOVERY_MS, joining, [joining], {})
    assert own.watching


def test_starting_vm_does_not_report_its_first_configuration_at_once(
    local: LocalConfig,
) -> None:
    # All VMs start at the same time, and each has only itself as a member of its
    # zone. If each reported at once, the platform would get a call from every VM.
    own = config_sync.ConfigSync("me", local.peers, local.outbox)
    own.tick(NOW_MS, local.me, [local.me], {})
    own.offer(NOW_MS, local.value(5), "store")
    own.tick(NOW_MS + 1000, local.me, [local.me], {})
    assert local.taken(message.ReportInForce) == []
    own.offer(NOW_MS + 1000, local.value(6), "store")
    own.tick(
        NOW_MS + 1000 + config_sync.REPORT_AFTER_CHANGE_MS, local.me, [local.me], {}
    )
    assert len(local.taken(message.ReportInForce)) == 1
