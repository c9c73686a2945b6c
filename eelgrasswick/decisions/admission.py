"""Admission control: whether a new flow is admitted.

Load pattern: a few callers, or one service in its last days, open more flows than the
targets hold. Without admission control all flows of the service slow down together. The
limits of the rules apply to the whole fleet. Each home applies its share of them, so
that several homes that decide at once stay within the limit, and a VM that is cut off
uses only its own share.
"""

import typing

from eelgrasswick import errors

if typing.TYPE_CHECKING:
    # The module needs the packet libraries, which the entry VM of the users' platform
    # does not have.
    from eelgrasswick import service

MIN_RETRY_MS: typing.Final = 1000
# The longest delay exceeds the shortest one by this part of it.
RETRY_JITTER: typing.Final = 1.0


class LimitUsage(typing.NamedTuple):
    """Limits of a service and how much of them is used at one home.

    Attributes:
        limit: Fleet-wide limits of the service.
        share: Part of the fleet's flows that this home decides on, 0 to 1.
        service_flows: Open flows of the service at this home.
        caller_flows: Open flows of the caller at this home.
    """

    limit: "service.Limit"
    share: float
    service_flows: int
    caller_flows: int


class Refusal(typing.NamedTuple):
    """Why a flow is refused, and after how many milliseconds to retry."""

    kind: errors.ErrorKind
    retry_after_ms: int


def retry_ms(fraction: float) -> int:
    """Return the retry delay of a refusal for which no reservation is made.

    The delay differs between flows. With equal delays all callers that were refused in
    one second would return in one second and be refused again.

    Args:
        fraction: Number from 0 to 1, evenly distributed over flows.
    """
    return int(MIN_RETRY_MS * (1 + RETRY_JITTER * fraction))


def admit(usage: LimitUsage, fraction: float) -> Refusal | None:
    """Return None when the flow is admitted, or the reason for its refusal.

    Args:
        usage: The limits of the service and their use at this home.
        fraction: Number from 0 to 1, evenly distributed over flows.
    """
    if exceeds_share(usage.limit.flows, usage.share, usage.service_flows):
        return Refusal(errors.ErrorKind.SERVICE_LIMIT, retry_ms(fraction))
    if exceeds_share(usage.limit.per_caller, usage.share, usage.caller_flows):
        return Refusal(errors.ErrorKind.CALLER_LIMIT, retry_ms(fraction))
    return None


def exceeds_share(limit: int, share: float, open_flows: int) -> bool:
    """Return whether one more flow would exceed a home's share of a limit.

    A limit of zero means that there is no limit. A share below one flow still admits
    one flow, because a small limit over many homes would otherwise admit none.
    """
    if not limit:
        return False
    return open_flows + 1 > max(1.0, limit * share)
