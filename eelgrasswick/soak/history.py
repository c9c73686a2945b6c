"""What callers, targets and operators saw in a run, and what must hold of it."""

import collections
import enum
import hashlib
import json
import pathlib
import typing

from eelgrasswick.soak import layout

# The operators' bounds: seconds after which a draining target gets no new flow
# and a changed configuration is in force everywhere, with what loopback and
# busy machines add.
DRAIN_LIMIT_S: typing.Final = 3.0
CONFIG_LIMIT_S: typing.Final = 3.0
# The users' bound from which an evacuated zone gets no new flow.
EVACUATION_LIMIT_S: typing.Final = 5.0
# New flows that a target may get in any second while it is cold.
MAX_COLD_FLOWS: typing.Final = 5
COLD_WINDOW_S: typing.Final = 1.0
TOLERANCE_S: typing.Final = 0.7
# Seconds at the end of a run without new faults, and the part of what is asked
# in them that must be answered.
RECOVERY_WINDOW_S: typing.Final = 4.0
MIN_SERVED_SHARE: typing.Final = 0.5


# Who sent a reset.
RESET_BY_VM: typing.Final = "by a VM"
RESET_BY_TARGET: typing.Final = "by a target"
PAUSE_FAULT: typing.Final = "target_pause"
# A pause lasts up to 4 s, and for 4 s after it what the target does late does
# not count.
PAUSE_EFFECT_S: typing.Final = 8.0


class Kind(enum.Enum):
    """What happened."""

    OPENED = "opened"
    RAN = "ran"
    ANSWERED = "answered"
    RESET = "reset"
    REFUSED = "refused"
    LOST = "lost"
    DRAINED = "drained"
    ROUTE_ADDED = "route_added"
    ROUTE_DROPPED = "route_dropped"
    EVACUATED = "evacuated"
    TAKEN_BACK = "taken_back"
    BEGUN = "begun"
    ENDED = "ended"
    FAULT = "fault"


REQUEST_ENDS: typing.Final = frozenset(
    {Kind.ANSWERED, Kind.LOST, Kind.RESET, Kind.REFUSED}
)


class Event(typing.NamedTuple):
    """One thing that someone saw.

    Attributes:
        at_s: Seconds on the machine's monotonic clock.
        kind: What happened.
        who: The target, caller or operator that saw it; the zone of an evacuation.
        flow: The flow's caller port and service port, where it is about one.
        request: Id of the request, where it is about one.
        detail: The service, the digest of an answer, the zone where a target
            begins, drains or ends, or the fault.
        sent_s: When the caller sent what the event is about; 0 where it does
            not matter.
    """

    at_s: float
    kind: Kind
    who: str
    flow: str = ""
    request: str = ""
    detail: str = ""
    sent_s: float = 0.0


class Violation(typing.NamedTuple):
    """A promise that a run broke.

    Attributes:
        invariant: Which one.
        event: The event that shows it.
        detail: Why.
    """

    invariant: str
    event: Event
    detail: str


def expected_response(request: str, size_bytes: int) -> bytes:
    """Return the one right answer to a request."""
    seed = hashlib.blake2b(request.encode(), digest_size=32).digest()
    return (seed * (size_bytes // len(seed) + 1))[:size_bytes]


def response_digest(answer: bytes) -> str:
    """Return a short digest of an answer."""
    return hashlib.blake2b(answer, digest_size=8).hexdigest()


def write(path: pathlib.Path, item: Event) -> None:
    """Append an event to a file, so that it outlives a killed process."""
    line = json.dumps([*item[:1], item.kind.value, *item[2:]])
    with path.open("a") as file:
        file.write(line + "\n")


def read(path: pathlib.Path) -> list[Event]:
    """Return the events in a file; a line that was cut by a kill is left out."""
    events = []
    for line in path.read_text().splitlines():
        try:
            at_s, kind, *rest = json.loads(line)
        except ValueError:
            continue
        events.append(Event(at_s, Kind(kind), *rest))
    return events


def check_invariants(events: typing.Sequence[Event]) -> list[Violation]:
    """Check all promises that hold at any time.

    Args:
        events: Everything that was seen, in any order.
    """
    ordered = sorted(events, key=lambda item: item.at_s)
    checks = (
        _once,
        _whole,
        _right_service,
        _drained,
        _evacuated,
        _cold,
        _config,
        _open_flows,
    )
    return [breach for check in checks for breach in check(ordered)]


def served_share(events: typing.Sequence[Event], end_s: float) -> float:
    """Return the part of all requests that was answered at the end of a run.

    Args:
        events: Everything that was seen.
        end_s: When the load ended; the seconds before and after it count.
    """
    last = [item for item in events if item.at_s >= end_s - RECOVERY_WINDOW_S]
    dropped = {item.flow for item in events if item.kind is Kind.ROUTE_DROPPED}
    asked = [
        item
        for item in last
        if item.kind in REQUEST_ENDS and item.flow.partition(">")[2] not in dropped
    ]
    answered = sum(item.kind is Kind.ANSWERED for item in asked)
    return answered / len(asked) if asked else 0.0


def check_recovery(events: typing.Sequence[Event], end_s: float) -> list[Violation]:
    """Check that the fleet serves again once all faults are over."""
    part = served_share(events, end_s)
    if part >= MIN_SERVED_SHARE:
        return []
    last = max(events, key=lambda item: item.at_s)
    return [Violation("recovery", last, f"only {part:.2f} are answered at the end")]


def _once(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    ran: dict[str, Event] = {}
    for item in events:
        if item.kind is not Kind.RAN:
            continue
        if item.request in ran:
            yield Violation("at most once", item, f"ran before: {ran[item.request]}")
        ran[item.request] = item


def _whole(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    ran = {item.request: item for item in events if item.kind is Kind.RAN}
    for item in events:
        if item.kind is not Kind.ANSWERED:
            continue
        source = ran.get(item.request)
        if source is None:
            yield Violation("own answer", item, "no target ran it")
        elif source.detail != item.detail:
            yield Violation("whole answer", item, f"the target sent {source.detail}")


def _right_service(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    services = {
        item.flow: item.detail for item in events if item.kind is Kind.ROUTE_ADDED
    }
    for item in events:
        if item.kind is Kind.OPENED:
            port = item.flow.partition(">")[2]
            if services.get(port) != item.detail:
                yield Violation(
                    "right service", item, f"the route is {services.get(port)}"
                )


def _drained(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    since_s: dict[str, float] = {}
    for item in events:
        if item.kind is Kind.DRAINED:
            since_s[item.who] = item.at_s
        elif item.kind is Kind.BEGUN:
            since_s.pop(item.who, None)
        elif item.kind is Kind.OPENED and item.who in since_s:
            late_s = item.at_s - since_s[item.who]
            if late_s > DRAIN_LIMIT_S + TOLERANCE_S:
                yield Violation("drain", item, f"{late_s:.2f} s after it said so")


def _evacuated(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    zones = {item.who: item.detail for item in events if item.kind is Kind.BEGUN}
    since_s: dict[str, float] = {}
    for item in events:
        if item.kind is Kind.EVACUATED:
            since_s[item.who] = item.at_s
        elif item.kind is Kind.TAKEN_BACK:
            since_s.pop(item.who, None)
        elif item.kind is Kind.OPENED:
            zone = zones.get(item.who, "")
            late_s = item.at_s - since_s.get(zone, item.at_s)
            if late_s > EVACUATION_LIMIT_S + TOLERANCE_S:
                yield Violation("evacuation", item, f"{zone}, {late_s:.2f} s after it")


def _cold(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    begun_s: dict[str, float] = {}
    opened_s: dict[str, collections.deque[float]] = {}
    for item in events:
        if item.kind is Kind.BEGUN:
            begun_s[item.who] = item.at_s
            opened_s[item.who] = collections.deque()
        if item.kind is not Kind.OPENED or item.detail != layout.COLD_SERVICE:
            continue
        if item.at_s - begun_s.get(item.who, 0.0) > layout.COLD_START_S:
            continue
        recent = opened_s[item.who]
        recent.append(item.at_s)
        while item.at_s - recent[0] >= COLD_WINDOW_S:
            recent.popleft()
        if len(recent) > MAX_COLD_FLOWS:
            yield Violation("cold", item, f"{len(recent)} flows in a second")


def _config(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    dropped_s: dict[str, float] = {}
    added_s: dict[str, float] = {}
    for item in events:
        if item.kind is Kind.ROUTE_DROPPED:
            dropped_s[item.flow] = item.at_s
        elif item.kind is Kind.ROUTE_ADDED:
            added_s[item.flow] = item.at_s
            dropped_s.pop(item.flow, None)
        port = item.flow.partition(">")[2]
        if item.kind is Kind.OPENED and port in dropped_s:
            late_s = item.sent_s - dropped_s[port]
            if late_s > CONFIG_LIMIT_S + TOLERANCE_S:
                yield Violation("config", item, f"dropped {late_s:.2f} s before")
        if item.kind is Kind.REFUSED and port in added_s and port not in dropped_s:
            late_s = item.sent_s - added_s[port]
            if late_s > CONFIG_LIMIT_S + TOLERANCE_S:
                yield Violation("config", item, f"added {late_s:.2f} s before")


def _open_flows(events: typing.Sequence[Event]) -> typing.Iterator[Violation]:
    lives: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
    for item in events:
        if item.kind is Kind.BEGUN:
            lives[item.who].append((item.at_s, float("inf")))
        elif item.kind is Kind.ENDED and lives[item.who]:
            lives[item.who][-1] = (lives[item.who][-1][0], item.at_s)
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
        if item.detail == RESET_BY_TARGET and _paused(pauses_s, item.at_s):
            # A target that was paused answers old opening packets when it wakes.
            # A caller that takes them up names it from then on, and if the VM
            # that knows better dies just then, its packets go there.
            continue
        source = opened.get(item.flow)
        if source is not None and _alive(lives[source.who], source.at_s, item.at_s):
            yield Violation("open flow", item, f"its target {source.who} lives")


def _paused(pauses_s: typing.Sequence[float], at_s: float) -> bool:
    return any(0 <= at_s - pause_s <= PAUSE_EFFECT_S for pause_s in pauses_s)


def _alive(lives: list[tuple[float, float]], from_s: float, to_s: float) -> bool:
    return any(begun <= from_s and to_s < ended for begun, ended in lives)
