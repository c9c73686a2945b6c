"""Tells what the entry VMs logged about one flow, and what they believed then.

A flow's packets pass several VMs, and what a VM decided depends on what it
knew. Read line by line, the logs of sixty VMs hide the few lines that matter:
those of the flow, the last word on each target it was sent to, and what was
lost or regained around that time.
"""

import datetime
import json
import re
import typing

# How far around a flow's lines dependencies are told.
CONTEXT_S: typing.Final = 3.0
_PAIR: typing.Final = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
_FLOW_EVENT: typing.Final = re.compile(r"^flow_")
_TARGET_EVENTS: typing.Final = frozenset(
    {"target_known", "target_gone", "target_dead", "target_probed"}
)
_AROUND_EVENTS: typing.Final = frozenset(
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
        "store_lost",
        "store_regained",
        "store_history_gone",
        "peer_lost",
        "peer_regained",
        "log_bounded",
        "internal_error",
    }
)


class Line(typing.NamedTuple):
    """One event of a log.

    Attributes:
        at: When, by the VM's clock.
        event: Its sort.
        vm: Which VM wrote it.
        fields: The rest, as text.
    """

    at: datetime.datetime
    event: str
    vm: str
    fields: dict[str, str]

    def __str__(self) -> str:
        """Return the line as a person reads it."""
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        at = self.at.strftime("%H:%M:%S.%f")[:-3]
        return f"{at} {self.vm} {self.event} {shown}"


class Story(typing.NamedTuple):
    """What is known of one flow, each part in the order of time.

    Attributes:
        flow: Decisions about the flow itself.
        targets: The last word on each target before it was chosen, by each VM
            that sent the flow there, and what came after.
        around: What started, ended, was lost or regained at these VMs then.
    """

    flow: tuple[Line, ...]
    targets: tuple[Line, ...]
    around: tuple[Line, ...]


def parse(text: str) -> Line | None:
    """Return the event in a line of a log, or None when there is none.

    What stands in front of the pairs, for example a collector's own stamp, is
    passed over.
    """
    begin = text.find("at=")
    if begin < 0:
        return None
    pairs = {key: _plain(value) for key, value in _PAIR.findall(text[begin:])}
    try:
        at = datetime.datetime.fromisoformat(pairs.pop("at"))
        return Line(at, pairs.pop("event"), pairs.pop("vm"), pairs)
    except (KeyError, ValueError):
        return None


def extract(lines: typing.Iterable[str], flow: str) -> Story:
    """Pick out of some logs what concerns a flow.

    Args:
        lines: The logs of all VMs, in any order.
        flow: The flow, or a part of its id such as the caller's address and
            port.
    """
    events = sorted(
        (line for line in map(parse, lines) if line is not None),
        key=lambda line: line.at,
    )
    own = [
        line
        for line in events
        if _FLOW_EVENT.match(line.event) and flow in line.fields.get("flow", "")
    ]
    return Story(
        tuple(own), tuple(_of_targets(events, own)), tuple(_around(events, own))
    )


def _of_targets(
    events: typing.Sequence[Line], own: typing.Sequence[Line]
) -> typing.Iterator[Line]:
    for line in own:
        target = line.fields.get("target", "-")
        told = [item for item in events if _is_about(item, line.vm, target)]
        before = [item for item in told if item.at <= line.at]
        yield from before[-1:]
        yield from (item for item in told if 0 < _seconds(line, item) <= CONTEXT_S)


def _around(
    events: typing.Sequence[Line], own: typing.Sequence[Line]
) -> typing.Iterator[Line]:
    vms = {line.vm for line in own}
    for item in events:
        if item.event not in _AROUND_EVENTS or item.vm not in vms:
            continue
        if any(abs(_seconds(line, item)) <= CONTEXT_S for line in own):
            yield item


def _is_about(item: Line, vm: str, target: str) -> bool:
    if item.event not in _TARGET_EVENTS or item.vm != vm:
        return False
    named = item.fields.get("target") or item.fields.get("key", "")
    return named.rpartition("/")[2] == target


def _seconds(first: Line, second: Line) -> float:
    return (second.at - first.at).total_seconds()


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
