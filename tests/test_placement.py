"""Where new flows go, without a network."""

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


def load(
    name: str, recent: float = 0, strength: float = 1, usable: bool = True
) -> placement.TargetLoad:
    item = make_target(name, strength)
    return placement.TargetLoad(item, 0, 0, recent, strength, usable)


def test_flow_stays_on_its_default_while_work_is_even() -> None:
    ranked = [load("a", 10), load("b", 10), load("c", 10)]
    chosen = placement.BoundedHash().choose(ranked, shift.MIN_LOAD_FACTOR)
    assert chosen is not None and chosen.name == "a"


def test_target_that_lately_got_more_than_its_share_is_passed_over() -> None:
    # Few flows are open at any moment, and chance has given one target a third
    # more than its share. Its callers would wait while others idle.
    ranked = [load("a", 14), load("b", 11), load("c", 6)]
    chosen = placement.BoundedHash().choose(ranked, shift.MIN_LOAD_FACTOR)
    assert chosen is not None and chosen.name == "c"


def test_no_budget_means_no_exception() -> None:
    # With the budget used up, exceptions would crowd out other control traffic.
    ranked = [load("a", 100), load("b", 0)]
    budget = shift.ExceptionBudget(per_s=1)
    for _ in range(20):
        budget.spend(0)
    chosen = placement.BoundedHash().choose(ranked, budget.factor(0))
    assert chosen is not None and chosen.name == "a"


def test_budget_refills() -> None:
    budget = shift.ExceptionBudget(per_s=1)
    for _ in range(20):
        budget.spend(0)
    assert budget.factor(60_000) == shift.MIN_LOAD_FACTOR


def test_unusable_target_gets_nothing() -> None:
    ranked = [load("a", usable=False), load("b", 50)]
    chosen = placement.BoundedHash().choose(ranked, shift.MIN_LOAD_FACTOR)
    assert chosen is not None and chosen.name == "b"
    assert placement.BoundedHash().choose([load("a", usable=False)], 1.0) is None


@hypothesis.settings(max_examples=25)
@hypothesis.given(
    weights=strategies.lists(strategies.integers(1, 8), min_size=2, max_size=8),
    order=strategies.randoms(use_true_random=False),
)
def test_work_follows_strength_whatever_the_hash_order(
    weights: list[int], order: object
) -> None:
    counts: collections.Counter[str] = collections.Counter()
    policy = placement.BoundedHash()
    for _ in range(20 * sum(weights)):
        ranked = [load(str(i), counts[str(i)], w) for i, w in enumerate(weights)]
        order.shuffle(ranked)  # type: ignore[attr-defined]
        chosen = policy.choose(ranked, shift.MIN_LOAD_FACTOR)
        assert chosen is not None
        counts[chosen.name] += 1
    for index, weight in enumerate(weights):
        assert counts[str(index)] <= 20 * weight * shift.MIN_LOAD_FACTOR + 1


def test_recent_work_fades_and_young_flows_grow_old() -> None:
    book = work.WorkBook()
    book.begin(0, b"one", "a")
    book.begin(1000, b"two", "a")
    assert book.busy("a") == 2
    assert book.tick(work.YOUNG_MS) == ["a"]
    assert book.busy("a") == 1
    assert book.recent(work.FADE_MS, "a") < 1
    assert book.recent_tenths(20 * work.FADE_MS) == {}


def test_move_takes_the_work_along() -> None:
    book = work.WorkBook()
    book.begin(0, b"one", "a")
    book.move(0, b"one", "b")
    assert (book.busy("a"), book.busy("b")) == (0, 1)
    assert (book.recent(0, "a"), book.recent(0, "b")) == (0, 1)
