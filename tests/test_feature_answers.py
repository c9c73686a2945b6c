"""Answers that arrive late, twice, out of order or after their port is reused."""

import pytest_bdd

from tests import flow_steps, world

# A caller closes a flow and reuses its port at once, while packets of the old
# flow are still in transit and some VMs still have a record of its target. The
# feature guards against a reset of the new flow and against an answer that ends
# with bytes of another request's answer.
pytest_bdd.scenarios("features/answers.feature")

REUSED_PORTS = 12


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
        bench.call_if_free(
            ("desk", "vault", "ratio")[turn % 3], 2000 + turn % REUSED_PORTS
        )
        bench.world.run(20)


@pytest_bdd.then(pytest_bdd.parsers.parse("at most {limit:d} of 100 flows are broken"))
def share_broken(bench: flow_steps.FlowBench, limit: int) -> None:
    ends = bench.world.count_ends()
    assert ends.total() > 100
    assert ends["broken"] * 100 <= limit * ends.total(), ends
