"""Owners taken over from an earlier epoch are those that ranking anew gives."""

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
FLOWS = [packet_path.flow(number, OWNER.address) for number in range(200)]


def vm(number: int, zone: str, size: int, incarnation: int) -> member.Member:
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


def places(current: epoch.Epoch) -> list[epoch.Location]:
    return [current.locate(key, OWNER) for key in FLOWS]


@hypothesis.given(strategies.lists(FLEETS, min_size=2, max_size=5))
def test_followed_epochs_agree_with_fresh_ones(
    fleets: list[list[member.Member]],
) -> None:
    # VMs come, go, change zone or size in any order. Had one VM other owners
    # than the rest, two VMs would take themselves for the home of one flow and
    # could start it on two targets.
    log = epoch.EpochLog(5000)
    for at_ms, fleet in enumerate(fleets):
        followed = epoch.Epoch(CONFIG, fleet)
        log.advance(at_ms, followed)
        assert places(followed) == places(epoch.Epoch(CONFIG, fleet))


def test_owners_that_stay_are_taken_over() -> None:
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(9)]
    before = epoch.Epoch(CONFIG, fleet)
    places(before)
    after = epoch.Epoch(CONFIG, fleet[1:])
    after.reuse_from(before)
    assert after.cached_slots > before.cached_slots / 2


def test_news_that_moves_no_home_is_taken_over_whole() -> None:
    # A suspicion comes and is refuted: only state and incarnation change.
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(9)]
    before = epoch.Epoch(CONFIG, fleet)
    places(before)
    after = epoch.Epoch(CONFIG, [item._replace(incarnation=2) for item in fleet])
    after.reuse_from(before)
    assert after.cached_slots == before.cached_slots


def test_new_rules_give_new_candidates() -> None:
    # A target is drained. Taken over from the epoch before, the candidates
    # would go on sending it new flows.
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(3)]
    log = epoch.EpochLog(5000)
    log.advance(0, epoch.Epoch(CONFIG, fleet))
    before = places(epoch.Epoch(CONFIG, fleet))
    drained = before[0].default
    assert drained is not None
    text = f"{CONFIG.document.text}drain {drained.name}  # asked by a test\n"
    changed = config.Config(virtual_fleet.document(2, text))
    after = epoch.Epoch(changed, fleet)
    log.advance(1, after)
    assert drained.name not in {
        place.default.name for place in places(after) if place.default is not None
    }


def test_same_rules_keep_their_candidates() -> None:
    fleet = [vm(number, ZONES[number % 3], 1, 1) for number in range(3)]
    before = epoch.Epoch(CONFIG, fleet)
    places(before)
    after = epoch.Epoch(CONFIG, fleet[1:])
    after.reuse_from(before)
    assert places(after) == places(epoch.Epoch(CONFIG, fleet[1:]))
