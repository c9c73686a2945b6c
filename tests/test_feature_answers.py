"""Answers that come late, twice, out of order, or after a port's next use."""

import pytest_bdd

from tests import flow_steps, world

# A caller closes a flow and uses its port again at once. Packets of the old
# flow are still under way, and some VMs remember the old flow's target. The
# caller would see a reset, or the end of another request's answer as its own.
pytest_bdd.scenarios("features/answers.feature")

PORTS = 12


@pytest_bdd.given("a network that loses, doubles and delays packets")
def bad_network(bench: flow_steps.FlowBench) -> None:
    bench.world.network = world.Network(
        jitter_ms=40.0, loss_share=0.02, duplicate_share=0.1
    )


@pytest_bdd.when(
    pytest_bdd.parsers.parse("callers use a few ports again and again while {change}")
)
def reuse_ports(bench: flow_steps.FlowBench, change: str) -> None:
    for turn in range(500):
        if turn == 150:
            flow_steps.CHANGES[change](bench)
        bench.call_if_free(("desk", "vault", "ratio")[turn % 3], 2000 + turn % PORTS)
        bench.world.run(20)


@pytest_bdd.then(pytest_bdd.parsers.parse("at most {limit:d} of 100 flows are broken"))
def share_broken(bench: flow_steps.FlowBench, limit: int) -> None:
    ends = bench.world.count_ends()
    assert ends.total() > 100
    assert ends["broken"] * 100 <= limit * ends.total(), ends
