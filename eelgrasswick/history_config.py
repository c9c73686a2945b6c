"""Histories of configuration operations, and checkers of their invariants.

A harness records each operation with the times at which it started and ended.
``Linearizable`` searches for an order of all operations on a key that a register
with compare-and-swap could have produced, in which no operation precedes one that
had ended before it started. The search is that of Wing and Gong, "Testing and
Verifying Concurrent Objects" (1993), with visited configurations cached as in
Lowe, "Testing for linearizability" (2017). ``Steady`` checks the configurations
that VMs had in force.
"""

import abc
import collections
import enum
import typing

NEVER_ENDED_MS: typing.Final = 1 << 62


class Kind(enum.Enum):
    """Kind of an operation on a key."""

    READ = "read"
    SWAP = "swap"


class Outcome(enum.Enum):
    """Outcome of an operation as reported to its process."""

    DONE = "done"
    LOST = "lost"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Operation(typing.NamedTuple):
    """One operation on a key.

    Attributes:
        process: Name of the operator or reader that made it.
        key: Key of the register.
        kind: Read or swap.
        began_ms: Time at which it started.
        ended_ms: Time at which it ended.
        expected: For a swap, the value that it replaces.
        value: The value read or written; empty for none.
        outcome: ``LOST`` when the key had another value than expected, ``REFUSED``
            when the operation was reported to have no effect, ``UNKNOWN`` when it
            may take effect, also after its end.
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
        at_ms: Time of the event.
        sequence: Sequence of the configuration.
        value: Change id of the configuration.
    """

    vm: str
    at_ms: int
    sequence: int
    value: str


class History(typing.NamedTuple):
    """The records of one run, in the order of one clock."""

    operations: tuple[Operation, ...]
    in_force: tuple[InForce, ...]


class Checker(abc.ABC):
    """Checks one invariant over a history."""

    @abc.abstractmethod
    def check(self, history: History) -> list[str]:
        """Return the violations of the invariant, one sentence each."""


class Linearizable(Checker):
    """Each key behaves like one register with compare-and-swap."""

    def check(self, history: History) -> list[str]:
        """Return a sentence for each key whose operations have no valid order."""
        by_key: dict[str, list[Operation]] = collections.defaultdict(list)
        for item in history.operations:
            by_key[item.key].append(item)
        return [
            f"no order explains the {len(items)} operations on {key}"
            for key, items in sorted(by_key.items())
            if not _Search(items).found()
        ]


class Steady(Checker):
    """Configurations in force are accepted, monotonic, and unique per sequence."""

    def check(self, history: History) -> list[str]:
        """Return a sentence for each VM and configuration in violation."""
        return [
            *_sequence_decreases(history.in_force),
            *_duplicate_sequences(history.in_force),
            *_not_accepted(history),
        ]


class _Search:
    """Searches for a valid order of the operations on one key."""

    def __init__(self, operations: list[Operation]) -> None:
        # Refused operations must have no effect, so they are left out. If the value
        # of one is read nevertheless, no operation explains it.
        effective = [item for item in operations if item.outcome is not Outcome.REFUSED]
        self._operations = sorted(effective, key=lambda item: item.began_ms)
        self._visited: set[tuple[int, str]] = set()

    def found(self) -> bool:
        all_operations = (1 << len(self._operations)) - 1
        waiting = [(all_operations, "")]
        while waiting:
            remaining, value = waiting.pop()
            if self._may_stop(remaining):
                return True
            for index in self._candidates(remaining):
                after = _apply(self._operations[index], value)
                state = (
                    (remaining & ~(1 << index), after) if after is not None else None
                )
                if state is not None and state not in self._visited:
                    self._visited.add(state)
                    waiting.append(state)
        return False

    def _may_stop(self, remaining: int) -> bool:
        return all(
            item.outcome is Outcome.UNKNOWN
            for index, item in enumerate(self._operations)
            if remaining >> index & 1
        )

    def _candidates(self, remaining: int) -> list[int]:
        """Return the operations that no remaining operation has to precede."""
        present = [n for n in range(len(self._operations)) if remaining >> n & 1]
        first_end_ms = min(_end_ms(self._operations[n]) for n in present)
        return [n for n in present if self._operations[n].began_ms <= first_end_ms]


def _end_ms(item: Operation) -> int:
    # A write whose response was lost can take effect long after its process gave up.
    return NEVER_ENDED_MS if item.outcome is Outcome.UNKNOWN else item.ended_ms


def _apply(item: Operation, value: str) -> str | None:
    """Return the register's value after an operation, or None if it is impossible."""
    if item.kind is Kind.READ:
        return value if item.value == value else None
    matches = item.expected == value
    if item.outcome is Outcome.LOST:
        return value if not matches else None
    return item.value if matches else None


def _sequence_decreases(in_force: tuple[InForce, ...]) -> list[str]:
    last: dict[str, InForce] = {}
    violations = []
    for item in in_force:
        before = last.get(item.vm)
        if before is not None and item.sequence <= before.sequence:
            violations.append(
                f"{item.vm} went from {before.sequence} to {item.sequence} "
                f"at {item.at_ms}"
            )
        last[item.vm] = item
    return violations


def _duplicate_sequences(in_force: tuple[InForce, ...]) -> list[str]:
    values: dict[int, str] = {}
    violations = []
    for item in in_force:
        known = values.setdefault(item.sequence, item.value)
        if known != item.value:
            violations.append(
                f"{item.vm} has {item.value} as {item.sequence}, others {known}"
            )
    return violations


def _not_accepted(history: History) -> list[str]:
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
    """Return the violations of all invariants, one sentence each."""
    return [*Linearizable().check(history), *Steady().check(history)]
