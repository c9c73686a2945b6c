"""Requests over UDP that callers repeat while VMs differ in their views."""

import pytest

from tests import flow_steps, world

# With another zone a flow's home moves too.
ELSEWHERE = flow_steps.MORE_TARGETS.replace("zone=z2", "zone=z3")
LOSSY = world.Link(loss=0.25, double=0.05)


@pytest.fixture
def lossy() -> flow_steps.Bench:
    """A bench whose network makes callers repeat many datagrams."""
    return flow_steps.Bench(world.World(1, LOSSY))


def _ask(bench: flow_steps.Bench, count: int) -> None:
    for _ in range(count):
        bench.world.call("ratio")
        bench.world.run(10)


def test_datagram_repeated_on_both_sides_of_a_cut(lossy: flow_steps.Bench) -> None:
    # A zone is cut off. A repeated check-in reaches VMs on both sides, and the
    # side that can't reach the target of the first copy must not pick another
    # one, or the check-in counts an educator twice.
    lossy.world.cut("z1", "z2", "z3", "platform")
    _ask(lossy, 600)
    lossy.world.heal()
    lossy.world.run(30_000)
    assert lossy.world.breaches() == []
    assert set(lossy.world.executed().values()) == {1}


def test_datagram_repeated_to_a_vm_with_old_rules(lossy: flow_steps.Bench) -> None:
    # For three seconds one VM has not got the newest rules. By the old ones it
    # is still the home of some flows, with another target for them than their
    # new home, which may have started the first copy of a check-in already.
    behind = lossy.world.vms["vm2"].engine
    old = behind.tables.epochs.current
    assert old is not None
    service = old.config.services["ratio"]
    behind.keeper.offer = lambda *_: None  # type: ignore[method-assign]
    lossy.edit(lossy.text + ELSEWHERE)
    lossy.world.run(500)
    for port in range(2000, 5000):
        key = flow_steps.flow_key(service, port)
        if old.locate(key, service).home == "vm2":
            lossy.world.call("ratio", caller=0, port=port)
            lossy.world.run(7)
    del behind.keeper.offer
    lossy.world.run(30_000)
    assert lossy.world.breaches() == []
    assert len(lossy.world.executed()) > 200


def test_datagram_repeated_after_its_home_died(lossy: flow_steps.Bench) -> None:
    # A home starts a check-in and dies with its record. If the rules change at
    # the same time, the next home has another target for the repeated copy.
    service = lossy.world.config().services["ratio"]
    current = lossy.world.vms["vm2"].engine.tables.epochs.current
    assert current is not None
    for port in range(2000, 5000):
        if current.locate(flow_steps.flow_key(service, port), service).home == "vm2":
            lossy.world.call("ratio", caller=0, port=port)
    lossy.world.run(12)
    lossy.world.kill("vm2")
    lossy.edit(lossy.text + ELSEWHERE)
    lossy.world.run(30_000)
    assert lossy.world.breaches() == []
