"""Concurrent operators on a failing platform, with a record of their edits."""

import random
import typing

from twisted.internet import defer, task

from eelgrasswick import (
    change,
    errors,
    history_config,
    store,
)
from tests import control_steps, world

KIND = history_config.Kind
OUTCOME = history_config.Outcome


class Operators:
    """Operators who edit the rules at one platform at the same time.

    Attributes:
        control: Bench with the platform and the VMs.
        world: World of the bench.
        rng: Source of all random draws.
        operations: Reads and swaps of the operators, with their outcomes.
        in_force: Changes that VMs put in force.
        failed_reads: Number of plans that failed because the store could not
            be read.
    """

    def __init__(self, seed: int, count: int, vms: int, wait_s: float = 0.4) -> None:
        """Start operators who edit until the run ends.

        Args:
            seed: Seed of all random draws.
            count: Number of operators.
            vms: Number of VMs that put the changes in force.
            wait_s: Longest wait of an operator between two edits, in seconds.
        """
        self._wait_s = wait_s
        self.control = control_steps.ControlBench()
        self.world = self.control.world
        self.rng = random.Random(seed)
        self.operations: list[history_config.Operation] = []
        self.in_force: list[history_config.InForce] = []
        self.failed_reads = 0
        self._edits = 0
        self._editing = True
        self.world.add_fleet(vms, control_steps.ZONES)
        self._start_recording_vms()
        for number in range(count):
            work = self._edit_until_stopped(f"operator{number}")
            defer.Deferred.fromCoroutine(work)

    def run(self, steps: int) -> history_config.History:
        """Inject random faults of the platform and return the history.

        Args:
            steps: Number of faults. Each of them lasts 0.2 s to 1.5 s.

        Returns:
            The history, after the last fault and the last edit have ended.
        """
        for _ in range(steps):
            self.control.set_platform_faults(**self._draw_faults())
            self.world.run(self.rng.randrange(200, 1500))
        self.control.set_platform_faults()
        self.world.run(2000)
        self._editing = False
        self.world.run(8000)
        return history_config.History(tuple(self.operations), tuple(self.in_force))

    def _draw_faults(self) -> dict[str, typing.Any]:
        return self.rng.choice(
            (
                {},
                {"outage": True},
                {"delay_ms": self.rng.randrange(1, 300)},
                {"lost_answers": self.rng.randrange(1, 4)},
                {"lost_answers": 1, "late_ms": self.rng.randrange(1, 2500)},
            )
        )

    async def _edit_until_stopped(self, name: str) -> None:
        operator = change.Operator(self.world.platform, name)
        while self._editing:
            await task.deferLater(
                self.world.clock, self.rng.random() * self._wait_s, _do_nothing
            )
            self._edits += 1
            text = f"{self.control.text}# edit {self._edits} by {name}\n"
            try:
                plan = await self._plan(operator, name, text)
            except errors.StoreError:
                self.failed_reads += 1
                continue
            await task.deferLater(
                self.world.clock, self.rng.random() * 0.2, _do_nothing
            )
            await self._submit(operator, name, plan)

    async def _plan(
        self, operator: change.Operator, name: str, text: str
    ) -> change.Plan:
        began_ms = self.world.now_ms
        plan = await operator.plan(text, began_ms)
        value = plan.before.change_id
        self._record(name, KIND.READ, began_ms, "", value, OUTCOME.DONE)
        return plan

    async def _submit(
        self, operator: change.Operator, name: str, plan: change.Plan
    ) -> None:
        began_ms = self.world.now_ms
        outcome = OUTCOME.DONE
        try:
            result = await operator.submit(plan)
            if result.outcome is change.Outcome.CONFLICT:
                outcome = OUTCOME.LOST
        except errors.ChangeUnknownError:
            outcome = OUTCOME.UNKNOWN
        except errors.StoreError as error:
            not_accepted = error.detail.startswith("not accepted")
            outcome = OUTCOME.REFUSED if not_accepted else OUTCOME.UNKNOWN
        before, after = plan.before.change_id, plan.after.change_id
        self._record(name, KIND.SWAP, began_ms, before, after, outcome)

    def _record(
        self,
        name: str,
        kind: history_config.Kind,
        began_ms: int,
        expected: str,
        value: str,
        outcome: history_config.Outcome,
    ) -> None:
        ended_ms = self.world.now_ms
        key = store.RULES_KEY
        item = (name, key, kind, began_ms, ended_ms, expected, value, outcome)
        self.operations.append(history_config.Operation(*item))

    def _start_recording_vms(self) -> None:
        loop = task.LoopingCall(self._record_vms)
        loop.clock = self.world.clock
        loop.start(0.005)

    def _record_vms(self) -> None:
        for vm in self.world.vms.values():
            record_in_force(vm, self.world.now_ms, self.in_force)


def record_in_force(
    vm: world.Vm, now_ms: int, recorded: list[history_config.InForce]
) -> None:
    """Record the configuration that a VM has in force, unless already recorded.

    Args:
        vm: VM to record.
        now_ms: Present time in milliseconds.
        recorded: Records so far, to which a new one is appended.
    """
    current = vm.engine.config_sync.current
    if current is None:
        return
    name = vm.me.name
    last = next((item for item in reversed(recorded) if item.vm == name), None)
    change_id = current.document.change_id
    if last is None or (last.sequence, last.value) != (current.sequence, change_id):
        recorded.append(
            history_config.InForce(name, now_ms, current.sequence, change_id)
        )


def _do_nothing() -> None:
    return
