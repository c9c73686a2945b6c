"""Histories of concurrent runs, and checkers of the invariants of every run.

A harness records the requests and outcomes of callers and the packets and work of
targets, in the order of one clock. Each checker reads the whole history and lists
the violations of its invariant, so one run can be checked for all invariants.
"""

import abc
import collections
import enum
import typing


class Call(typing.NamedTuple):
    """A caller opened a flow with one request.

    Attributes:
        at_ms: Time of the event.
        number: Request number, unique in the run.
        flow: The flow, as ``packet.FlowKey`` prints it.
        service: Service that had the address when the flow was opened.
    """

    at_ms: int
    number: int
    flow: str
    service: str


class Delivery(typing.NamedTuple):
    """A packet of a flow arrived at a target.

    Attributes:
        at_ms: Time of the event.
        number: Request number of the call that the packet belongs to. A packet can
            be delayed for longer than a caller waits to reuse its port, so neither
            the flow nor the time identifies the call.
        flow: The flow.
        target: Name of the target.
        service: Service that the target works for.
        payload_bytes: Payload bytes in the packet; 0 for a SYN or an ACK.
    """

    at_ms: int
    number: int
    flow: str
    target: str
    service: str
    payload_bytes: int


class Start(typing.NamedTuple):
    """A target started to work on a request.

    Attributes:
        at_ms: Time of the event.
        number: Request number.
        flow: The flow of the request.
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
        at_ms: Time of the event.
        number: Request number.
        outcome: How the flow ended; ``WRONG`` when the answer was another
            request's.
        target: Target named in the answer; empty without an answer.
        detail: Text of a refusal, or the reason why the flow broke.
    """

    at_ms: int
    number: int
    outcome: Outcome
    target: str
    detail: str


Record = Call | Delivery | Start | End


class Violation(typing.NamedTuple):
    """One violation of an invariant.

    Attributes:
        invariant: Name of the checker.
        subject: Request number or flow.
        detail: Description of the violation.
    """

    invariant: str
    subject: str
    detail: str


class History:
    """The records of one run, in the order of their times."""

    def __init__(self, records: typing.Iterable[Record] = ()) -> None:
        """Create a history with the given records, if any."""
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
    """Checks one invariant over a whole history."""

    @property
    def name(self) -> str:
        """Name of the invariant in violations."""
        return type(self).__name__

    @abc.abstractmethod
    def check(self, run: History) -> list[Violation]:
        """Return every violation of the invariant.

        Args:
            run: The history of one run.

        Returns:
            The violations; none when the invariant held.
        """

    def _violation(self, subject: int | str, detail: str) -> Violation:
        return Violation(self.name, str(subject), detail)


class AtMostOnce(Checker):
    """No request is started twice, at the same target or at two."""

    def check(self, run: History) -> list[Violation]:
        """Count the starts of each request; see the base class."""
        counts = collections.Counter(item.number for item in run.starts)
        return [
            self._violation(number, f"started {count} times")
            for number, count in counts.items()
            if count > 1
        ]


class OneTarget(Checker):
    """Only one target works on a flow, and the answer names that target."""

    def check(self, run: History) -> list[Violation]:
        """Compare the targets that started work with the one in the answer."""
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
    """Each call ends at most once, and never with another request's answer."""

    def check(self, run: History) -> list[Violation]:
        """Compare each end with its call and the started work; see the base class."""
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
                found.append(self._violation(item.number, "answered but never started"))
        return found


class RefusedNotRun(Checker):
    """No target receives payload of a refused flow or works on it."""

    def check(self, run: History) -> list[Violation]:
        """Find started work and payload of refused calls; see the base class."""
        refused = {item.number for item in run.ends if item.outcome is Outcome.REFUSED}
        found = [
            self._violation(item.number, f"started at {item.target}")
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
    """No packet of a flow arrives at a target of another service."""

    def check(self, run: History) -> list[Violation]:
        """Compare the service of each delivery and start with that of its call."""
        called_service = {item.number: item.service for item in run.calls}
        arrived: list[Delivery | Start] = [*run.deliveries, *run.starts]
        return [
            self._violation(
                item.flow,
                f"of {called_service[item.number]} at {item.target} of {item.service}",
            )
            for item in arrived
            if called_service.get(item.number, item.service) != item.service
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
    """Return the violations of all invariants in one history."""
    return [found for item in checkers for found in item.check(run)]
