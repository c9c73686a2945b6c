"""Acceptance of rules while the platform, the network and VMs fail."""

import typing

import pytest
import pytest_bdd

from eelgrasswick import (
    change,
    errors,
    store,
)
from eelgrasswick.fleet import member
from tests import control_steps, fleet_view

# The platform is down or slow, returns an old copy of the rules or is restored
# from one, while VMs are paused during a change or cut off. The feature guards
# against an accepted change that is never in force, or that is in force at some
# VMs and undone at others.
pytest_bdd.scenarios("features/configuration.feature")


class StoreLoad(typing.NamedTuple):
    """Load that one fleet puts on the store.

    Attributes:
        calls: Number of calls in the measured time.
        watches: Number of open watches at its end.
    """

    calls: int
    watches: int


@pytest.fixture
def store_loads() -> dict[int, StoreLoad]:
    """Loads of the store by the number of VMs in the fleet."""
    return {}


@pytest_bdd.given("the platform holds rules and is down")
def rules_behind_outage(control: control_steps.ControlBench) -> None:
    control.apply(control.text)
    control.set_platform_faults(outage=True)


@pytest_bdd.when(pytest_bdd.parsers.parse("{count:d} VMs start at once"))
def start_all(control: control_steps.ControlBench, count: int) -> None:
    control.world.add_fleet(count, control_steps.ZONES)


@pytest_bdd.then("no VM serves")
def none_serves(control: control_steps.ControlBench) -> None:
    for vm in control.world.vms.values():
        assert vm.engine.membership.me.state is member.MemberState.JOINING
        assert vm.engine.config_sync.current is None


@pytest_bdd.then(pytest_bdd.parsers.parse("every VM serves within {limit:d} s"))
def all_serve(control: control_steps.ControlBench, limit: int) -> None:
    control.world.run_until(lambda: fleet_view.views_agree(control.world), limit * 1000)
    control_steps.every_vm_newest(control)


@pytest_bdd.then("all VMs have the same rules in force")
def same_rules(control: control_steps.ControlBench) -> None:
    running = fleet_view.running_vms(control.world)
    digests = {vm.engine.config_sync.current.digest for vm in running}  # type: ignore[union-attr]
    assert len(digests) == 1


@pytest_bdd.then("older rules were refused and logged")
def refusals_logged(control: control_steps.ControlBench) -> None:
    stale = [
        vm
        for vm, item in control.logged_events("config_refused")
        if item["kind"] == errors.ErrorKind.CONFIG_STALE.value
    ]
    assert set(stale) >= {vm.me.name for vm in fleet_view.running_vms(control.world)}


@pytest_bdd.when("the store is copied")
def copy_store(control: control_steps.ControlBench) -> None:
    control.world.platform.save()


@pytest_bdd.when("the store is restored from the copy")
def restore_store(control: control_steps.ControlBench) -> None:
    control.world.platform.restore()


@pytest_bdd.when("the store is restored and an operator is first to change it")
def restore_and_change(control: control_steps.ControlBench) -> None:
    # The muted watches give the operator time to submit a change before the
    # watching VMs detect the restored store and repair it.
    control.world.platform.mute_watches()
    control.world.platform.restore()
    control.apply(f"{control.text}# another operator's change\n")


@pytest_bdd.when(pytest_bdd.parsers.parse("the value in the store becomes {value}"))
def overwrite(control: control_steps.ControlBench, value: str) -> None:
    put = store.Put(store.RULES_KEY, value.encode())
    control.world.platform.write((), (put,))


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "a change is held up for {seconds:d} s and reported as not accepted"
    )
)
def held_up(control: control_steps.ControlBench, seconds: int) -> None:
    control.set_platform_faults(lost_answers=1, late_ms=seconds * 1000)
    operator = change.Operator(control.world.platform, "ben")
    text = f"{control.text}# held up\n"
    plan = control.world.wait(operator.plan(text, control.world.now_ms))
    with pytest.raises(errors.StoreError, match="not accepted"):
        control.world.wait(operator.submit(plan))


@pytest_bdd.given(
    pytest_bdd.parsers.parse(
        "the calls of {few:d} VMs and of {many:d} VMs in {seconds:d} s "
        "with a change in force within {limit:d} s"
    )
)
def count_calls(
    store_loads: dict[int, StoreLoad], few: int, many: int, seconds: int, limit: int
) -> None:
    for count in (few, many):
        control = control_steps.ControlBench()
        control_steps.given_fleet(control, count)
        platform = control.world.platform
        platform.calls.clear()
        control_steps.change_rules(control)
        control_steps.change_in_force(control, limit)
        begun_ms = control.accepted_ms
        control.world.run(seconds * 1000 - (control.world.now_ms - begun_ms))
        store_loads[count] = StoreLoad(platform.calls.total(), platform.open_watches)


@pytest_bdd.then("the larger fleet makes at most a third more calls")
def calls_do_not_grow(store_loads: dict[int, StoreLoad]) -> None:
    few, many = sorted(store_loads)
    assert store_loads[many].calls <= 4 / 3 * store_loads[few].calls


@pytest_bdd.then(pytest_bdd.parsers.parse("both have at most {count:d} watches"))
def both_have_few_watches(store_loads: dict[int, StoreLoad], count: int) -> None:
    assert all(0 < item.watches <= count for item in store_loads.values())
