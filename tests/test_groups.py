"""Tests of the division of targets into groups and of the choice of schedulers."""

import collections
import random
import typing

import hypothesis
from hypothesis import strategies

from eelgrasswick.cookie import model
from eelgrasswick.reservations import groups

HOSTS: typing.Final = tuple(
    f"10.0.{number // 250}.{number % 250}" for number in range(300)
)


def make_target(number: int, zone: str) -> model.Target:
    """Return a target of the service `web`."""
    address = model.Address("10.9.0.1", number + 1)
    return model.Target(f"web-{number}", 1, b"t", "web", address, zone, 2, False, 0)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(["z1", "z2", "z3"]), max_size=80),
    strategies.randoms(use_true_random=False),
)
def test_groups_are_even_and_independent_of_the_order(
    zones: list[str], rng: random.Random
) -> None:
    """Guards against VMs with different groups, and against groups of few targets."""
    targets = [make_target(number, zone) for number, zone in enumerate(zones)]
    made = groups.groups("web", targets)
    rng.shuffle(targets)
    assert groups.groups("web", targets) == made
    grouped = [target for group in made for target in group.targets]
    assert sorted(grouped) == sorted(targets)
    for zone, count in collections.Counter(zones).items():
        of_zone = [group for group in made if group.zone == zone]
        sizes = [len(group.targets) for group in of_zone]
        assert len(sizes) == -(-count // 8)
        assert max(sizes) <= 8
        assert max(sizes) - min(sizes) <= 1
        cookies = [item.cookie for group in of_zone for item in group.targets]
        assert cookies == sorted(cookies)
        keys = [group.key for group in of_zone]
        assert keys == [f"web/{zone}/{index}" for index in range(len(of_zone))]


def test_the_scheduler_is_independent_of_the_order_of_hosts() -> None:
    """Guards against VMs that ask different schedulers for one group."""
    hosts = list(HOSTS)
    expected = groups.scheduler_host("web/z1/0", hosts)
    random.Random(3).shuffle(hosts)
    assert groups.scheduler_host("web/z1/0", hosts) == expected
    assert groups.scheduler_host("web/z1/0", []) is None


def test_a_removed_host_moves_only_its_own_groups_to_the_next_host() -> None:
    """Guards against a change of membership that moves most schedulers."""
    keys = [f"web/z1/{index}" for index in range(400)]
    for key in keys:
        first, second = groups.ranked_hosts(key, HOSTS, 2)
        assert groups.scheduler_host(key, HOSTS) == first
        remaining = [host for host in HOSTS if host != first]
        assert groups.scheduler_host(key, remaining) == second
        others = [host for host in HOSTS if host != HOSTS[0]]
        if first != HOSTS[0]:
            assert groups.scheduler_host(key, others) == first


def test_schedulers_are_spread_over_the_hosts() -> None:
    """Guards against a VM that is the scheduler of many groups."""
    counts = collections.Counter(
        groups.scheduler_host(f"web/z1/{index}", HOSTS[:20]) for index in range(2000)
    )
    assert len(counts) == 20
    assert max(counts.values()) < 150
    assert min(counts.values()) > 60
