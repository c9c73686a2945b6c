"""Copies of the opening packets of flows that a VM refused."""

from eelgrasswick.cookie import model, outcomes, refused_flows, steering
from tests import cookie_parts, steering_parts


def test_copy_of_a_refused_flow_reaches_no_target(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a target that gets a flow whose reset says that none has it."""
    raw = cookie_parts.packet(cookie_parts.SYN, 40_001)
    again = cookie_parts.packet(cookie_parts.SYN, 40_001, acknowledged=1)
    vm_steering.refuse_held(1000, raw)
    for copy in (raw, again):
        decision = steering_parts.steer(vm_steering, 1050, copy)
        assert decision.outcome is outcomes.Outcome.NO_CAPACITY
        assert decision.target is None
    late_ms = 1050 + refused_flows.RETENTION_MS
    assert steering_parts.opened(vm_steering, late_ms)


def test_other_flow_of_a_refused_caller_is_placed(
    vm_steering: steering.Steering,
) -> None:
    """Guards against a retry from a new port that is taken for a copy."""
    vm_steering.refuse_held(1000, cookie_parts.packet(cookie_parts.SYN, 40_001))
    assert steering_parts.opened(vm_steering, 1050, port=40_002)


def test_refused_flows_are_bounded() -> None:
    """Guards against memory that grows with the number of refusals."""
    found = refused_flows.RefusedFlows()
    flows = [
        model.FlowId(bytes(4), port, bytes(4), 443)
        for port in range(refused_flows.MAX_FLOWS + 1)
    ]
    for flow in flows:
        found.add(0, flow)
    assert not found.has(1, flows[0])
    assert found.has(1, flows[1])
