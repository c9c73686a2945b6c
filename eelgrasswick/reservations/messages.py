"""Messages between VMs about reservations of room at targets.

Counts are absolute and cumulative, so that a lost, duplicated or reordered message is
corrected by the next one.
"""

import enum
import typing

# A group has at most this many targets, and a request names at most as many.
MAX_CANDIDATES: typing.Final = 8


class RejectReason(enum.IntEnum):
    """Reason for which a scheduler rejects a reservation request."""

    FULL = 1
    TIMEOUT = 2
    DISPLACED = 3
    NOT_READY = 4


class Candidate(typing.NamedTuple):
    """A target that the requesting VM would use.

    Attributes:
        cookie: The target's cookie.
        slots: Number of requests that it handles concurrently; 0 when unknown.
    """

    cookie: int
    slots: int


class Usage(typing.NamedTuple):
    """One VM's use of one target.

    All fields but the first two count from the start of the VM's process.

    Attributes:
        cookie: The target's cookie.
        in_flight: Requests in flight at present.
        completed: Responses.
        busy_ms: Sum of the capped times of these responses.
        rejected: Requests that the target refused because it was full.
    """

    cookie: int
    in_flight: int
    completed: int
    busy_ms: int
    rejected: int


class Acknowledged(typing.NamedTuple):
    """The highest grant number that a VM has received from a scheduler.

    Attributes:
        incarnation: The scheduler's incarnation; 0 for no grant yet.
        grant: The grant number.
    """

    incarnation: int = 0
    grant: int = 0


class Reserve(typing.NamedTuple):
    """A request for room at one target of a group.

    Attributes:
        incarnation: Random number of the sender's process.
        number: Sequence number among the sender's messages.
        acknowledged: The last grant that the sender received from this scheduler.
        group: Key of the group.
        request: Number of this request, unique in the sender's process.
        priority: Priority of the flow; 0 is the most urgent.
        wait_ms: Time for which the flow may be queued; 0 for room at once.
        caller: Hash of the caller's address.
        candidates: Targets that the sender would use.
        usage: The sender's use of targets.
    """

    incarnation: int
    number: int
    acknowledged: Acknowledged
    group: str
    request: int
    priority: int
    wait_ms: int
    caller: int
    candidates: tuple[Candidate, ...]
    usage: tuple[Usage, ...]


class Grant(typing.NamedTuple):
    """Room at a target for one flow.

    Attributes:
        incarnation: Random number of the scheduler's process.
        request: Number of the request.
        cookie: Cookie of the target.
        grant: Number of the grant among those to the same VM.
        expected_wait_ms: Wait that the next request of this group would have.
    """

    incarnation: int
    request: int
    cookie: int
    grant: int
    expected_wait_ms: int


class Queued(typing.NamedTuple):
    """The scheduler has queued a request; fields as in `Grant`."""

    request: int
    expected_wait_ms: int


class Reject(typing.NamedTuple):
    """The scheduler has no room for a request; fields as in `Grant`.

    Attributes:
        request: Number of the request.
        reason: Why it is rejected.
        expected_wait_ms: Wait that the request would have.
    """

    request: int
    reason: RejectReason
    expected_wait_ms: int


class UsageUpdate(typing.NamedTuple):
    """A VM's use of targets without a request; fields as in `Reserve`."""

    incarnation: int
    number: int
    acknowledged: Acknowledged
    usage: tuple[Usage, ...]


class Pressure(typing.NamedTuple):
    """Notice that a pool is pressed.

    Attributes:
        service: The pool's service.
        zone: The pool's availability zone.
        number: Random number of the notice, so that each VM relays it once.
    """

    service: str
    zone: str
    number: int


Message = Reserve | Grant | Queued | Reject | UsageUpdate | Pressure
