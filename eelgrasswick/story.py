"""Extraction of the log lines that explain one flow.

A flow's packets pass several VMs, and the decisions of a VM depend on the state it
had at the time. Among the logs of sixty VMs the few relevant lines are hard to
find: those of the flow, the last event of each target that it was sent to, and the
losses and recoveries of dependencies around that time.
"""

import datetime
import json
import re
import typing

# Events of targets and dependencies are included within this time of a flow's lines.
CONTEXT_S: typing.Final = 3.0
_PAIR: typing.Final = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
_FLOW_EVENT: typing.Final = re.compile(r"^flow_")
_TARGET_EVENTS: typing.Final = frozenset(
    {"target_known", "target_gone", "target_dead", "target_probed"}
)
_DEPENDENCY_EVENTS: typing.Final = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "ready",
        "not_ready",
        "woke",
        "config_in_force",
        "evacuation_in_force",
        "evacuation_over",
        "entry_refused",
        "row_refused",
        "store_lost",
        "store_regained",
        "store_history_gone",
        "peer_lost",
        "peer_regained",
        "log_bounded",
        "internal_error",
        "row_failed",
        "task_failed",
        "early_start_failed",
        "start_failed",
    }
)


class Line(typing.NamedTuple):
    """One event of a log.

    Attributes:
        at: Time of the event by the VM's clock.
        event: Name of the event.
        vm: Name of the VM that wrote the line.
        fields: The other fields, as text.
    """

    at: datetime.datetime
    event: str
    vm: str
    fields: dict[str, str]

    def __str__(self) -> str:
        """Return the line in a form for people."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        at = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{at} {self.vm} {self.event} {shown}"


class Story(typing.NamedTuple):
    """The log lines that concern one flow, each part in the order of time.

    Attributes:
        flow: Decisions about the flow itself.
        targets: For each VM that sent the flow to a target, the last event of that
            target before the decision, and its events shortly afterwards.
        around: Events of these VMs around that time, such as starts, stops, and
            the loss and recovery of dependencies.
    """

    flow: tuple[Line, ...]
    targets: tuple[Line, ...]
    around: tuple[Line, ...]


def parse(text: str) -> Line | None:
    """Return the event in a line of a log, or None when there is none.

    A prefix before the pairs, for example a log collector's own timestamp, is
    skipped.
    """
    begin = text.find("at=")
    if begin < 0:
        return None
    pairs = {key: _unquoted(value) for key, value in _PAIR.findall(text[begin:])}
    try:
        at = datetime.datetime.fromisoformat(pairs.pop("at"))
        return Line(at, pairs.pop("event"), pairs.pop("vm"), pairs)
    except (KeyError, ValueError):
        return None


def extract(lines: typing.Iterable[str], flow: str) -> Story:
    """Extract the lines that concern a flow from the logs of all VMs.

    Args:
        lines: The logs of all VMs, in any order.
        flow: The flow, or a part of its id such as the caller's address and
            port.
    """
    events = sorted(
        (line for line in map(parse, lines) if line is not None),
        key=lambda line: line.at,
    )
    flow_lines = [
        line
        for line in events
        if _FLOW_EVENT.match(line.event) and flow in line.fields.get("flow", "")
    ]
    return Story(
        tuple(flow_lines),
        tuple(_target_events(events, flow_lines)),
        tuple(_dependency_events(events, flow_lines)),
    )


def _target_events(
    events: typing.Sequence[Line], flow_lines: typing.Sequence[Line]
) -> typing.Iterator[Line]:
    for line in flow_lines:
        target = line.fields.get("target", "-")
        about = [item for item in events if _is_about(item, line.vm, target)]
        earlier = [item for item in about if item.at <= line.at]
        yield from earlier[-1:]
        yield from (item for item in about if 0 < _seconds(line, item) <= CONTEXT_S)


def _dependency_events(
    events: typing.Sequence[Line], flow_lines: typing.Sequence[Line]
) -> typing.Iterator[Line]:
    vms = {line.vm for line in flow_lines}
    for item in events:
        if item.event not in _DEPENDENCY_EVENTS or item.vm not in vms:
            continue
        if any(abs(_seconds(line, item)) <= CONTEXT_S for line in flow_lines):
            yield item


def _is_about(item: Line, vm: str, target: str) -> bool:
    if item.event not in _TARGET_EVENTS or item.vm != vm:
        return False
    name = item.fields.get("target") or item.fields.get("key", "")
    return name.rpartition("/")[2] == target


def _seconds(first: Line, second: Line) -> float:
    return (second.at - first.at).total_seconds()


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
