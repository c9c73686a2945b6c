"""Data of flows whose opening packet is held, and their resolutions."""

import enum
import typing

from eelgrasswick.cookie import model
from eelgrasswick.reservations import choice, groups

# The outcome of a queued request is awaited for this time after the end of its wait.
OUTCOME_GRACE_MS: typing.Final = 20
# A packet is held for at most this time.
MAX_HELD_MS: typing.Final = 150
# With a longer wait, the hold would end before the outcome of a request that the
# scheduler could not serve, and the flow would be placed at a full target.
MAX_WAIT_MS: typing.Final = MAX_HELD_MS - OUTCOME_GRACE_MS
# The caller's retransmission may have opened the flow at another VM after this time.
RETRANSMISSION_MS: typing.Final = 200


class Kind(enum.Enum):
    """What happens to a held packet."""

    GRANTED = "granted"
    REFUSED = "refused"
    PLACE_LOCALLY = "place_locally"
    DROP = "drop"


class Reason(enum.Enum):
    """Why a flow is not granted."""

    NONE = "none"
    FULL = "full"
    TIMEOUT = "timeout"
    DISPLACED = "displaced"
    NOT_READY = "not_ready"
    NO_REPLY = "no_reply"
    NO_OUTCOME = "no_outcome"
    NO_SCHEDULER = "no_scheduler"
    UNKNOWN_TARGET = "unknown_target"
    LIMIT = "limit"
    STOPPED = "stopped"
    PAUSED = "paused"


class FlowRequest(typing.NamedTuple):
    """A flow for which capacity is requested.

    Attributes:
        flow: The flow.
        raw: Its opening packet.
        service: Name of its service.
        priority: Priority of the flow; 0 is the most urgent.
        wait_ms: Time for which the flow may wait.
        caller: CRC-32 of the caller's address.
        groups: The service's groups, with the targets that may get the flow.
        hosts_by_zone: The live VMs of each zone. The same objects should be passed
            while the VMs are the same, because then they are not compared.
    """

    flow: model.FlowId
    raw: bytes
    service: str
    priority: int
    wait_ms: int
    caller: int
    groups: tuple[groups.Group, ...]
    hosts_by_zone: choice.HostsByZone


class Resolution(typing.NamedTuple):
    """The outcome for a flow.

    Attributes:
        kind: What happens to the packet.
        flow: The flow.
        raw: Its opening packet.
        cookie: Cookie of the granted target, otherwise 0.
        waited_ms: Time for which the packet was held.
        asked: Number of requests sent.
        expected_wait_ms: The wait that was reported last for this flow.
        reason: Why the flow is not granted.
    """

    kind: Kind
    flow: model.FlowId
    raw: bytes
    cookie: int
    waited_ms: int
    asked: int
    expected_wait_ms: int
    reason: Reason


class HeldFlow:
    """A held packet and its present request.

    Attributes:
        item: What is requested.
        since_ms: When the packet arrived.
        step: Number of the last request that was considered, from 1 to 3.
        asked: Number of requests sent.
        expected_wait_ms: The wait that was reported last.
        reason: The reason of the last rejection.
        doubt: Set when a group did not state whether it can serve the flow. Such a flow
            is never refused.
        own_full: Whether a group of the own zone has stated that it can't serve the
            flow.
        excluded: Keys of groups that can't serve the flow in the time that is left.
        number: Number of the present request.
        host: The scheduler that was asked.
        group: The group that was asked.
        asked_ms: When it was asked.
        wait_ms: The wait of the present request.
        queued: Whether the scheduler has queued the present request.
        due_ms: When the flow is resolved without an answer.
    """

    __slots__ = (
        "asked",
        "asked_ms",
        "doubt",
        "due_ms",
        "excluded",
        "expected_wait_ms",
        "group",
        "host",
        "item",
        "number",
        "own_full",
        "queued",
        "reason",
        "since_ms",
        "step",
        "wait_ms",
    )

    def __init__(self, now_ms: int, item: FlowRequest) -> None:
        """Create the state of a packet that arrived now."""
        self.item = item
        self.since_ms = now_ms
        self.step = 0
        self.asked = 0
        self.expected_wait_ms = 0
        self.reason = Reason.NO_SCHEDULER
        self.doubt: Reason | None = None
        self.own_full = False
        self.excluded: set[str] = set()
        self.number = 0
        self.host = ""
        self.group: groups.Group | None = None
        self.asked_ms = now_ms
        self.wait_ms = 0
        self.queued = False
        self.due_ms = now_ms

    def left_ms(self, now_ms: int) -> int:
        """Return how long the flow may still wait."""
        wait_ms = min(self.item.wait_ms, MAX_WAIT_MS)
        return max(0, self.since_ms + wait_ms - now_ms)

    def set_due(self, due_ms: int) -> None:
        """Set the time limit of the present request, within that of the hold."""
        self.due_ms = min(due_ms, self.since_ms + MAX_HELD_MS)

    def extend(self, now_ms: int, timeout_ms: int) -> None:
        """Extend the time limit after a pause of this VM.

        Args:
            now_ms: Present time.
            timeout_ms: Time after which a request without a reply has failed.
        """
        due_ms = now_ms + OUTCOME_GRACE_MS
        # The pause is not held against the scheduler.
        self.asked_ms = max(self.asked_ms, due_ms - timeout_ms)
        self.set_due(max(self.due_ms, due_ms))

    def resolution(
        self, now_ms: int, kind: Kind, reason: Reason, cookie: int = 0
    ) -> Resolution:
        """Return a resolution of the flow, which is DROP when it comes too late."""
        waited_ms = now_ms - self.since_ms
        if waited_ms >= RETRANSMISSION_MS:
            # Another VM may have opened the flow, which makes a second placement as
            # wrong as a reset.
            kind, cookie = Kind.DROP, 0
        return Resolution(
            kind,
            self.item.flow,
            self.item.raw,
            cookie,
            waited_ms,
            self.asked,
            self.expected_wait_ms,
            reason,
        )
