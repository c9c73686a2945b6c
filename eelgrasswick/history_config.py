"""Records of what operators and VMs saw of the configuration, and their checks.

A harness records each operation with the times at which it began and ended.
``Linearizable`` looks for an order of all operations on a key that a register
with compare-and-swap could have had, where no operation comes before one that
had ended when it began. The search is that of Wing and Gong, "Testing and
Verifying Concurrent Objects" (1993), with the seen configurations cached as in
Lowe, "Testing for linearizability" (2017). ``Steady`` checks what VMs had in
force.
"""

import abc
import collections
import enum
import typing

NEVER_MS: typing.Final = 1 << 62


class Kind(enum.Enum):
    """What an operation does."""

    READ = "read"
    SWAP = "swap"


class Outcome(enum.Enum):
    """What the one who made an operation was told."""

    DONE = "done"
    LOST = "lost"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Operation(typing.NamedTuple):
    """One operation on a key.

    Attributes:
        process: Who made it.
        key: The key.
        kind: What it does.
        began_ms: When it began.
        ended_ms: When it ended.
        expected: For a swap, the value that it replaces.
        value: The value read or written; empty for none.
        outcome: ``LOST`` when another value was there, ``REFUSED`` when it was
            said to have no effect, ``UNKNOWN`` when it may have one, now or
            later.
    """

    process: str
    key: str
    kind: Kind
    began_ms: int
    ended_ms: int
    expected: str
    value: str
    outcome: Outcome


class InForce(typing.NamedTuple):
    """One VM put a configuration in force.

    Attributes:
        vm: Name of the VM.
        at_ms: When.
        sequence: Its sequence.
        value: Its change id.
    """

    vm: str
    at_ms: int
    sequence: int
    value: str


class History(typing.NamedTuple):
    """All that was recorded in one run, in the order of one clock."""

    operations: tuple[Operation, ...]
    in_force: tuple[InForce, ...]


class Checker(abc.ABC):
    """Checks one promise against a history."""

    @abc.abstractmethod
    def check(self, history: History) -> list[str]:
        """Return what breaks the promise, one sentence each."""


class Linearizable(Checker):
    """Each key behaves like one register with compare-and-swap."""

    def check(self, history: History) -> list[str]:
        """Return a sentence for each key without a possible order."""
        by_key: dict[str, list[Operation]] = collections.defaultdict(list)
        for item in history.operations:
            by_key[item.key].append(item)
        return [
            f"no order explains the {len(items)} operations on {key}"
            for key, items in sorted(by_key.items())
            if not _Search(items).found()
        ]


class Steady(Checker):
    """What a VM has in force was accepted, never goes back, and is one of a kind."""

    def check(self, history: History) -> list[str]:
        """Return a sentence for each VM and configuration that breaks this."""
        return [
            *_going_back(history.in_force),
            *_twins(history.in_force),
            *_foreign(history),
        ]


class _Search:
    """Looks for an order of the operations on one key."""

    def __init__(self, operations: list[Operation]) -> None:
        # Refused operations had no effect. A value of theirs that is seen all
        # the same then has no operation that wrote it.
        effective = [item for item in operations if item.outcome is not Outcome.REFUSED]
        self._operations = sorted(effective, key=lambda item: item.began_ms)
        self._seen: set[tuple[int, str]] = set()

    def found(self) -> bool:
        everything = (1 << len(self._operations)) - 1
        waiting = [(everything, "")]
        while waiting:
            left, value = waiting.pop()
            if self._over(left):
                return True
            for index in self._next(left):
                after = _apply(self._operations[index], value)
                state = (left & ~(1 << index), after) if after is not None else None
                if state is not None and state not in self._seen:
                    self._seen.add(state)
                    waiting.append(state)
        return False

    def _over(self, left: int) -> bool:
        return all(
            item.outcome is Outcome.UNKNOWN
            for index, item in enumerate(self._operations)
            if left >> index & 1
        )

    def _next(self, left: int) -> list[int]:
        """Return the operations before which no other one has to come."""
        present = [n for n in range(len(self._operations)) if left >> n & 1]
        first_end_ms = min(_end_ms(self._operations[n]) for n in present)
        return [n for n in present if self._operations[n].began_ms <= first_end_ms]


def _end_ms(item: Operation) -> int:
    # A write whose answer was lost can take effect long after it was given up.
    return NEVER_MS if item.outcome is Outcome.UNKNOWN else item.ended_ms


def _apply(item: Operation, value: str) -> str | None:
    """Return the register's value after an operation; None when impossible."""
    if item.kind is Kind.READ:
        return value if item.value == value else None
    matches = item.expected == value
    if item.outcome is Outcome.LOST:
        return value if not matches else None
    return item.value if matches else None


def _going_back(in_force: tuple[InForce, ...]) -> list[str]:
    last: dict[str, InForce] = {}
    faults = []
    for item in in_force:
        before = last.get(item.vm)
        if before is not None and item.sequence <= before.sequence:
            faults.append(
                f"{item.vm} went from {before.sequence} to {item.sequence} "
                f"at {item.at_ms}"
            )
        last[item.vm] = item
    return faults


def _twins(in_force: tuple[InForce, ...]) -> list[str]:
    values: dict[int, str] = {}
    faults = []
    for item in in_force:
        known = values.setdefault(item.sequence, item.value)
        if known != item.value:
            faults.append(
                f"{item.vm} has {item.value} as {item.sequence}, others {known}"
            )
    return faults


def _foreign(history: History) -> list[str]:
    possible = {
        item.value
        for item in history.operations
        if item.kind is Kind.SWAP and item.outcome in (Outcome.DONE, Outcome.UNKNOWN)
    }
    return [
        f"{item.vm} has {item.value} in force, which was not accepted"
        for item in history.in_force
        if item.value not in possible
    ]


def check(history: History) -> list[str]:
    """Return what breaks any promise, one sentence each."""
    return [*Linearizable().check(history), *Steady().check(history)]
