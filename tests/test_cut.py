"""Zones that lose each other while callers still reach all of them."""

import pytest

from tests import flow_steps, world


@pytest.fixture
def lossy() -> flow_steps.Bench:
    """A bench whose network loses and doubles packets, so SYNs are repeated."""
    return flow_steps.Bench(world.World(7, world.Link(loss=0.08, double=0.02)))


def test_flow_opened_during_a_cut_keeps_one_target(lossy: flow_steps.Bench) -> None:
    # Each side of a cut takes the other for dead and places flows by itself.
    # A SYN that was repeated opens the flow at one target on either side; the
    # caller answers the first of them. If the second one resets the caller's
    # packets and the reset is passed on, the board that just opened is gone.
    lossy.world.cut("z1", "z2", "z3")
    lossy.world.run(4000)
    for _ in range(80):
        lossy.world.call("desk", parts=30, every_ms=250)
        lossy.world.run(90)
    lossy.world.run(6000)
    lossy.world.heal()
    lossy.world.run(40_000)
    assert lossy.world.ends() == {"whole": 80}
    assert lossy.world.breaches() == []


def test_flows_open_before_a_cut_survive_it(bench: flow_steps.Bench) -> None:
    # Packets that reach a VM on the wrong side can't go on to their target.
    # They must be lost and not answered: a reset would end a download that the
    # other side still serves.
    for _ in range(60):
        bench.world.call("desk", parts=80, every_ms=250)
        bench.world.run(20)
    bench.world.run(500)
    bench.world.cut("z1", "z2", "z3")
    bench.world.run(12_000)
    bench.world.heal()
    bench.world.run(30_000)
    assert bench.world.ends() == {"whole": 60}
    assert bench.world.breaches() == []


def test_small_side_of_a_cut_uses_its_own_targets(bench: flow_steps.Bench) -> None:
    # A zone is cut off with three of seven targets. If it takes the loss of the
    # other four for its own fault, it goes on sending them new flows, and more
    # than half of its callers wait for seconds until they repeat their SYN.
    bench.world.cut("z1", "z2", "z3")
    bench.world.cut("callers", "z2", "z3")
    bench.world.run(4000)
    for _ in range(40):
        bench.world.call("desk")
        bench.world.run(50)
    bench.world.run(20_000)
    assert bench.world.ends() == {"whole": 40}
    assert max(item.first_ms for item in bench.world.histories()) < 1000
