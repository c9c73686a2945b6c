"""Views of the fleet while zones are cut off and VMs start and stop."""

import collections
import json

import pytest_bdd

from eelgrasswick import store
from tests import control_steps, fleet_view, world

# Zones are cut off from each other for minutes, in one direction or both, while
# VMs on either side are killed. The platform's list contains dead VMs and omits
# live ones. The feature guards against VMs with a wrong view of the fleet, which
# send packets to homes that do not exist, so that boards stop.
pytest_bdd.scenarios("features/membership.feature")


@pytest_bdd.when(pytest_bdd.parsers.parse("{name} is left out of the platform's list"))
def unlist(control: control_steps.ControlBench, name: str) -> None:
    control.world.platform._entries.pop(store.VMS_PREFIX + name)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{name} is listed as if it were dead long since")
)
def list_wrong(control: control_steps.ControlBench, name: str) -> None:
    wrong = {"zone": "z9", "ip": "10.99.0.1", "peer_port": 1, "link_port": 2}
    put = store.Put(store.VMS_PREFIX + name, json.dumps(wrong).encode())
    control.world.platform.write((), (put,))


@pytest_bdd.when("the VMs of the settings are killed")
def kill_seeds(control: control_steps.ControlBench) -> None:
    for name in ("vm1", "vm2", "vm3"):
        control.world.kill(name)


@pytest_bdd.when("callers reach z1 only")
def callers_reach_one(control: control_steps.ControlBench) -> None:
    control.world.cut(world.CALLERS, "z2", "z3")


@pytest_bdd.when(pytest_bdd.parsers.parse("new flows are opened for {seconds:d} s"))
def open_flows(control: control_steps.ControlBench, seconds: int) -> None:
    control.open_flows_for(seconds * 1000)


@pytest_bdd.when(pytest_bdd.parsers.parse("{zone} is cut off and back {times:d} times"))
def flap(control: control_steps.ControlBench, zone: str, times: int) -> None:
    for _ in range(times):
        control_steps.cut_all(control, zone)
        control.world.run(2000)
        control.world.heal()
        control.world.run(1500)


@pytest_bdd.when(pytest_bdd.parsers.parse("all VMs are paused for {seconds:d} s"))
def pause_all(control: control_steps.ControlBench, seconds: int) -> None:
    for name in control.world.vms:
        control.world.pause(name, seconds * 1000)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("the reporting VM of {zone} is paused for {seconds:d} s")
)
def pause_reporter(
    control: control_steps.ControlBench, zone: str, seconds: int
) -> None:
    for name in control.watching_vms(zone):
        if control.world.vms[name].watcher._lease:
            control.world.pause(name, seconds * 1000)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{name} is killed and started anew at once"),
)
def restart(control: control_steps.ControlBench, name: str) -> None:
    old = control.world.vms[name]
    control.world.kill(name, 0)
    control.world.run(10)
    control.world.add_vm(name, old.zone, ip=old.me.ip)


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{name} is killed and started anew with a clock an hour behind"
    )
)
def restart_behind(control: control_steps.ControlBench, name: str) -> None:
    restart(control, name)
    membership = control.world.vms[name].engine.membership
    membership.me = membership.me._replace(
        incarnation=membership.me.incarnation - 3_600_000
    )


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{name} is killed and started anew under another address")
)
def restart_elsewhere(control: control_steps.ControlBench, name: str) -> None:
    zone = control.world.vms[name].zone
    control.world.kill(name, 0)
    control.world.run(10)
    control.world.add_vm(name, zone, ip="10.0.7.7")


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{name} is killed and started anew as {new} under the same address"
    )
)
def replace(control: control_steps.ControlBench, name: str, new: str) -> None:
    old = control.world.vms[name]
    control.world.kill(name, 0)
    control.world.run(10)
    control.world.add_vm(new, old.zone, ip=old.me.ip)


@pytest_bdd.then(pytest_bdd.parsers.parse("{one} serves and {other} does not"))
def serves(control: control_steps.ControlBench, one: str, other: str) -> None:
    for vm in fleet_view.running_vms(control.world):
        assert one in fleet_view.serving(control.world, vm)
        assert other not in fleet_view.serving(control.world, vm)


@pytest_bdd.then("every board ends whole")
def boards_whole(control: control_steps.ControlBench) -> None:
    histories = control.world.histories()
    control.world.run_until(
        lambda: control.board_requests <= {item.number for item in histories}, 30_000
    )
    ends = {item.number: item.end.value for item in histories}
    whole = {number for number in control.board_requests if ends[number] == "whole"}
    assert whole == control.board_requests


@pytest_bdd.then("flows to targets of z1 are whole")
def own_targets_served(control: control_steps.ControlBench) -> None:
    served = collections.Counter(
        item.target for item in control.world.histories() if item.end.value == "whole"
    )
    assert served.total() >= 20
    zones = {item.name: item.zone for item in control.world.config().targets.values()}
    assert {zones[name] for name in served} == {"z1"}


@pytest_bdd.then("no flow was reset")
def none_reset(control: control_steps.ControlBench) -> None:
    details = {item.detail for item in control.world.histories()}
    assert not any("reset" in item for item in details), details


@pytest_bdd.then("the platform shows the newest rules in force at every VM")
def reports_newest(control: control_steps.ControlBench) -> None:
    rows = control.world.platform.rows(store.IN_FORCE_PREFIX)
    shown: dict[str, int] = {}
    for row in rows:
        shown.update(json.loads(row.value))
    running = {vm.me.name for vm in fleet_view.running_vms(control.world)}
    assert shown == dict.fromkeys(running, control.sequence)
