"""Limit on the rate of new flows to a target that has just started.

Load pattern: servers are replaced by the dozen, or all servers of a zone return
together, while many callers open flows. A cold target sustains few new flows a second,
and no VM can count the flows that the others send to it. Each VM alone stays far below
the limit, and together they exceed it.

Cold targets therefore get no flows while warm targets can take them. Where only cold
targets are left, a few VMs may open flows to each of them. Every VM computes the same
few by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", 1998), and each of them has a fixed share of the limit in any
second. Flows beyond the limit are to be refused at once.
"""

import collections
import hashlib
import typing

# The limit applies to every time window of this length.
WINDOW_MS: typing.Final = 1000
# Only this share of the limit is allocated to VMs. The views of VMs differ for some
# seconds after other VMs joined or left, and during that time two sets of VMs may open
# flows to one target.
ALLOCATED_SHARE: typing.Final = 0.5
# A VM that has just started may have opened flows before its restart, and other VMs may
# not have detected it yet. It opens no flow to a cold target for this time.
SETTLE_MS: typing.Final = 3000
# A VM recomputes its rank for a target after this time.
RANK_TTL_MS: typing.Final = 1000
# When at most this share of a VM's cold targets is free, only the most urgent flows may
# use them.
URGENT_SHARE: typing.Final = 0.5


class Limit(typing.NamedTuple):
    """How far the rate of new flows may exceed what a cold target sustains.

    Attributes:
        overage: Factor on the flows a second that the service configures.
        slack_flows: Flows a second that are added to the product.
    """

    overage: float = 1.5
    slack_flows: float = 5.0

    def flows(self, per_s: float) -> int:
        """Return how many flows all VMs may open in a second, at least one.

        Args:
            per_s: Flows a second that the service configures for a cold target.
        """
        return max(1, int(ALLOCATED_SHARE * (self.overage * per_s + self.slack_flows)))


class _Rank(typing.NamedTuple):
    at_ms: int
    rank: int


class ColdStart:
    """One VM's share of the new flows to cold targets."""

    def __init__(self, vm: str, limit: Limit | None = None) -> None:
        """Create a limiter that has no other VMs yet.

        Args:
            vm: Address of this VM.
            limit: How far the limit may be exceeded; the default when None.
        """
        self._vm = vm
        self._limit = limit or Limit()
        self._others: tuple[str, ...] = ()
        self._isolated = False
        self._started_ms: int | None = None
        self._ranks: dict[int, _Rank] = {}
        self._opened_ms: dict[int, collections.deque[int]] = {}

    def update_fleet(self, now_ms: int, others: tuple[str, ...], alive: int) -> None:
        """Replace the view of the fleet.

        Args:
            now_ms: Present time in milliseconds.
            others: Addresses of all other VMs with a recent last contact. VMs that are
                silent now count as well, because a VM behind a cut would otherwise take
                over their share.
            alive: How many of them answer.
        """
        if self._started_ms is None:
            self._started_ms = now_ms
        self._others = others
        self._isolated = bool(others) and not alive

    def share(self, now_ms: int, cookie: int, per_s: float) -> int:
        """Return how many flows this VM may open to a cold target in a second.

        Args:
            now_ms: Present time in milliseconds.
            cookie: Identifies the target.
            per_s: Flows a second that the service configures for a cold target.
        """
        if self._isolated or self._started_ms is None:
            return 0
        if now_ms - self._started_ms < SETTLE_MS:
            return 0
        flows = self._limit.flows(per_s)
        vms = min(flows, 1 + len(self._others))
        return flows // vms if self._rank(now_ms, cookie) < vms else 0

    def allows(self, now_ms: int, cookie: int, per_s: float) -> bool:
        """Return whether this VM may open one more flow to a cold target now."""
        opened_ms = self._opened_ms.get(cookie, ())
        recent = sum(now_ms - at_ms < WINDOW_MS for at_ms in opened_ms)
        return recent < self.share(now_ms, cookie, per_s)

    def opened(self, now_ms: int, cookie: int) -> None:
        """Record a flow that was opened to a cold target."""
        times_ms = self._opened_ms.setdefault(cookie, collections.deque())
        times_ms.append(now_ms)
        while now_ms - times_ms[0] >= WINDOW_MS:
            times_ms.popleft()

    def retain(self, cookies: typing.Collection[int]) -> None:
        """Delete the records of all other targets."""
        for table in (self._ranks, self._opened_ms):
            for cookie in [item for item in table if item not in cookies]:
                del table[cookie]

    def _rank(self, now_ms: int, cookie: int) -> int:
        known = self._ranks.get(cookie)
        if known is None or now_ms - known.at_ms >= RANK_TTL_MS:
            mine = _score(cookie, self._vm)
            rank = sum(_score(cookie, other) < mine for other in self._others)
            known = self._ranks[cookie] = _Rank(now_ms, rank)
        return known.rank


def reserved_for_urgent(free: int, total: int, urgent: bool) -> bool:
    """Return whether the free cold targets are reserved for urgent flows.

    Args:
        free: Cold targets to which this VM may open a flow now.
        total: Cold targets to which this VM may open flows at all.
        urgent: True for the most urgent flows of the service.
    """
    return not urgent and free <= URGENT_SHARE * total


def _score(cookie: int, vm: str) -> bytes:
    return hashlib.blake2b(f"{cookie} {vm}".encode(), digest_size=8).digest()
