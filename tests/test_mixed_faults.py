"""Faults and planned changes in random order, under continuous load."""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from eelgrasswick.emulation import emulated_caller
from tests import flow_steps, world

MIN_VMS = 5
MAX_VMS = 10
ZONES = ("z1", "z2", "z3")
CUTS = (
    ("z1", "z2", "z3"),
    ("z2", "z1", "z3", "platform"),
    ("z3", "platform"),
)
PAUSES_MS = (500, 1200, 3000, 12_000)
SERVICES = ("desk", "vault", "ratio")
FIRST_PORT = 2000
PORTS = 40


class MixedFaults(stateful.RuleBasedStateMachine):
    """No combination of faults and changes may violate an invariant.

    VMs fail, leave, join, pause and are partitioned while operators edit the
    rules. A caller must never get another request's answer, a request must not
    run twice or at a wrong service, and a refused request must not have run.
    """

    def __init__(self) -> None:
        """Start a fleet on a network that drops and duplicates some packets."""
        super().__init__()
        link = world.Network(loss_share=0.02, duplicate_share=0.02)
        self.bench = flow_steps.FlowBench(world.World(3, link))
        self.turn = 0
        self.call_for(500)

    def call_for(self, ms: int) -> None:
        """Let callers open a flow every 20 ms, every seventh a longer one."""
        for _ in range(ms // 20):
            self.turn += 1
            port = FIRST_PORT + self.turn % PORTS
            parts = 12 if self.turn % 7 == 0 else 1
            name = SERVICES[self.turn % len(SERVICES)]
            self.bench.call_if_free(name, port, parts=parts, every_ms=250)
            self.bench.world.run(20)

    def running(self) -> list[str]:
        """Return the names of the running VMs, in the order of their start."""
        return [
            name
            for name, vm in self.bench.world.vms.items()
            if vm.alive and not vm.paused
        ]

    def pick(self, number: int) -> str | None:
        """Return a VM to stop; None when only ``MIN_VMS`` run."""
        names = self.running()
        return names[number % len(names)] if len(names) > MIN_VMS else None

    @stateful.rule(number=st.integers(0, 9), gap_ms=st.sampled_from((100, 1000, 4000)))
    def kill(self, number: int, gap_ms: int) -> None:
        """Stop a VM without warning."""
        name = self.pick(number)
        if name is not None:
            self.bench.world.kill(name)
        self.call_for(gap_ms)

    @stateful.rule(number=st.integers(0, 9), gap_ms=st.sampled_from((100, 1000, 4000)))
    def leave(self, number: int, gap_ms: int) -> None:
        """Let a VM leave the fleet in a planned shutdown."""
        name = self.pick(number)
        if name is not None:
            self.bench.world.leave(name)
        self.call_for(gap_ms)

    @stateful.rule(zone=st.sampled_from(ZONES), gap_ms=st.sampled_from((100, 2000)))
    def join(self, zone: str, gap_ms: int) -> None:
        """Start a VM, up to ``MAX_VMS``."""
        if len(self.running()) < MAX_VMS:
            self.bench.start_vm(zone)
        self.call_for(gap_ms)

    @stateful.rule(number=st.integers(0, 9), pause_ms=st.sampled_from(PAUSES_MS))
    def pause(self, number: int, pause_ms: int) -> None:
        """Pause a VM; packets that are sent to it wait until it resumes."""
        name = self.pick(number)
        if name is not None:
            self.bench.world.pause(name, pause_ms)
        self.call_for(500)

    @stateful.rule(places=st.sampled_from(CUTS), cut_ms=st.sampled_from((500, 5000)))
    def cut(self, places: tuple[str, ...], cut_ms: int) -> None:
        """Partition a zone from other places for ``cut_ms``."""
        self.bench.world.cut(*places)
        self.call_for(cut_ms)
        self.bench.world.heal()

    @stateful.rule(change=st.sampled_from(("drain", "undrain", "weigh", "add")))
    def edit(self, change: str) -> None:
        """Change the rules as an operator does."""
        bench = self.bench
        drains, more = flow_steps.DRAINS, flow_steps.ADDED_TARGETS
        text = bench.text.replace(drains, "").replace(more, "")
        edits: dict[str, typing.Callable[[], str]] = {
            "drain": lambda: text + drains,
            "undrain": lambda: text,
            "weigh": lambda: text.replace("weight=4 ", "weight=3 "),
            "add": lambda: text + more,
        }
        bench.submit_rules(edits[change]())
        self.call_for(300)

    def teardown(self) -> None:
        """Let all flows end and check the history."""
        # A caller gives up after GIVE_UP_MS without a packet.
        self.bench.world.run(2 * emulated_caller.GIVE_UP_MS)
        assert self.bench.world.violations() == []
        assert self.bench.world.callers.open_flows == 0


TestMixedFaults = MixedFaults.TestCase
TestMixedFaults.settings = hypothesis.settings(
    max_examples=10,
    stateful_step_count=8,
    # A run takes seconds, so that a failing example is reported without shrinking.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
