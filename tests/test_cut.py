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
        lossy.world.run(30)
    lossy.world.run(12_000)
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
