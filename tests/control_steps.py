"""Steps that features on drains, configuration and membership share."""

import typing

import pytest
import pytest_bdd

from eelgrasswick import (
    change,
    config,
    message,
    store,
    wire,
)
from eelgrasswick.emulation import emulated_platform
from tests import fleet, fleet_view, world

ZONES = fleet.ZONES


class ControlBench:
    """A fleet, the rules that its operators edit and measurements of a scenario.

    Attributes:
        world: The world.
        text: Rules text of the operators.
        sequence: Sequence of the change that was accepted last.
        accepted_ms: Time at which the last change was accepted.
        board_requests: Numbers of the requests that opened boards.
        newest_request: Number of the newest request that had begun at a target
            when a scenario counted flows.
        first_rules_value: Stored value of the first rules.
    """

    def __init__(self) -> None:
        """Create a world without VMs, and the rules of two services."""
        self.world = world.World(seed=11)
        self.text = fleet.rules_text()
        self.sequence = 0
        self.accepted_ms = 0
        self.board_requests: set[int] = set()
        self.newest_request = 0
        self.first_rules_value = b""

    def apply(self, text: str) -> None:
        """Submit rules as an operator; record their sequence and the time."""
        result = self.world.apply(text)
        assert result.outcome is change.Outcome.ACCEPTED
        self.sequence = result.sequence
        self.accepted_ms = self.world.now_ms

    def stored_document(self) -> config.Document:
        """Return the rules document in the platform's store."""
        return config.decode(self.world.platform.rows(store.RULES_KEY)[0].value)

    def set_platform_faults(self, **fields: typing.Any) -> None:
        """Replace the faults of the platform by the given ones."""
        self.world.platform.set_faults(emulated_platform.Faults(**fields))

    def open_flows_for(self, ms: int, every_ms: int = 50) -> None:
        """Open a short flow to each of both services at regular intervals."""
        for _ in range(ms // every_ms):
            self.world.call("desk")
            self.world.call("vault")
            self.world.run(every_ms)

    def logged_events(self, name: str) -> list[tuple[str, dict[str, typing.Any]]]:
        """Return the name of the VM and the fields for each log of an event."""
        return [
            (vm, dict(item.fields)) for vm, item in self.world.logs if item.name == name
        ]

    def watching_vms(self, zone: str) -> list[str]:
        """Return the names of the running VMs of a zone that watch the store."""
        return [
            vm.me.name
            for vm in fleet_view.running_vms(self.world)
            if vm.zone == zone and vm.engine.config_sync.watching
        ]


@pytest.fixture
def control() -> ControlBench:
    """Bench without VMs, and with the rules of two services."""
    return ControlBench()


@pytest_bdd.given(pytest_bdd.parsers.parse("a fleet of {count:d} VMs in three zones"))
def given_fleet(control: ControlBench, count: int) -> None:
    control.world.add_fleet(count, ZONES)
    control.apply(control.text)
    control.world.run_until(lambda: fleet_view.views_agree(control.world), 10_000)
    control.world.run(2000)
    control.first_rules_value = control.world.platform.rows(store.RULES_KEY)[0].value


@pytest_bdd.given(pytest_bdd.parsers.parse("{count:d} open boards of {seconds:d} s"))
def given_boards(control: ControlBench, count: int, seconds: int) -> None:
    for _ in range(count):
        control.world.call("desk", parts=seconds * 10, every_ms=100)
    control.board_requests = set(range(1, count + 1))
    control.world.run(500)


@pytest_bdd.when("nothing else happens")
def do_nothing() -> None:
    return


@pytest_bdd.when(pytest_bdd.parsers.parse("{zone} is cut off from the platform"))
def cut_platform(control: ControlBench, zone: str) -> None:
    control.world.cut(zone, world.PLATFORM)


@pytest_bdd.when(pytest_bdd.parsers.parse("{zone} is cut off from the other zones"))
def cut_zone(control: ControlBench, zone: str) -> None:
    control.world.cut(zone, *(other for other in ZONES if other != zone))


@pytest_bdd.when(pytest_bdd.parsers.parse("{zone} is cut off from everything"))
def cut_all(control: ControlBench, zone: str) -> None:
    cut_zone(control, zone)
    cut_platform(control, zone)


@pytest_bdd.when(pytest_bdd.parsers.parse("nothing from {one} reaches {other}"))
def cut_one_way(control: ControlBench, one: str, other: str) -> None:
    control.world.one_way_cuts.add((one, other))


@pytest_bdd.when("the network heals")
def heal(control: ControlBench) -> None:
    control.world.heal()


@pytest_bdd.when("the platform is down")
def platform_down(control: ControlBench) -> None:
    control.set_platform_faults(outage=True)


@pytest_bdd.when(pytest_bdd.parsers.parse("the platform answers after {ms:d} ms"))
def platform_slow(control: ControlBench, ms: int) -> None:
    control.set_platform_faults(delay_ms=ms)


@pytest_bdd.when("the platform is back")
def platform_back(control: ControlBench) -> None:
    control.set_platform_faults()


@pytest_bdd.when("all watches go mute")
def mute_watches(control: ControlBench) -> None:
    control.world.platform.mute_watches()


@pytest_bdd.when("one in twenty datagrams is lost")
def lose_datagrams(control: ControlBench) -> None:
    control.world.network = control.world.network._replace(
        loss_share=0.05, duplicate_share=0.05
    )


@pytest_bdd.when(pytest_bdd.parsers.parse("the watching VMs of {zone} are killed"))
def kill_watchers(control: ControlBench, zone: str) -> None:
    for name in control.watching_vms(zone):
        control.world.kill(name)


@pytest_bdd.when(pytest_bdd.parsers.parse("{name} is killed"))
def kill(control: ControlBench, name: str) -> None:
    control.world.kill(name)


@pytest_bdd.when(pytest_bdd.parsers.parse("{name} is paused for {seconds:d} s"))
def pause(control: ControlBench, name: str, seconds: int) -> None:
    control.world.pause(name, seconds * 1000)


@pytest_bdd.when(pytest_bdd.parsers.parse("a VM {name} starts in {zone}"))
def start(control: ControlBench, name: str, zone: str) -> None:
    control.world.add_vm(name, zone)


@pytest_bdd.when(pytest_bdd.parsers.parse("{seconds:d} s go by"))
def pass_time(control: ControlBench, seconds: int) -> None:
    control.world.run(seconds * 1000)


@pytest_bdd.when(pytest_bdd.parsers.parse("{seconds:d} s go by with new flows"))
def pass_time_with_calls(control: ControlBench, seconds: int) -> None:
    control.open_flows_for(seconds * 1000)


@pytest_bdd.when("the operator changes the rules")
def change_rules(control: ControlBench) -> None:
    control.text += f"# change after {control.sequence}\n"
    control.apply(control.text)


@pytest_bdd.when(pytest_bdd.parsers.parse("{name} offers the first rules again"))
def offer_first_rules(control: ControlBench, name: str) -> None:
    payload = wire.encode(wire.ConfigResponse(control.first_rules_value))
    for vm in fleet_view.running_vms(control.world):
        control.world.feed(vm, message.LinkReceived(name, payload))


@pytest_bdd.then(pytest_bdd.parsers.parse("the change is in force within {limit:d} s"))
def change_in_force(control: ControlBench, limit: int) -> None:
    control.world.run_until(
        lambda: fleet_view.sequences_in_force(control.world) == {control.sequence},
        limit * 1000 - (control.world.now_ms - control.accepted_ms),
    )


@pytest_bdd.then("no VM has gone back")
def sequences_increase(control: ControlBench) -> None:
    assert fleet_view.sequences_never_decrease(control.world)


@pytest_bdd.then("the store holds what is in force")
def store_has_rules_in_force(control: ControlBench) -> None:
    stored = control.stored_document()
    for vm in fleet_view.running_vms(control.world):
        current = vm.engine.config_sync.current
        assert current is not None
        assert current.document == stored


@pytest_bdd.then(pytest_bdd.parsers.parse("all views agree within {limit:d} s"))
def views_agree(control: ControlBench, limit: int) -> None:
    fleet_view.run_until_views_agree(control.world, limit * 1000)


@pytest_bdd.then("every flow is whole")
def every_flow_whole(control: ControlBench) -> None:
    control.world.run(3000)
    ends = control.world.count_ends()
    broken = [item for item in control.world.histories() if item.end.value != "whole"]
    assert broken == [], ends
    assert control.board_requests <= {item.number for item in control.world.histories()}


@pytest_bdd.then("no request ran twice")
def at_most_once(control: ControlBench) -> None:
    assert set(control.world.executed().values()) <= {1}


@pytest_bdd.then("every VM serves with the newest rules")
def every_vm_newest(control: ControlBench) -> None:
    for vm in fleet_view.running_vms(control.world):
        assert vm.engine.membership.me.serves
    assert fleet_view.sequences_in_force(control.world) == {control.sequence}
