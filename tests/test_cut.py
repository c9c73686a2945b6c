"""Network partitions between zones, while callers still reach all of them."""

import pytest

from tests import flow_steps, world


@pytest.fixture
def lossy() -> flow_steps.FlowBench:
    """Return a bench whose network drops and duplicates packets.

    Callers therefore retransmit SYNs.
    """
    return flow_steps.FlowBench(
        world.World(7, world.Network(loss_share=0.08, duplicate_share=0.02))
    )


def test_flow_opened_during_a_partition_keeps_one_target(
    lossy: flow_steps.FlowBench,
) -> None:
    """A reset by a second target must not end a flow that the first one serves.

    Each side of the partition confirms the other one dead and places flows on
    its own. A retransmitted SYN opens the flow at one target on either side, and
    the caller acknowledges the first SYN-ACK. The second target resets the
    caller's packets.
    """
    lossy.world.cut("z1", "z2", "z3")
    lossy.world.run(4000)
    for _ in range(80):
        lossy.world.call("desk", parts=30, every_ms=250)
        lossy.world.run(90)
    lossy.world.run(6000)
    lossy.world.heal()
    lossy.world.run(40_000)
    assert lossy.world.count_ends() == {"whole": 80}
    assert lossy.world.violations() == []


def test_flows_open_before_a_partition_survive_it(bench: flow_steps.FlowBench) -> None:
    """A VM must not reset a flow whose target is on the other side.

    Packets that reach a VM on the wrong side can't reach their target. The VM
    must drop them without an answer: a reset would end a flow that the other
    side still serves.
    """
    for _ in range(60):
        bench.world.call("desk", parts=80, every_ms=250)
        bench.world.run(20)
    bench.world.run(500)
    bench.world.cut("z1", "z2", "z3")
    bench.world.run(12_000)
    bench.world.heal()
    bench.world.run(30_000)
    assert bench.world.count_ends() == {"whole": 60}
    assert bench.world.violations() == []


def test_partitioned_zone_opens_flows_on_its_own_targets(
    bench: flow_steps.FlowBench,
) -> None:
    """A zone must detect that the targets of other zones are out of reach.

    The zone is cut off with three of seven targets. If it treated the silence
    of the other four as a fault of its own, it would go on sending them new
    flows, and more than half of its callers would wait for seconds until they
    retransmit their SYN.
    """
    bench.world.cut("z1", "z2", "z3")
    bench.world.cut("callers", "z2", "z3")
    bench.world.run(4000)
    for _ in range(40):
        bench.world.call("desk")
        bench.world.run(50)
    bench.world.run(20_000)
    assert bench.world.count_ends() == {"whole": 40}
    assert max(item.first_byte_ms for item in bench.world.histories()) < 1000
