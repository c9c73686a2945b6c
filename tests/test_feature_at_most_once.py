"""Retransmitted opening packets that reach VMs with different views."""

import pytest_bdd

from tests import flow_steps, world

# A SYN or a first datagram is lost, or its answer is, and the caller retransmits
# it. The fabric sends the copy to another VM, which has older rules or another
# view of the fleet. The feature guards against a second placement of the flow,
# after which a request could run on two targets.
pytest_bdd.scenarios("features/at_most_once.feature")


@pytest_bdd.given("a network that loses and doubles packets")
def bad_network(bench: flow_steps.FlowBench) -> None:
    bench.world.network = world.Network(loss_share=0.2, duplicate_share=0.2)


@pytest_bdd.given("targets that hold two connections each")
def small_targets(bench: flow_steps.FlowBench) -> None:
    # The targets accept fewer connections than the rules state. Therefore the
    # targets refuse flows, and the VMs don't.
    for target in bench.world.targets.values():
        target.model = target.model._replace(connections=2)


@pytest_bdd.when(pytest_bdd.parsers.parse("callers keep calling while {change}"))
def keep_calling(bench: flow_steps.FlowBench, change: str) -> None:
    for turn in range(150):
        if turn == 50:
            flow_steps.CHANGES[change](bench)
        bench.world.call(("desk", "ratio")[turn % 2], work_ms=100)
        bench.world.run(20)


@pytest_bdd.then("no request ran twice")
def none_twice(bench: flow_steps.FlowBench) -> None:
    executed = bench.world.executed()
    assert len(executed) > 50
    assert set(executed.values()) == {1}


@pytest_bdd.when("callers open more boards than the targets hold")
def open_too_many(bench: flow_steps.FlowBench) -> None:
    for _ in range(60):
        bench.world.call("desk", parts=40, every_ms=250)
        bench.world.run(20)


@pytest_bdd.then("some flows are refused, none of which ran")
def some_refused(bench: flow_steps.FlowBench) -> None:
    executed = bench.world.executed()
    not_whole = [item for item in bench.world.histories() if item.end.value != "whole"]
    assert not_whole
    assert not any(executed[item.number] for item in not_whole)
