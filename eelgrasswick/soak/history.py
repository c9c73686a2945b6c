"""Events that callers, targets and the operator record, and their invariants."""

import collections
import enum
import hashlib
import json
import pathlib
import typing

from eelgrasswick.soak import layout

# The operators require that a draining target gets no new flow, and that a changed
# configuration is in force on all VMs, after this time.
DRAIN_LIMIT_S: typing.Final = 3.0
CONFIG_LIMIT_S: typing.Final = 3.0
# The users require that an evacuated zone gets no new flow after this time.
EVACUATION_LIMIT_S: typing.Final = 5.0
# A cold target may get up to this number of new flows in any window of this length.
MAX_COLD_FLOWS: typing.Final = 5
COLD_WINDOW_S: typing.Final = 1.0
# Each limit is extended by this time, for the delays of loopback and busy machines.
TOLERANCE_S: typing.Final = 0.7
# No new fault begins in the last seconds of a run, and at least this share of the
# requests that end in them must be answered.
RECOVERY_WINDOW_S: typing.Final = 4.0
MIN_SERVED_SHARE: typing.Final = 0.5

# The detail of a RESET or REFUSED event names the sender of the reset.
RESET_BY_VM: typing.Final = "by a VM"
RESET_BY_TARGET: typing.Final = "by a target"
# Kind of the fault that suspends a target.
PAUSE_FAULT: typing.Final = "target_pause"
# Kind of the fault that asks for more than the targets can serve, so that VMs refuse
# flows. Queues of targets are empty again this long after it.
OVERLOAD_FAULT: typing.Final = "overload"
OVERLOAD_EFFECT_S: typing.Final = 2.0
# Kind of the event that a process has ended and is started again, with its exit code.
RESTART: typing.Final = "restart"
# Kind of the event that processes of the run waited for a core.
STARVED: typing.Final = "starved"
# Names of entry VMs begin with this prefix.
VM_PREFIX: typing.Final = "vm"
# A run that has these faults alone loses no flow.
HARMLESS_FAULTS: typing.Final = frozenset(
    {"vm_clock_step", "entry_unreadable", "route_add", "config_series", "vm_hup"}
)
# A pause lasts up to 4 s, and late resets by the target are allowed for 4 s after it.
PAUSE_EFFECT_S: typing.Final = 8.0


class Kind(enum.Enum):
    """Kinds of recorded events."""

    SENT = "sent"
    ARRIVED = "arrived"
    OPENED = "opened"
    RAN = "ran"
    ANSWERED = "answered"
    RESET = "reset"
    REFUSED = "refused"
    LOST = "lost"
    TURNED_AWAY = "turned_away"
    DRAINED = "drained"
    ROUTE_ADDED = "route_added"
    ROUTE_DROPPED = "route_dropped"
    EVACUATED = "evacuated"
    TAKEN_BACK = "taken_back"
    BEGUN = "begun"
    ENDED = "ended"
    FAULT = "fault"


REQUEST_ENDS: typing.Final = frozenset(
    {Kind.ANSWERED, Kind.LOST, Kind.RESET, Kind.REFUSED, Kind.TURNED_AWAY}
)


class Event(typing.NamedTuple):
    """An observation by a caller, a target or the operator.

    Attributes:
        at_s: Seconds on the machine's monotonic clock.
        kind: Kind of the event.
        who: The observing target, caller or operator; the zone of an evacuation.
        flow: Caller port and service port of the flow, for events about a flow. A
            route event has the service port alone.
        request: Id of the request, for events about a request.
        detail: The service, the digest of a response, the zone where a target
            starts, drains or ends, the sender of a reset, the number of a copy of
            an opening packet, or the fault.
        sent_s: Monotonic time at which the caller began to open the flow; 0 where
            it does not matter.
        cookie: Cookie of the packet that a target records; 0 for other events.
    """

    at_s: float
    kind: Kind
    who: str
    flow: str = ""
    request: str = ""
    detail: str = ""
    sent_s: float = 0.0
    cookie: int = 0


class Violation(typing.NamedTuple):
    """A breach of an invariant in a run.

    Attributes:
        invariant: Name of the invariant.
        event: The event that breaches it.
        detail: Reason why the event is a breach.
    """

    invariant: str
    event: Event
    detail: str


# Response of a target that has no room for a request.
FULL_RESPONSE: typing.Final = b"full"


def expected_response(request: str, size_bytes: int) -> bytes:
    """Return the only correct response to a request."""
    seed = hashlib.blake2b(request.encode(), digest_size=32).digest()
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]


def response_digest(response: bytes) -> str:
    """Return a short digest of a response."""
    return hashlib.blake2b(response, digest_size=8).hexdigest()


def write(path: pathlib.Path, item: Event) -> None:
    """Append an event to a file, where it survives a kill of the process."""
    line = json.dumps([*item[:1], item.kind.value, *item[2:]])
    with path.open("a") as file:
        file.write(line + "\n")


def read(path: pathlib.Path) -> list[Event]:
    """Return the events in a file, except for a line that a kill truncated."""
    events = []
    for line in path.read_text().splitlines():
        try:
            at_s, kind, *rest = json.loads(line)
        except ValueError:
            continue
        events.append(Event(at_s, Kind(kind), *rest))
    return events


def check_invariants(events: typing.Sequence[Event]) -> list[Violation]:
    """Return all violations of the invariants that hold at any time.

    Args:
        events: All recorded events, in any order.
    """
    ordered = sorted(events, key=lambda item: item.at_s)
    checks = (
        _check_single_execution,
        _check_responses,
        _check_services,
        _check_drains,
        _check_evacuations,
        _check_cold_targets,
        _check_routes,
        _check_open_flows,
        _check_own_ends,
        _check_harmless_faults,
    )
    return [violation for check in checks for violation in check(ordered)]


def served_share(events: typing.Sequence[Event], end_s: float) -> float:
    """Return the share of requests at the end of a run that were answered.

    Requests on routes that were dropped during the run are left out.

    Args:
        events: All recorded events.
        end_s: Monotonic time at which the load ended. Requests that ended up to
            RECOVERY_WINDOW_S before it, or after it, are counted.
    """
    late = [item for item in events if item.at_s >= end_s - RECOVERY_WINDOW_S]
    dropped = {item.flow for item in events if item.kind is Kind.ROUTE_DROPPED}
    ended = [
        item
        for item in late
        if item.kind in REQUEST_ENDS and item.flow.partition(">")[2] not in dropped
    ]
    answered = sum(item.kind is Kind.ANSWERED for item in ended)
    return answered / len(ended) if ended else 0.0


def check_recovery(events: typing.Sequence[Event], end_s: float) -> list[Violation]:
    """Return a violation if the fleet does not recover after the last fault."""
    share = served_share(events, end_s)
    if share >= MIN_SERVED_SHARE:
        return []
    last = max(events, key=lambda item: item.at_s)
    return [
        Violation(
            "recovery",
            last,
            f"only {share:.2f} of the requests at the end were answered",
        )
    ]


def _check_single_execution(
    events: typing.Sequence[Event],
) -> typing.Iterator[Violation]:
    executed: dict[str, Event] = {}
    for item in events:
        if item.kind is not Kind.RAN:
            continue
        if item.request in executed:
            yield Violation(
                "at most once",
                item,
                f"the request was executed before: {executed[item.request]}",
            )
        executed[item.request] = item


def _check_responses(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    executed = {item.request: item for item in events if item.kind is Kind.RAN}
    for item in events:
        if item.kind is not Kind.ANSWERED:
            continue
        source = executed.get(item.request)
        if source is None:
            yield Violation("own answer", item, "no target executed the request")
        elif source.detail != item.detail:
            yield Violation(
                "whole answer",
                item,
                f"the target sent a response with digest {source.detail}",
            )


def _check_services(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    services = {
        item.flow: item.detail for item in events if item.kind is Kind.ROUTE_ADDED
    }
    for item in events:
        if item.kind is Kind.OPENED:
            port = item.flow.partition(">")[2]
            if services.get(port) != item.detail:
                yield Violation(
                    "right service",
                    item,
                    f"the route leads to service {services.get(port)}",
                )


def _check_drains(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    drained_s: dict[str, float] = {}
    for item in events:
        if item.kind is Kind.DRAINED:
            drained_s[item.who] = item.at_s
        elif item.kind is Kind.BEGUN:
            drained_s.pop(item.who, None)
        elif item.kind is Kind.OPENED and item.who in drained_s:
            late_s = item.at_s - drained_s[item.who]
            if late_s > DRAIN_LIMIT_S + TOLERANCE_S:
                yield Violation(
                    "drain", item, f"{late_s:.2f} s after the drain was confirmed"
                )


def _check_evacuations(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    zones = {item.who: item.detail for item in events if item.kind is Kind.BEGUN}
    evacuated_s: dict[str, float] = {}
    for item in events:
        if item.kind is Kind.EVACUATED:
            evacuated_s[item.who] = item.at_s
        elif item.kind is Kind.TAKEN_BACK:
            evacuated_s.pop(item.who, None)
        elif item.kind is Kind.OPENED:
            zone = zones.get(item.who, "")
            late_s = item.at_s - evacuated_s.get(zone, item.at_s)
            if late_s > EVACUATION_LIMIT_S + TOLERANCE_S:
                yield Violation(
                    "evacuation",
                    item,
                    f"{zone}, {late_s:.2f} s after the evacuation was confirmed",
                )


def _check_cold_targets(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    started_s: dict[str, float] = {}
    opened_s: dict[str, collections.deque[float]] = {}
    for item in events:
        if item.kind is Kind.BEGUN:
            started_s[item.who] = item.at_s
            opened_s[item.who] = collections.deque()
        if item.kind is not Kind.OPENED or item.detail != layout.COLD_SERVICE:
            continue
        if item.at_s - started_s.get(item.who, 0.0) > layout.COLD_START_S:
            continue
        recent = opened_s[item.who]
        recent.append(item.at_s)
        while item.at_s - recent[0] >= COLD_WINDOW_S:
            recent.popleft()
        if len(recent) > MAX_COLD_FLOWS:
            yield Violation("cold", item, f"{len(recent)} flows within one second")


def _check_routes(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    dropped_s: dict[str, float] = {}
    added_s: dict[str, float] = {}
    overload_end_s = 0.0
    for item in events:
        if item.kind is Kind.FAULT and item.detail.startswith(OVERLOAD_FAULT):
            overload_end_s = fault_end_s(item) + OVERLOAD_EFFECT_S
        if item.kind is Kind.ROUTE_DROPPED:
            dropped_s[item.flow] = item.at_s
        elif item.kind is Kind.ROUTE_ADDED:
            added_s[item.flow] = item.at_s
            dropped_s.pop(item.flow, None)
        port = item.flow.partition(">")[2]
        if item.kind is Kind.OPENED and port in dropped_s:
            late_s = item.sent_s - dropped_s[port]
            if late_s > CONFIG_LIMIT_S + TOLERANCE_S:
                yield Violation(
                    "config",
                    item,
                    f"flow begun {late_s:.2f} s after the route was dropped",
                )
        if item.kind is not Kind.REFUSED or item.at_s <= overload_end_s:
            continue
        if port in added_s and port not in dropped_s:
            late_s = item.sent_s - added_s[port]
            if late_s > CONFIG_LIMIT_S + TOLERANCE_S:
                yield Violation(
                    "config",
                    item,
                    f"flow begun {late_s:.2f} s after the route was added",
                )


def fault_end_s(item: Event) -> float:
    """Return the end of a fault, which is recorded with its duration in ``who``."""
    prefix, _, duration = item.who.partition(" ")
    return item.at_s + (float(duration) if prefix == "for" else 0.0)


def _check_open_flows(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    lifetimes: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for item in events:
        if item.kind is Kind.BEGUN:
            lifetimes[item.who].append((item.at_s, float("inf")))
        elif item.kind is Kind.ENDED and lifetimes[item.who]:
            begun_s, ended_s = lifetimes[item.who][-1]
            # A process that is killed while it starts ends without having begun.
            lifetimes[item.who][-1] = (begun_s, min(ended_s, item.at_s))
    pauses_s = [
        item.at_s
        for item in events
        if item.kind is Kind.FAULT and item.detail.startswith(PAUSE_FAULT)
    ]
    opened: dict[str, Event] = {}
    dropped = {item.flow for item in events if item.kind is Kind.ROUTE_DROPPED}
    for item in events:
        if item.kind is Kind.OPENED:
            opened[item.flow] = item
        if item.kind is not Kind.RESET or item.flow.partition(">")[2] in dropped:
            continue
        if item.detail == RESET_BY_TARGET and _soon_after_pause(pauses_s, item.at_s):
            # A paused target answers old SYN packets when it resumes. A caller that
            # accepts such a SYN-ACK sends the cookie of this target from then on.
            # If the VM that recorded the flow's true target dies at this moment,
            # the other VMs route the caller's packets to the resumed target.
            continue
        source = opened.get(item.flow)
        if source is not None and _alive(lifetimes[source.who], source.at_s, item.at_s):
            yield Violation(
                "open flow", item, f"target {source.who} of the flow still runs"
            )


def _check_own_ends(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    for item in events:
        kind, _, exit_code = item.detail.partition(" ")
        if item.kind is not Kind.FAULT or kind != RESTART:
            continue
        # An end by a signal has a negative exit code, a planned stop has 0.
        if item.who.startswith(VM_PREFIX) and int(exit_code) > 0:
            yield Violation("own end", item, f"ended by itself, exit code {exit_code}")


def _check_harmless_faults(
    events: typing.Sequence[Event],
) -> typing.Iterator[Violation]:
    details = [item.detail for item in events if item.kind is Kind.FAULT]
    if not all(detail.partition(" ")[0] in HARMLESS_FAULTS for detail in details):
        return
    for item in events:
        if details and item.kind is Kind.LOST:
            yield Violation("harmless faults", item, "no fault explains the loss")


def _soon_after_pause(pauses_s: typing.Sequence[float], at_s: float) -> bool:
    return any(0 <= at_s - pause_s <= PAUSE_EFFECT_S for pause_s in pauses_s)


def _alive(lifetimes: list[tuple[float, float]], from_s: float, to_s: float) -> bool:
    return any(
        started_s <= from_s and to_s < ended_s for started_s, ended_s in lifetimes
    )
