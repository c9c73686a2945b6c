"""Targets that leave while VMs receive the change at different times."""

import pytest_bdd

from eelgrasswick import change
from eelgrasswick.homes import flow
from tests import control_steps

# An operator drains a target for repair or removes its line. A VM that receives
# the change late, or was paused, continues to place flows on the target. The
# feature guards against the loss of such flows, which break when the operator
# switches the machine off.
pytest_bdd.scenarios("features/drain.feature")


@pytest_bdd.when(pytest_bdd.parsers.parse("the operator drains {name}"))
def drain(control: control_steps.ControlBench, name: str) -> None:
    control.apply(f"{control.text}drain {name}  # asked by Wanjiru\n")


@pytest_bdd.when(pytest_bdd.parsers.parse("the operator removes {name}"))
def remove(control: control_steps.ControlBench, name: str) -> None:
    lines = control.text.splitlines()
    kept = [line for line in lines if not line.startswith(f"target {name} ")]
    control.apply("\n".join(kept) + "\n")


@pytest_bdd.when(pytest_bdd.parsers.parse("the flows of {name} are counted"))
def count(control: control_steps.ControlBench, name: str) -> None:
    control.newest_request = max(control.world.executed())
    assert control.world.targets[name].executed


@pytest_bdd.then(pytest_bdd.parsers.parse("{name} has got no new flow since"))
def no_new_flow(control: control_steps.ControlBench, name: str) -> None:
    executed = control.world.targets[name].executed
    late = [number for number in executed if number > control.newest_request]
    assert late == []
    assert max(control.world.executed()) > control.newest_request + 50


@pytest_bdd.then(
    pytest_bdd.parsers.parse("{name} is said to be empty after its last flow")
)
def target_logged_empty(control: control_steps.ControlBench, name: str) -> None:
    control.world.run(flow.LINGER_MS + 5000)
    reporting_vms = {
        vm
        for vm, item in control.logged_events("target_empty")
        if item["target"] == name
    }
    running = {vm.me.name for vm in control.world.vms.values() if vm.alive}
    assert reporting_vms >= running


@pytest_bdd.then(
    pytest_bdd.parsers.parse(
        "the trail tells that {name} was empty, not before its last flow ended"
    )
)
def audit_shows_empty_target(control: control_steps.ControlBench, name: str) -> None:
    operator = change.Operator(control.world.platform, "auditor")
    entries = control.world.wait(operator.audit())
    empty_entries = [
        item
        for item in entries
        if item.outcome == change.Outcome.EMPTY.value and name in "".join(item.lines)
    ]
    histories = control.world.histories()
    last_ms = max(item.ended_ms for item in histories if item.target == name)
    assert len(empty_entries) == 1
    assert empty_entries[0].at_ms >= last_ms
