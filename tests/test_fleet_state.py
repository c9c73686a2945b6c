"""Membership and configuration under randomly generated faults.

Kills, pauses, network cuts, outages and restores occur in any order, also at the
same time. Afterwards all VMs must have the same members and one configuration.
"""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from eelgrasswick import (
    change,
    config,
    history_config,
    store,
)
from tests import control_steps, fleet_view, operators, world

ZONES = control_steps.ZONES
INVALID_VALUES = (b"", b"garbage")
SETTLE_MS = 20_000
MIN_VMS = 3
CUT_PEERS = (ZONES, (*ZONES, world.PLATFORM), (world.PLATFORM,), ZONES[:1])


class Fleet(stateful.RuleBasedStateMachine):
    """Stateful test of a fleet of six VMs, an operator and the platform."""

    def __init__(self) -> None:
        """Start the fleet and wait until it serves."""
        super().__init__()
        self.control = control_steps.ControlBench()
        control_steps.given_fleet(self.control, 6)
        self.world = self.control.world
        self.in_force: list[history_config.InForce] = []
        self.started = 6
        self.saved = False

    def _run(self, ms: int) -> None:
        for _ in range(ms // 50):
            self.world.run(50)
            for vm in self.world.vms.values():
                operators.record_in_force(vm, self.world.now_ms, self.in_force)

    @stateful.rule(ms=st.integers(100, 12_000))
    def time_passes(self, ms: int) -> None:
        """Let time pass without a new fault."""
        self._run(ms)

    @stateful.rule(pick=st.integers(0, 99))
    def kill(self, pick: int) -> None:
        """Kill a VM, as a power failure does."""
        running = fleet_view.running_vms(self.world)
        if len(running) > MIN_VMS:
            self.world.kill(running[pick % len(running)].me.name)

    @stateful.rule(pick=st.integers(0, 99))
    def leave(self, pick: int) -> None:
        """Stop a VM as an operator does."""
        running = fleet_view.running_vms(self.world)
        if len(running) > MIN_VMS:
            self.world.leave(running[pick % len(running)].me.name)

    @stateful.rule(zone=st.sampled_from(ZONES))
    def start(self, zone: str) -> None:
        """Start a new VM."""
        if self.started < 10:
            self.started += 1
            self.world.add_vm(f"vm{self.started}", zone)

    @stateful.rule(pick=st.integers(0, 99), ms=st.integers(200, 6000))
    def pause(self, pick: int, ms: int) -> None:
        """Pause a VM for some time."""
        running = fleet_view.running_vms(self.world)
        if len(running) > 1:
            self.world.pause(running[pick % len(running)].me.name, ms)

    @stateful.rule(
        zone=st.sampled_from(ZONES),
        others=st.sampled_from(CUT_PEERS),
        both=st.booleans(),
    )
    def cut(self, zone: str, others: tuple[str, ...], both: bool) -> None:
        """Cut a zone off from other places, in both directions or in one."""
        for other in others:
            if both or other == world.PLATFORM:
                self.world.cut(zone, other)
            elif other != zone:
                self.world.one_way_cuts.add((zone, other))

    @stateful.rule()
    def heal(self) -> None:
        """End all cuts."""
        self.world.heal()

    @stateful.rule(fault=st.sampled_from([{}, {"outage": True}, {"delay_ms": 300}]))
    def platform(self, fault: dict[str, typing.Any]) -> None:
        """Let the platform fail, slow down or recover."""
        self.control.set_platform_faults(**fault)

    @stateful.rule()
    def mute_watches(self) -> None:
        """Let all watches stop delivering changes without an error."""
        self.world.platform.mute_watches()

    @stateful.rule()
    def copy_store(self) -> None:
        """Save a copy of the platform's store."""
        self.world.platform.save()
        self.saved = True

    @stateful.precondition(lambda self: self.saved)
    @stateful.rule()
    def restore(self) -> None:
        """Restore the platform's store from the copy."""
        if not self.world.platform.faults.outage:
            self.world.platform.restore()

    @stateful.rule()
    def edit(self) -> None:
        """Change the rules as an operator does, if the store holds valid ones."""
        held = self.world.platform.rows(store.RULES_KEY)[0].value
        if held not in INVALID_VALUES and not self.world.platform.faults.outage:
            self.control.text += "# edited\n"
            result = self.world.apply(self.control.text)
            assert result.outcome is not change.Outcome.CONFLICT

    @stateful.rule(value=st.sampled_from(INVALID_VALUES))
    def set_invalid_value(self, value: bytes) -> None:
        """Write an invalid value to the rules key."""
        put = store.Put(store.RULES_KEY, value)
        self.world.platform.write((), (put,))

    @stateful.invariant()
    def sequences_never_decrease(self) -> None:
        """Check that no VM's sequence decreases."""
        assert fleet_view.sequences_never_decrease(self.world)

    @stateful.invariant()
    def serves_only_with_rules(self) -> None:
        """Check that no VM serves without a configuration."""
        for vm in fleet_view.running_vms(self.world):
            serves = vm.engine.membership.me.serves
            assert not serves or vm.engine.config_sync.current is not None

    def teardown(self) -> None:
        """End all faults; check that the fleet converges."""
        self.world.heal()
        self.control.set_platform_faults()
        self._run(6000)
        fleet_view.run_until_views_agree(self.world, SETTLE_MS)
        self._run(13_000)
        assert fleet_view.views_agree(self.world)
        self._one_configuration()
        self._homes_exist()
        assert fleet_view.sequences_never_decrease(self.world)

    def _one_configuration(self) -> None:
        held = config.decode(self.world.platform.rows(store.RULES_KEY)[0].value)
        for vm in fleet_view.running_vms(self.world):
            current = vm.engine.config_sync.current
            assert current is not None
            assert current.document == held

    def _homes_exist(self) -> None:
        names = {vm.me.name for vm in fleet_view.running_vms(self.world)}
        for vm in fleet_view.running_vms(self.world):
            current = vm.engine.tables.epochs.current
            assert current is not None
            assert set(current.members) == names


# A VM that was asked to stop, that could not read its rules for seconds, or that
# resumed next to a network cut must recover without help. Otherwise an operator
# would see half of the fleet refuse flows that the other half serves.
TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=14,
    deadline=None,
    derandomize=True,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
