"""Homes and backups reused from an earlier epoch equal those of a new ranking."""

import hypothesis
from hypothesis import strategies

from eelgrasswick import config
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.fleet import member
from eelgrasswick.homes import epoch
from eelgrasswick.trials import packet_path

ZONES = ("z1", "z2", "z3")
CONFIG = config.Config(virtual_fleet.document(1, virtual_fleet.rules_text(1, 6, ZONES)))
OWNER = CONFIG.services["s0"]
FLOWS = [packet_path.flow_key(number, OWNER.address) for number in range(200)]


def vm(number: int, zone: str, size: int, incarnation: int) -> member.Member:
    """Return a serving VM."""
    state = member.MemberState.ALIVE
    ip = f"10.0.0.{number + 1}"
    return member.Member(f"vm{number}", zone, ip, 1, 2, size, incarnation, state)


FLEETS = strategies.lists(
    strategies.builds(
        vm,
        strategies.integers(0, 11),
        strategies.sampled_from(ZONES),
        strategies.integers(1, 2),
        strategies.integers(1, 2),
    ),
    max_size=12,
    unique_by=lambda item: item.name,
)


def locations(current: epoch.Epoch) -> list[epoch.Location]:
    """Return the locations of all flows in an epoch."""
    return [current.locate(key, OWNER) for key in FLOWS]


@hypothesis.given(strategies.lists(FLEETS, min_size=2, max_size=5))
def test_reused_locations_equal_newly_ranked_ones(
    fleets: list[list[member.Member]],
) -> None:
    """VMs with different caches must not compute different homes for a flow.

    VMs join, leave, or change zone or size in any order. If one VM had another
    home for a flow than the rest, two VMs would both act as its home and could
    start it on two targets.
    """
    log = epoch.EpochLog(5000)
    for at_ms, fleet in enumerate(fleets):
        reusing = epoch.Epoch(CONFIG, fleet)
        log.advance(at_ms, reusing)
        assert locations(reusing) == locations(epoch.Epoch(CONFIG, fleet))


def test_departure_of_one_vm_keeps_most_cached_slots() -> None:
    """A change of one VM must not cause a new ranking of all slots."""
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(9)]
    before = epoch.Epoch(CONFIG, fleet)
    locations(before)
    after = epoch.Epoch(CONFIG, fleet[1:])
    after.reuse_from(before)
    assert after.cached_slots > before.cached_slots / 2


def test_new_incarnations_keep_all_cached_slots() -> None:
    """A refuted suspicion must not cause a new ranking.

    Such an update changes only the state and incarnation of a member.
    """
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(9)]
    before = epoch.Epoch(CONFIG, fleet)
    locations(before)
    after = epoch.Epoch(CONFIG, [item._replace(incarnation=2) for item in fleet])
    after.reuse_from(before)
    assert after.cached_slots == before.cached_slots


def test_new_rules_give_new_candidates() -> None:
    """A drained target must not stay among candidates of an earlier epoch.

    Candidates that were reused across the change would send it new flows.
    """
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(3)]
    log = epoch.EpochLog(5000)
    log.advance(0, epoch.Epoch(CONFIG, fleet))
    before = locations(epoch.Epoch(CONFIG, fleet))
    drained = before[0].default
    assert drained is not None
    text = f"{CONFIG.document.text}drain {drained.name}  # asked by a test\n"
    changed = config.Config(virtual_fleet.document(2, text))
    after = epoch.Epoch(changed, fleet)
    log.advance(1, after)
    assert drained.name not in {
        place.default.name for place in locations(after) if place.default is not None
    }


def test_same_rules_keep_their_candidates() -> None:
    """Candidates that are reused under the same rules must give the same results."""
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(3)]
    before = epoch.Epoch(CONFIG, fleet)
    locations(before)
    after = epoch.Epoch(CONFIG, fleet[1:])
    after.reuse_from(before)
    assert locations(after) == locations(epoch.Epoch(CONFIG, fleet[1:]))
