"""Steps and the test bench that the features about flows share."""

import typing

import pytest
import pytest_bdd

from eelgrasswick import (
    packet,
    service,
)
from eelgrasswick.homes import epoch
from tests import fleet, world

UDP_RULES = """\
service ratio 10.1.0.3:53 udp shutdown=2099-12-31  # asked by Chiara
target u1 ratio 127.0.12.1:5555 zone=z1 slots=2  # asked by Chiara
target u2 ratio 127.0.12.2:5555 zone=z2 slots=2  # asked by Chiara
target u3 ratio 127.0.12.3:5555 zone=z3 slots=2  # asked by Chiara
"""
ADDED_TARGETS = """\
target d8 desk 127.0.10.8:5555 zone=z1 slots=2 weight=4  # asked by Wanjiru
target v4 vault 127.0.11.4:5555 zone=z2 slots=2 weight=4  # asked by Otieno
target u4 ratio 127.0.12.4:5555 zone=z2 slots=2 weight=4  # asked by Chiara
"""
DRAINS = """\
drain d6  # asked by Wanjiru
drain d7  # asked by Wanjiru
drain v1  # asked by Otieno
drain u1  # asked by Chiara
"""


class FlowBench:
    """A world of eight VMs with the rules text that its operators edit.

    Attributes:
        world: The world.
        text: Rules text that was submitted last.
        vms_started: Number of VMs started so far; names the next one.
    """

    def __init__(self, made: world.World) -> None:
        """Start eight VMs in a world, submit the rules and run for 4 s."""
        self.world = made
        self.text = fleet.rules_text() + UDP_RULES
        self.vms_started = 8
        made.add_fleet(8)
        made.apply(self.text)
        made.run(4000)

    def find_port(
        self,
        name: str,
        fits: typing.Callable[[epoch.Location], bool],
        start: int = 2000,
    ) -> int:
        """Return a port of caller 0 whose flow has a suitable location.

        Args:
            name: Name of the service.
            fits: Returns whether a location is suitable.
            start: First port to consider.
        """
        vm = next(item for item in self.world.vms.values() if item.alive)
        current_epoch = vm.engine.tables.epochs.current
        assert current_epoch is not None
        owner = current_epoch.config.services[name]
        for port in range(start, start + 4000):
            if fits(current_epoch.locate(flow_key(owner, port), owner)):
                return port
        raise AssertionError("none of the 4000 ports has a suitable location")

    def call_if_free(self, name: str, port: int, **request: int) -> None:
        """Call a service from a port of caller 0 unless the port has a flow."""
        owner = self.world.config().services[name]
        if not self.world.callers.has_flow(flow_key(owner, port)):
            self.world.call(name, caller=0, port=port, **request)

    def submit_rules(self, text: str) -> None:
        """Submit a changed rules text as an operator."""
        self.text = text
        self.world.apply(text)

    def start_vm(self, zone: str = "z1") -> str:
        """Start another VM in a zone and return its name."""
        self.vms_started += 1
        name = f"vm{self.vms_started}"
        self.world.add_vm(name, zone)
        return name

    def replace_all_vms(self) -> None:
        """Replace the VMs one by one: start a new VM, then stop the old one."""
        for name in [item.me.name for item in self.world.vms.values()]:
            self.start_vm(self.world.vms[name].zone)
            self.world.run(2500)
            self.world.leave(name)
            self.world.run(1500)

    def replace_vm_in_place(self, name: str) -> None:
        """Kill a VM and start one of another name at its address."""
        old = self.world.vms[name].me
        self.world.kill(name, fabric_lag_ms=0)
        self.world.run(200)
        self.vms_started += 1
        self.world.add_vm(f"vm{self.vms_started}", old.zone, ip=old.ip)

    def change_weights(self) -> None:
        """Change the weight of targets of each service."""
        text = self.text.replace("weight=4", "weight=1")
        self.submit_rules(
            text.replace("12.2:5555 zone=z2", "12.2:5555 zone=z2 weight=9")
        )


def flow_key(owner: service.Service, port: int) -> packet.FlowKey:
    """Return the key of the flow of caller 0 from a port to a service."""
    caller = bytes((10, 9, 0, 1))
    return packet.FlowKey(owner.protocol, caller, port, *owner.address)


CHANGES: dict[str, typing.Callable[[FlowBench], None]] = {
    "nothing": lambda bench: None,
    "vm2 leaves": lambda bench: bench.world.leave("vm2"),
    "vm5 leaves": lambda bench: bench.world.leave("vm5"),
    "a VM joins": lambda bench: typing.cast(None, bench.start_vm()),
    "a VM joins z2": lambda bench: typing.cast(None, bench.start_vm("z2")),
    "all VMs are replaced": FlowBench.replace_all_vms,
    "targets drain": lambda bench: bench.submit_rules(bench.text + DRAINS),
    "weights change": FlowBench.change_weights,
    "targets are added": lambda bench: bench.submit_rules(bench.text + ADDED_TARGETS),
    "vm2 is killed": lambda bench: bench.world.kill("vm2"),
    "vm5 is killed": lambda bench: bench.world.kill("vm5"),
    "vm2 pauses": lambda bench: bench.world.pause("vm2", 30_000),
    "vm2 is replaced in place": lambda bench: bench.replace_vm_in_place("vm2"),
}


@pytest.fixture
def bench() -> FlowBench:
    """Bench of eight VMs in three zones, two TCP services and one UDP service."""
    return FlowBench(world.World(seed=7))


@pytest_bdd.given(pytest_bdd.parsers.parse("{count:d} open flows of {seconds:d} s"))
def open_flows(bench: FlowBench, count: int, seconds: int) -> None:
    # Half of the flows are boards with four small parts a second. The others
    # are downloads with one larger part a second.
    for _ in range(count // 2):
        bench.world.call("desk", parts=seconds * 4, every_ms=250)
        bench.world.call("vault", answer_bytes=4000, parts=seconds, every_ms=1000)
        bench.world.run(10)
    bench.world.run(1000)


@pytest_bdd.when(pytest_bdd.parsers.parse("{first} and {second} at once"))
def two_changes(bench: FlowBench, first: str, second: str) -> None:
    CHANGES[first](bench)
    CHANGES[second](bench)


@pytest_bdd.when(pytest_bdd.parsers.parse("this happens: {change}"))
def one_change(bench: FlowBench, change: str) -> None:
    CHANGES[change](bench)


@pytest_bdd.when(pytest_bdd.parsers.parse("{seconds:d} s pass"))
def pass_time(bench: FlowBench, seconds: int) -> None:
    bench.world.run(seconds * 1000)


@pytest_bdd.then(pytest_bdd.parsers.parse("all {count:d} flows are whole"))
def all_whole(bench: FlowBench, count: int) -> None:
    assert bench.world.count_ends() == {"whole": count}


@pytest_bdd.then(pytest_bdd.parsers.parse("at most {limit:d} flows are broken"))
def few_broken(bench: FlowBench, limit: int) -> None:
    ends = bench.world.count_ends()
    assert ends["broken"] <= limit, ends


@pytest_bdd.then("every promise holds")
def invariants_hold(bench: FlowBench) -> None:
    assert bench.world.violations() == []
