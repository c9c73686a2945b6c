"""UDP requests that callers retransmit while the VMs' views differ."""

import pytest

from tests import flow_steps, world

# A flow whose default target becomes one of these changes zone, so that its home
# moves too.
ELSEWHERE = flow_steps.ADDED_TARGETS.replace("zone=z2", "zone=z3")
LOSSY = world.Network(loss_share=0.25, duplicate_share=0.05)


@pytest.fixture
def lossy() -> flow_steps.FlowBench:
    """Return a bench whose network makes callers retransmit many datagrams."""
    return flow_steps.FlowBench(world.World(1, LOSSY))


def _ask(bench: flow_steps.FlowBench, count: int) -> None:
    for _ in range(count):
        bench.world.call("ratio")
        bench.world.run(10)


def test_datagram_repeated_on_both_sides_of_a_partition_runs_once(
    lossy: flow_steps.FlowBench,
) -> None:
    """A request must not run again on the other side of a partition.

    A retransmitted datagram reaches VMs on both sides. The side that can't
    reach the target of the first copy must not choose another target.
    """
    lossy.world.cut("z1", "z2", "z3", "platform")
    _ask(lossy, 600)
    lossy.world.heal()
    lossy.world.run(30_000)
    assert lossy.world.violations() == []
    assert set(lossy.world.executed().values()) == {1}


def test_datagram_repeated_to_a_vm_with_old_rules_runs_once(
    lossy: flow_steps.FlowBench,
) -> None:
    """A VM with old rules must not run a request again on another target.

    One VM does not receive the newest rules. Under the old rules it is still
    the home of some flows, and it has another default target for them than
    their new home, which may have started the first copy of a request already.
    """
    behind = lossy.world.vms["vm2"].engine
    old = behind.tables.epochs.current
    assert old is not None
    service = old.config.services["ratio"]
    behind.config_sync.offer = lambda *_: None  # type: ignore[method-assign]
    lossy.submit_rules(lossy.text + ELSEWHERE)
    lossy.world.run(500)
    for port in range(2000, 5000):
        key = flow_steps.flow_key(service, port)
        if old.locate(key, service).home == "vm2":
            lossy.world.call("ratio", caller=0, port=port)
            lossy.world.run(7)
    del behind.config_sync.offer
    lossy.world.run(30_000)
    assert lossy.world.violations() == []
    assert len(lossy.world.executed()) > 200


def test_datagram_repeated_after_its_home_died_runs_once(
    lossy: flow_steps.FlowBench,
) -> None:
    """A request that a dead home started must not run again on another target.

    The home dies and its record is lost. Because the rules change at the same
    time, the next home has another default target for the retransmitted copy.
    """
    service = lossy.world.config().services["ratio"]
    current = lossy.world.vms["vm2"].engine.tables.epochs.current
    assert current is not None
    for port in range(2000, 5000):
        if current.locate(flow_steps.flow_key(service, port), service).home == "vm2":
            lossy.world.call("ratio", caller=0, port=port)
    lossy.world.run(12)
    lossy.world.kill("vm2")
    lossy.submit_rules(lossy.text + ELSEWHERE)
    lossy.world.run(30_000)
    assert lossy.world.violations() == []
