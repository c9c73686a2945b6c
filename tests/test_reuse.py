"""Addresses of services and targets that pass from one service to another."""

import pytest

from eelgrasswick import errors
from tests import flow_steps

VAULT = "vault 10.1.0.2:443 tcp"
BOOTH = """\
service booth 10.1.0.2:443 tcp shutdown=2099-12-31  # asked by Otieno
target b1 booth 127.0.13.1:5555 zone=z1 slots=2  # asked by Otieno
target b2 booth 127.0.13.2:5555 zone=z2 slots=2  # asked by Otieno
"""
MOVED = "target d9 desk 127.0.11.1:5555 zone=z1 weight=90  # asked by Wanjiru\n"


def _without(text: str, *parts: str) -> str:
    lines = text.splitlines(keepends=True)
    return "".join(line for line in lines if not any(part in line for part in parts))


def test_address_of_a_removed_service_is_refused_at_first(
    bench: flow_steps.FlowBench,
) -> None:
    """Callers of a new service must not reach the targets of a removed one.

    The booth gets the vault's address in the change that removes the vault.
    Until every VM has this change, some VMs would send the booth's first callers
    to the vault's targets, which would answer them.
    """
    text = _without(bench.text, " vault ")
    with pytest.raises(errors.RulesInvalidError):
        bench.submit_rules(text + BOOTH)
    bench.submit_rules(text)
    bench.world.run(5000)
    with pytest.raises(errors.RulesInvalidError):
        bench.submit_rules(text + BOOTH)


def test_address_of_a_removed_service_is_accepted_later(
    bench: flow_steps.FlowBench,
) -> None:
    """A VM with old rules must not serve an address that is used again.

    Because of the wait, VMs that are seconds behind refuse flows to the address
    and don't serve them under the old rules.
    """
    text = _without(bench.text, " vault ")
    bench.world.call("vault", parts=200, every_ms=250)
    bench.submit_rules(text)
    bench.world.run(11_000)
    behind = bench.world.vms["vm2"].engine
    behind.config_sync.offer = lambda *_: None  # type: ignore[method-assign]
    bench.submit_rules(text + BOOTH)
    for _ in range(100):
        bench.world.call("booth")
        bench.world.run(20)
    del behind.config_sync.offer
    bench.world.run(30_000)
    assert bench.world.wrong_deliveries == 0
    assert bench.world.violations() == []
    assert bench.world.count_ends()["whole"] > 70


def test_endpoint_is_reused_without_packets_of_its_former_service(
    bench: flow_steps.FlowBench,
) -> None:
    """A target that moved to another service must get no packet of the former one.

    A target of the vault moves to the desk. Once its own flows have ended, no
    VM sends it packets of the vault's flows, not even one with old rules.
    """
    for _ in range(20):
        bench.world.call("vault", parts=12, every_ms=250)
        bench.world.run(20)
    bench.submit_rules(_without(bench.text, "target v1 "))
    bench.world.run(11_000)
    behind = bench.world.vms["vm2"].engine
    behind.config_sync.offer = lambda *_: None  # type: ignore[method-assign]
    bench.submit_rules(bench.text + MOVED)
    for _ in range(100):
        bench.world.call("desk")
        bench.world.call("vault")
        bench.world.run(20)
    del behind.config_sync.offer
    bench.world.run(20_000)
    assert bench.world.wrong_deliveries == 0
    assert bench.world.violations() == []
    assert bench.world.targets["d9"].executed
