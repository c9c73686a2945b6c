"""Results of the decisions about packets, as sent, logged and counted."""

import enum
import typing

from eelgrasswick.cookie import cookie_updates, model


class Outcome(enum.Enum):
    """Result of the decision about a packet, as logged and counted."""

    FORWARDED = "forwarded"
    PLACED = "placed"
    PLACED_AGAIN = "placed_again"
    NO_ROUTE = "no_route"
    NO_ROUTE_RESET = "no_route_reset"
    NO_TARGET = "no_target_reset"
    NO_TARGET_YET = "no_target_yet"
    EVACUATED = "evacuated_reset"
    COLD = "cold_reset"
    UNKNOWN_COOKIE = "unknown_cookie"
    NOT_READY = "not_ready"
    TARGET_DEAD = "target_dead_reset"
    OVERLOADED = "overloaded_reset"
    HELD = "held"
    NO_CAPACITY = "no_capacity_reset"
    HELD_TOO_LONG = "held_too_long"
    COPY_DELAYED = "copy_delayed"
    COPY_NOT_NEEDED = "copy_not_needed"


class Reason(enum.Enum):
    """Reason for which a working target gets no new flow."""

    EVACUATION = "evacuation"
    COLD = "cold"


class ResetReason(enum.Enum):
    """Reason for which this VM resets an open flow."""

    PROBE_FAILED = "probe_failed"
    ADDRESS_TAKEN = "address_taken"
    ROUTE_DROPPED = "route_dropped"


class KnownBy(enum.Enum):
    """How this VM knows the target of an open flow that it resets."""

    PLACEMENT = "placement"
    FORMER_PACKET = "former_packet"
    COOKIE = "cookie"


class FlowReset(typing.NamedTuple):
    """The reset of an open flow whose target is dead.

    Attributes:
        flow: The flow.
        datagram: The reset.
        known_by: How this VM knows the target of the flow.
    """

    flow: model.FlowId
    datagram: bytes
    known_by: KnownBy


class Decision(typing.NamedTuple):
    """The datagram to send for a packet, and the reasons for it.

    Attributes:
        outcome: Result of the decision.
        datagram: The datagram to send; None to send nothing.
        address: Destination of the datagram; None for the caller.
        target: The target that was chosen, or that the packet's cookie names, if any.
        answer_ms: Response time of the target, if the packet ends a measurement.
        probe: A silent target that is to be probed now, if any.
        withheld: Reasons for which targets were excluded for this flow.
        reset_reason: Reason for which an open flow is reset, if it is.
        opened_twice: True for the first packet that shows that a second target answered
            the opening packet.
        known_by: How this VM knows the target of an open flow that it resets.
        updates: Opening packets to send again to targets without the flow.
    """

    outcome: Outcome
    datagram: bytes | None = None
    address: model.Address | None = None
    target: model.Target | None = None
    answer_ms: int | None = None
    probe: model.Target | None = None
    withheld: tuple[Reason, ...] = ()
    reset_reason: ResetReason | None = None
    opened_twice: bool = False
    known_by: KnownBy | None = None
    updates: tuple[cookie_updates.CookieUpdate, ...] = ()
