"""The facts and reasons that a VM gives about a flow or a target."""

import pytest
from hypothesis import given, strategies

from eelgrasswick import (
    packet,
    wire,
)
from eelgrasswick.homes import explain
from tests import world

CALLER = packet.address("10.9.0.1:4000")
ASKER = packet.address("10.8.0.1:5000")


def facts_from(
    fleet_world: world.World,
    name: str,
    question: wire.ExplainFlowRequest | wire.ExplainTargetRequest,
) -> dict[str, str]:
    """Return the facts in one VM's response, by key."""
    answer = fleet_world.vms[name].engine._explainer.explain(
        fleet_world.now_ms, question
    )
    assert wire.decode(wire.encode(answer)) == answer
    return {fact.key: fact.value for fact in answer.facts}


def open_flow(fleet_world: world.World) -> packet.FlowKey:
    """Open one long flow and return its key."""
    fleet_world.call("desk", parts=100, every_ms=100)
    fleet_world.run(500)
    for vm in fleet_world.vms.values():
        for key, _ in vm.engine.tables.flows.items():
            return key
    raise AssertionError("no flow is open")


def test_home_gives_the_target_of_a_flow(small_world: world.World) -> None:
    """Any VM must name the home of a flow, and the home must name its target."""
    key = open_flow(small_world)
    question = wire.ExplainFlowRequest(key.packed)
    anywhere = facts_from(small_world, "vm1", question)
    home = facts_from(small_world, anywhere["home"], question)
    assert home["flow"] == str(key)
    assert home["service"] == "desk"
    assert home["origin"] == "placed"
    assert home["record"] != explain.NONE
    assert home["draining"] == "no"
    assert "home decides" in anywhere["reason"] or anywhere["vm"] == home["vm"]


def test_drained_target_is_explained_by_its_drain(
    small_world: world.World, rules_text: str
) -> None:
    """An operator must see that a target drains and how many flows it still has."""
    key = open_flow(small_world)
    question = wire.ExplainFlowRequest(key.packed)
    first = facts_from(small_world, "vm1", question)
    target = facts_from(small_world, first["home"], question)["record"]
    small_world.apply(rules_text + f"drain {target}  # asked by Wanjiru\n")
    small_world.run(2500)
    facts = facts_from(small_world, "vm2", wire.ExplainTargetRequest(target))
    assert facts["draining"] == "yes"
    assert int(facts["open_here"]) + int(facts["open_elsewhere"]) == 1
    assert "a drain rule; 1 open flows stay" in facts["reason"]


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("tcp/10.9.0.1:4000>10.7.7.7:1", "no rule names this address"),
        ("tcp/10.9.0.1:4000>10.1.0.1:443", "no record here"),
    ],
)
def test_unknown_flow_gets_a_reason(
    small_world: world.World, text: str, reason: str
) -> None:
    """A flow without a rule or a record must be explained and not be an error."""
    question = wire.ExplainFlowRequest(explain.parse_flow(text).packed)
    facts = facts_from(small_world, "vm1", question)
    if "home" in facts:
        facts = facts_from(small_world, facts["home"], question)
    assert reason in facts["reason"]


def test_unknown_target_gets_a_reason(small_world: world.World) -> None:
    """A target without a rule must be explained and not be an error."""
    facts = facts_from(small_world, "vm1", wire.ExplainTargetRequest("nobody"))
    assert facts["reason"] == "no rule names this target"


@given(strategies.text(max_size=60))
def test_any_text_gives_a_flow_or_a_value_error(text: str) -> None:
    """A malformed flow on the command line must raise no other error."""
    try:
        key = explain.parse_flow(text)
    except ValueError:
        return
    assert explain.parse_flow(str(key)) == key
