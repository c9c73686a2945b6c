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


def test_address_does_not_pass_on_at_once(bench: flow_steps.Bench) -> None:
    # The booth gets the vault's address in the same change in which the vault
    # goes. Until every VM has the change, some send the booth's first callers
    # to the vault's targets, which answer them: a check-in at the printer.
    text = _without(bench.text, " vault ")
    with pytest.raises(errors.RulesInvalidError):
        bench.edit(text + BOOTH)
    bench.edit(text)
    bench.world.run(5000)
    with pytest.raises(errors.RulesInvalidError):
        bench.edit(text + BOOTH)


def test_address_passes_on_after_a_while(bench: flow_steps.Bench) -> None:
    # With the wait, VMs that are seconds behind refuse calls to the address
    # and don't serve them by the old rules.
    text = _without(bench.text, " vault ")
    bench.world.call("vault", parts=200, every_ms=250)
    bench.edit(text)
    bench.world.run(11_000)
    behind = bench.world.vms["vm2"].engine
    behind.keeper.offer = lambda *_: None  # type: ignore[method-assign]
    bench.edit(text + BOOTH)
    for _ in range(100):
        bench.world.call("booth")
        bench.world.run(20)
    del behind.keeper.offer
    bench.world.run(30_000)
    assert bench.world.wrong_deliveries == 0
    assert bench.world.breaches() == []
    assert bench.world.ends()["whole"] > 70


def test_endpoint_passes_on_when_it_is_empty(bench: flow_steps.Bench) -> None:
    # A server of the vault is given to the desk. Once its own flows are over,
    # no VM, however late with the rules, sends it anything of the vault's.
    for _ in range(20):
        bench.world.call("vault", parts=12, every_ms=250)
        bench.world.run(20)
    bench.edit(_without(bench.text, "target v1 "))
    bench.world.run(11_000)
    behind = bench.world.vms["vm2"].engine
    behind.keeper.offer = lambda *_: None  # type: ignore[method-assign]
    bench.edit(bench.text + MOVED)
    for _ in range(100):
        bench.world.call("desk")
        bench.world.call("vault")
        bench.world.run(20)
    del behind.keeper.offer
    bench.world.run(20_000)
    assert bench.world.wrong_deliveries == 0
    assert bench.world.breaches() == []
    assert bench.world.targets["d9"].executed
