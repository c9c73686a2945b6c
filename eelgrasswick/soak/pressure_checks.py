"""Invariants of refusals and waits under pressure."""

import collections
import typing

from eelgrasswick.soak import history

# A caller retransmits an opening packet after this time, so that a packet that waits
# at a VM for longer is in the network twice.
MAX_WAIT_S: typing.Final = 0.2
# The run sends the packets of all callers from one process, and VMs and targets read
# them on a busy machine. Together this delayed single packets by up to 26 ms.
TOLERANCE_S: typing.Final = 0.05
# A caller is starved when nothing is answered for this time, although it had this many
# requests that ended otherwise.
STARVATION_S: typing.Final = 8.0
MIN_UNANSWERED: typing.Final = 10
# Faults during which an opening packet may wait in a socket or on a delayed path, and
# the time that a process takes afterwards to start or to read its socket.
DELAYING_FAULTS: typing.Final = frozenset(
    {"vm_term", "vm_kill", "vm_pause", "vms_kill_all", "target_kill", "target_pause"}
    | {"vm_pause_briefly", "target_drain", "fabric_reorders", "restart"}
)
FAULT_EFFECT_S: typing.Final = 3.0

_Kind = history.Kind


def check(events: typing.Sequence[history.Event]) -> list[history.Violation]:
    """Return all violations of the invariants.

    Args:
        events: All recorded events, in any order.
    """
    ordered = sorted(events, key=lambda item: item.at_s)
    checks = (_check_refusals, _check_waits, _check_starvation)
    return [violation for find in checks for violation in find(ordered)]


def _check_refusals(
    events: typing.Sequence[history.Event],
) -> typing.Iterator[history.Violation]:
    refused = {
        item.flow: item
        for item in events
        if item.kind is _Kind.REFUSED and item.detail == history.RESET_BY_VM
    }
    dropped = {item.flow for item in events if item.kind is _Kind.ROUTE_DROPPED}
    for item in events:
        if item.kind not in (_Kind.ARRIVED, _Kind.OPENED, _Kind.RAN):
            continue
        refusal = refused.get(item.flow)
        if refusal is not None and item.flow.partition(">")[2] not in dropped:
            late_s = item.at_s - refusal.at_s
            yield history.Violation(
                "true refusal", item, f"{late_s:.3f} s after the flow was refused"
            )


def _check_waits(
    events: typing.Sequence[history.Event],
) -> typing.Iterator[history.Violation]:
    sent_s: dict[tuple[str, str], float] = {}
    faults = [(item.at_s, _effect_end_s(item)) for item in events if _delays(item)]
    # A target that waits for a core records the opening late.
    opened = {item.flow: item for item in events if item.kind is _Kind.OPENED}
    for item in events:
        key = item.flow, item.detail
        if item.kind is _Kind.SENT:
            sent_s[key] = item.at_s
        elif item.kind is _Kind.ARRIVED and key in sent_s:
            if _updates_cookie(item, opened.get(item.flow)):
                continue
            start_s = sent_s[key]
            if item.at_s - start_s <= MAX_WAIT_S + TOLERANCE_S:
                continue
            if not any(begun <= item.at_s and start_s <= end for begun, end in faults):
                yield history.Violation(
                    "wait", item, f"{item.at_s - start_s:.3f} s after it was sent"
                )


def _updates_cookie(item: history.Event, opened: history.Event | None) -> bool:
    """Return True if a packet brings the cookie of a flow's target to another one."""
    if opened is None:
        return False
    return item.who != opened.who and item.cookie == opened.cookie


def _delays(item: history.Event) -> bool:
    return item.kind is _Kind.FAULT and item.detail.partition(" ")[0] in DELAYING_FAULTS


def _effect_end_s(item: history.Event) -> float:
    return history.fault_end_s(item) + FAULT_EFFECT_S


def _check_starvation(
    events: typing.Sequence[history.Event],
) -> typing.Iterator[history.Violation]:
    unanswered: dict[str, list[history.Event]] = collections.defaultdict(list)
    for item in events:
        if item.kind is _Kind.ANSWERED:
            unanswered[item.who].clear()
        elif item.kind in history.REQUEST_ENDS:
            since = unanswered[item.who]
            since.append(item)
            gap_s = item.at_s - since[0].at_s
            if gap_s >= STARVATION_S and len(since) >= MIN_UNANSWERED:
                yield history.Violation(
                    "starvation", item, f"not served for {gap_s:.1f} s"
                )
                since.clear()
