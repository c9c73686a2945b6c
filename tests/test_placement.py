"""Tests of placement policies, without a network."""

import collections

import hypothesis
from hypothesis import strategies

from eelgrasswick import (
    packet,
    target,
)
from eelgrasswick.decisions import (
    placement,
    shift,
)
from eelgrasswick.emulation import work


def make_target(name: str, weight: float = 1.0, zone: str = "z1") -> target.Target:
    endpoint = packet.Address(bytes((10, 2, 0, 1)), 5555)
    return target.Target(name, "desk", endpoint, zone, 2, 2000, weight, False, False)


def target_load(
    name: str, recent: float = 0, strength: float = 1, usable: bool = True
) -> placement.TargetLoad:
    item = make_target(name, strength)
    return placement.TargetLoad(item, 0, 0, recent, strength, usable)


def test_flow_goes_to_its_default_while_work_is_even() -> None:
    """Guards against exceptions, which cost messages, without a need."""
    ranked = [target_load("a", 10), target_load("b", 10), target_load("c", 10)]
    chosen = placement.BoundedHash().choose(ranked, shift.MIN_LOAD_FACTOR)
    assert chosen is not None and chosen.name == "a"


def test_target_with_more_recent_flows_than_its_share_is_passed_over() -> None:
    """Guards against callers who wait at one target while others are idle.

    Few flows are open at any moment, and by chance one target has got a third more than
    its share.
    """
    ranked = [target_load("a", 14), target_load("b", 11), target_load("c", 6)]
    chosen = placement.BoundedHash().choose(ranked, shift.MIN_LOAD_FACTOR)
    assert chosen is not None and chosen.name == "c"


def test_empty_budget_allows_no_exception() -> None:
    """Guards against exceptions that crowd out other control traffic."""
    ranked = [target_load("a", 100), target_load("b", 0)]
    budget = shift.ExceptionBudget(per_s=1)
    for _ in range(20):
        budget.spend(0)
    chosen = placement.BoundedHash().choose(ranked, budget.factor(0))
    assert chosen is not None and chosen.name == "a"


def test_budget_refills_with_time() -> None:
    """Guards against hashing alone forever after one burst of exceptions."""
    budget = shift.ExceptionBudget(per_s=1)
    for _ in range(20):
        budget.spend(0)
    assert budget.factor(60_000) == shift.MIN_LOAD_FACTOR


def test_unusable_target_gets_no_flow() -> None:
    """Guards against flows to targets that are suspected, full or out of reach."""
    ranked = [target_load("a", usable=False), target_load("b", 50)]
    chosen = placement.BoundedHash().choose(ranked, shift.MIN_LOAD_FACTOR)
    assert chosen is not None and chosen.name == "b"
    assert placement.BoundedHash().choose([target_load("a", usable=False)], 1.0) is None


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    weights=strategies.lists(strategies.integers(1, 8), min_size=2, max_size=8),
    order=strategies.randoms(use_true_random=False),
)
def test_flows_follow_strength_in_any_hash_order(
    weights: list[int], order: object
) -> None:
    """Guards against a strong target that gets too few flows for its hash positions."""
    counts: collections.Counter[str] = collections.Counter()
    policy = placement.BoundedHash()
    for _ in range(20 * sum(weights)):
        ranked = [target_load(str(i), counts[str(i)], w) for i, w in enumerate(weights)]
        order.shuffle(ranked)  # type: ignore[attr-defined]
        chosen = policy.choose(ranked, shift.MIN_LOAD_FACTOR)
        assert chosen is not None
        counts[chosen.name] += 1
    for index, weight in enumerate(weights):
        assert counts[str(index)] <= 20 * weight * shift.MIN_LOAD_FACTOR + 1


def test_recent_work_decays_and_young_flows_age() -> None:
    """Guards against starts of long ago that still count as recent work."""
    recent_work = work.RecentFlowTracker()
    recent_work.begin(0, b"one", "a")
    recent_work.begin(1000, b"two", "a")
    assert recent_work.young_flows("a") == 2
    assert recent_work.tick(work.YOUNG_MS) == ["a"]
    assert recent_work.young_flows("a") == 1
    assert recent_work.recent_flows(work.DECAY_MS, "a") < 1
    assert recent_work.recent_flow_tenths(20 * work.DECAY_MS) == {}


def test_moved_flow_counts_on_its_new_target() -> None:
    """Guards against work that is counted on a target that shed the flow."""
    recent_work = work.RecentFlowTracker()
    recent_work.begin(0, b"one", "a")
    recent_work.move(0, b"one", "b")
    assert (recent_work.young_flows("a"), recent_work.young_flows("b")) == (0, 1)
    assert (recent_work.recent_flows(0, "a"), recent_work.recent_flows(0, "b")) == (
        0,
        1,
    )
