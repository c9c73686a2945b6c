"""Whether a new flow is let in.

Load pattern: a few callers, or one service in its last days, open more flows
than the targets hold. Without a limit at the door all flows of the service
slow down together. The limits of the rules are for the fleet; each home
applies its share, so that several homes that decide at once stay within the
limit, and a VM that is cut off takes its share only.
"""

import typing

from eelgrasswick import (
    errors,
    service,
)

MIN_RETRY_MS: typing.Final = 1000
SPREAD: typing.Final = 1.0


class LimitUsage(typing.NamedTuple):
    """What a home knows when a flow asks to be let in.

    Attributes:
        limit: Fleet-wide limits of the service.
        share: Part of the fleet's flows that this home decides, 0 to 1.
        service_flows: Open flows of the service at this home.
        caller_flows: Open flows of the caller at this home.
    """

    limit: service.Limit
    share: float
    service_flows: int
    caller_flows: int


class Refusal(typing.NamedTuple):
    """Why a flow is turned away and when to come back."""

    kind: errors.ErrorKind
    retry_after_ms: int


def retry_ms(fraction: float) -> int:
    """Return when to come back after a refusal that no queue gave a turn.

    Told the same time, all callers that were refused in one second would
    return in one second and be refused again.

    Args:
        fraction: Differs evenly from flow to flow, 0 to 1.
    """
    return int(MIN_RETRY_MS * (1 + SPREAD * fraction))


def admit(demand: LimitUsage, fraction: float) -> Refusal | None:
    """Return None when the flow may come in, or the reason why not.

    Args:
        demand: What the home knows.
        fraction: Differs evenly from flow to flow, 0 to 1.
    """
    if over(demand.limit.flows, demand.share, demand.service_flows):
        return Refusal(errors.ErrorKind.SERVICE_LIMIT, retry_ms(fraction))
    if over(demand.limit.per_caller, demand.share, demand.caller_flows):
        return Refusal(errors.ErrorKind.CALLER_LIMIT, retry_ms(fraction))
    return None


def over(limit: int, share: float, present: int) -> bool:
    """Tell whether one more flow would pass a home's share of a limit.

    A limit of zero means none. A share below one flow still admits one, or a
    small limit over many homes would admit nobody.
    """
    if not limit:
        return False
    return present + 1 > max(1.0, limit * share)
