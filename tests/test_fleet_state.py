"""Membership and configuration under faults drawn at random.

Kills, pauses, cuts, outages and restores come in any order, two at once among
them. Afterwards every VM must know the same fleet and have one configuration.
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
SPOILED = (b"", b"garbage")
SETTLE_MS = 20_000
MIN_VMS = 3
OTHERS = (ZONES, (*ZONES, world.PLATFORM), (world.PLATFORM,), ZONES[:1])


class Fleet(stateful.RuleBasedStateMachine):
    """A fleet of six VMs, an operator and the platform."""

    def __init__(self) -> None:
        """Start the fleet and wait until it serves."""
        super().__init__()
        self.control = control_steps.Control()
        control_steps.given_fleet(self.control, 6)
        self.world = self.control.world
        self.in_force: list[history_config.InForce] = []
        self.started = 6
        self.restored = False

    def _run(self, ms: int) -> None:
        for _ in range(ms // 50):
            self.world.run(50)
            for vm in self.world.vms.values():
                operators.note_in_force(vm, self.world.now_ms, self.in_force)

    @stateful.rule(ms=st.integers(100, 12_000))
    def time_passes(self, ms: int) -> None:
        """Nothing happens for a while."""
        self._run(ms)

    @stateful.rule(pick=st.integers(0, 99))
    def kill(self, pick: int) -> None:
        """A VM loses its power."""
        running = fleet_view.running(self.world)
        if len(running) > MIN_VMS:
            self.world.kill(running[pick % len(running)].me.name)

    @stateful.rule(pick=st.integers(0, 99))
    def leave(self, pick: int) -> None:
        """An operator stops a VM."""
        running = fleet_view.running(self.world)
        if len(running) > MIN_VMS:
            self.world.leave(running[pick % len(running)].me.name)

    @stateful.rule(zone=st.sampled_from(ZONES))
    def start(self, zone: str) -> None:
        """A new VM starts."""
        if self.started < 10:
            self.started += 1
            self.world.add_vm(f"vm{self.started}", zone)

    @stateful.rule(pick=st.integers(0, 99), ms=st.integers(200, 6000))
    def pause(self, pick: int, ms: int) -> None:
        """A VM does not run for a while."""
        running = fleet_view.running(self.world)
        if len(running) > 1:
            self.world.pause(running[pick % len(running)].me.name, ms)

    @stateful.rule(
        zone=st.sampled_from(ZONES),
        others=st.sampled_from(OTHERS),
        both=st.booleans(),
    )
    def cut(self, zone: str, others: tuple[str, ...], both: bool) -> None:
        """A zone loses other places, or one way to them is lost."""
        for other in others:
            if both or other == world.PLATFORM:
                self.world.cut(zone, other)
            elif other != zone:
                self.world.one_way.add((zone, other))

    @stateful.rule()
    def heal(self) -> None:
        """All cuts end."""
        self.world.heal()

    @stateful.rule(fault=st.sampled_from([{}, {"outage": True}, {"delay_ms": 300}]))
    def platform(self, fault: dict[str, typing.Any]) -> None:
        """The platform goes down, gets slow or recovers."""
        self.control.faults(**fault)

    @stateful.rule()
    def mute(self) -> None:
        """All watches stop to pass changes on."""
        self.world.platform.mute_watches()

    @stateful.rule()
    def copy(self) -> None:
        """The platform's operators take a copy."""
        self.world.platform.save()
        self.restored = True

    @stateful.precondition(lambda self: self.restored)
    @stateful.rule()
    def restore(self) -> None:
        """The platform's operators go back to the copy."""
        if not self.world.platform.faults.outage:
            self.world.platform.restore()

    @stateful.rule()
    def edit(self) -> None:
        """An operator changes the rules, when the platform has some."""
        held = self.world.platform.rows(store.RULES_KEY)[0].value
        if held not in SPOILED and not self.world.platform.faults.outage:
            self.control.text += "# edited\n"
            result = self.world.apply(self.control.text)
            assert result.outcome is not change.Outcome.CONFLICT

    @stateful.rule(value=st.sampled_from(SPOILED))
    def spoil(self, value: bytes) -> None:
        """Something else writes under the key."""
        put = store.Put(store.RULES_KEY, value)
        self.world.platform.write((), (put,))

    @stateful.invariant()
    def never_back(self) -> None:
        """No VM's sequence goes back."""
        assert fleet_view.monotone(self.world)

    @stateful.invariant()
    def serves_only_with_rules(self) -> None:
        """No VM serves without a configuration."""
        for vm in fleet_view.running(self.world):
            serves = vm.engine.membership.me.serves
            assert not serves or vm.engine.keeper.current is not None

    def teardown(self) -> None:
        """End all faults; the fleet must come together again."""
        self.world.heal()
        self.control.faults()
        self._run(6000)
        fleet_view.settle_ms(self.world, SETTLE_MS)
        self._run(13_000)
        assert fleet_view.agreed(self.world)
        self._one_configuration()
        self._homes_exist()
        assert fleet_view.monotone(self.world)

    def _one_configuration(self) -> None:
        held = config.decode(self.world.platform.rows(store.RULES_KEY)[0].value)
        for vm in fleet_view.running(self.world):
            current = vm.engine.keeper.current
            assert current is not None
            assert current.document == held

    def _homes_exist(self) -> None:
        names = {vm.me.name for vm in fleet_view.running(self.world)}
        for vm in fleet_view.running(self.world):
            current = vm.engine.tables.epochs.current
            assert current is not None
            assert set(current.members) == names


# A VM that was asked to stop, kept from its rules for seconds, or woken beside
# a cut has to find its way back without help; an operator would otherwise see
# half of the fleet refuse what the other half serves.
TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=14,
    deadline=None,
    derandomize=True,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
