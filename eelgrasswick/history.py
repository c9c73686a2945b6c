"""Records of concurrent runs, and checks of what must hold in every one.

A harness records what callers asked and were told and what targets received
and did, in the order of one clock. Each checker reads the whole history and
lists what breaks its promise, so one run can be checked for all promises.
"""

import abc
import collections
import enum
import typing


class Call(typing.NamedTuple):
    """A caller opened a flow with one request.

    Attributes:
        at_ms: When.
        number: Request number, unique over the run.
        flow: The flow, as ``packet.FlowKey`` prints it.
        service: Service that had the address when the flow began.
    """

    at_ms: int
    number: int
    flow: str
    service: str


class Delivery(typing.NamedTuple):
    """A packet of a flow came to a target.

    Attributes:
        at_ms: When.
        number: Request number of the call it belongs to. A packet can be held
            up for longer than a caller waits to use its port again, so neither
            the flow nor the time tells the call.
        flow: The flow.
        target: Name of the target.
        service: Service that the target works for.
        payload_bytes: Bytes of the caller in it; 0 for a SYN or an ACK.
    """

    at_ms: int
    number: int
    flow: str
    target: str
    service: str
    payload_bytes: int


class Start(typing.NamedTuple):
    """A target began to work on a request.

    Attributes:
        at_ms: When.
        number: Request number.
        flow: The flow on which it came.
        target: Name of the target.
        service: Service that the target works for.
    """

    at_ms: int
    number: int
    flow: str
    target: str
    service: str


class Outcome(enum.Enum):
    """How a flow ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    WRONG = "wrong"


class End(typing.NamedTuple):
    """A flow ended for its caller.

    Attributes:
        at_ms: When.
        number: Request number.
        outcome: How it ended; ``WRONG`` when an answer was not its own.
        target: Target named in the answer; empty without an answer.
        detail: What a refusal said, or why the flow broke.
    """

    at_ms: int
    number: int
    outcome: Outcome
    target: str
    detail: str


Record = Call | Delivery | Start | End


class Violation(typing.NamedTuple):
    """One breach of a promise.

    Attributes:
        promise: Name of the checker.
        subject: Request number or flow.
        detail: What happened.
    """

    invariant: str
    subject: str
    detail: str


class History:
    """The records of one run, in the order in which they happened."""

    def __init__(self, records: typing.Iterable[Record] = ()) -> None:
        """Start with some records or none."""
        self.calls: list[Call] = []
        self.deliveries: list[Delivery] = []
        self.starts: list[Start] = []
        self.ends: list[End] = []
        for item in records:
            self.add(item)

    def add(self, item: Record) -> None:
        """Append a record."""
        match item:
            case Call():
                self.calls.append(item)
            case Delivery():
                self.deliveries.append(item)
            case Start():
                self.starts.append(item)
            case End():
                self.ends.append(item)


class Checker(abc.ABC):
    """One promise, checked over a whole history."""

    @property
    def name(self) -> str:
        """Name of the promise in violations."""
        return type(self).__name__

    @abc.abstractmethod
    def check(self, run: History) -> list[Violation]:
        """Return every breach of the promise.

        Args:
            run: The history of one run.

        Returns:
            The violations; none when the promise held.
        """

    def _violation(self, subject: int | str, detail: str) -> Violation:
        return Violation(self.name, str(subject), detail)


class AtMostOnce(Checker):
    """No request is begun twice, whether at one target or at two."""

    def check(self, run: History) -> list[Violation]:
        """Count the starts of each request; see the base class."""
        counts = collections.Counter(item.number for item in run.starts)
        return [
            self._violation(number, f"begun {count} times")
            for number, count in counts.items()
            if count > 1
        ]


class OneTarget(Checker):
    """One target does the work of a flow, and the answer names it."""

    def check(self, run: History) -> list[Violation]:
        """Compare where a flow's work began with who answered."""
        targets: dict[int, set[str]] = collections.defaultdict(set)
        for item in run.starts:
            targets[item.number].add(item.target)
        for end in run.ends:
            if end.target:
                targets[end.number].add(end.target)
        return [
            self._violation(number, f"targets {', '.join(sorted(names))}")
            for number, names in targets.items()
            if len(names) > 1
        ]


class OwnWholeAnswer(Checker):
    """A caller gets one end per call, and never another request's answer."""

    def check(self, run: History) -> list[Violation]:
        """Compare each end with its call and with the work; see the base class."""
        calls = collections.Counter(item.number for item in run.calls)
        ends = collections.Counter(item.number for item in run.ends)
        started = {item.number for item in run.starts}
        found = [
            self._violation(number, f"{count} ends for {calls[number]} calls")
            for number, count in ends.items()
            if count > calls[number]
        ]
        for item in run.ends:
            if item.outcome is Outcome.WRONG:
                found.append(self._violation(item.number, item.detail))
            elif item.outcome is Outcome.WHOLE and item.number not in started:
                found.append(self._violation(item.number, "answered but never begun"))
        return found


class RefusedNotRun(Checker):
    """Of a flow that was refused, no target got a byte of work."""

    def check(self, run: History) -> list[Violation]:
        """Look for starts and payload of refused calls; see the base class."""
        refused = {item.number for item in run.ends if item.outcome is Outcome.REFUSED}
        found = [
            self._violation(item.number, f"begun at {item.target}")
            for item in run.starts
            if item.number in refused
        ]
        found += [
            self._violation(item.number, f"{item.payload_bytes} bytes at {item.target}")
            for item in run.deliveries
            if item.payload_bytes and item.number in refused
        ]
        return found


class NoWrongService(Checker):
    """No packet of a flow comes to a target of another service."""

    def check(self, run: History) -> list[Violation]:
        """Compare each delivery with the call it belongs to."""
        meant = {item.number: item.service for item in run.calls}
        arrived: list[Delivery | Start] = [*run.deliveries, *run.starts]
        return [
            self._violation(
                item.flow,
                f"of {meant[item.number]} at {item.target} of {item.service}",
            )
            for item in arrived
            if meant.get(item.number, item.service) != item.service
        ]


CHECKERS: typing.Final[tuple[Checker, ...]] = (
    AtMostOnce(),
    OneTarget(),
    OwnWholeAnswer(),
    RefusedNotRun(),
    NoWrongService(),
)


def check(
    run: History, checkers: typing.Iterable[Checker] = CHECKERS
) -> list[Violation]:
    """Return the breaches of all promises in one history."""
    return [breach for item in checkers for breach in item.check(run)]
