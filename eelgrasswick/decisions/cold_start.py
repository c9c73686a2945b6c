"""How many new flows a target takes that has just started.

Load pattern: servers are replaced by the dozen, or all of a zone come back together,
while a crowd opens flows. A target that is cold bears few of them in a second, and no
VM sees what the others send it: each by itself stays far below the limit, and together
they exceed it.

So cold targets get nothing while warm ones take the flows. Where only cold ones are
left, a few VMs may open flows to each of them. Every VM works out the same few by
rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998), and each of them has a fixed part of the limit for any second. What goes
beyond is to be refused at once.
"""

import collections
import hashlib
import typing

# Any span of this length counts against the limit.
SPAN_MS: typing.Final = 1000
# Part of the limit that is given out. The views of VMs differ for some seconds after
# others came or went, and then two sets of VMs may open flows to one target.
GIVEN_PART: typing.Final = 0.5
# A VM that has just started may have opened flows before, and others don't know it yet.
SETTLE_MS: typing.Final = 3000
# How long it holds which VMs may open flows to a target.
CHOSEN_MS: typing.Final = 1000
# With no more than this part of a VM's cold targets free, the most urgent flows have
# them for themselves.
URGENT_PART: typing.Final = 0.5


class Limit(typing.NamedTuple):
    """How far above what a cold target bears its new flows may go.

    Attributes:
        overage: Factor on the flows a second that its service names.
        slack_flows: Flows a second on top.
    """

    overage: float = 1.5
    slack_flows: float = 5.0

    def flows(self, per_s: float) -> int:
        """Return how many flows all VMs together may open in a second, at least one.

        Args:
            per_s: Flows a second that the service names.
        """
        return max(1, int(GIVEN_PART * (self.overage * per_s + self.slack_flows)))


class _Choice(typing.NamedTuple):
    at_ms: int
    rank: int


class ColdStart:
    """One VM's part of the new flows of cold targets."""

    def __init__(self, vm: str, limit: Limit | None = None) -> None:
        """Begin without other VMs.

        Args:
            vm: Address of this VM.
            limit: What operators tolerate.
        """
        self._vm = vm
        self._limit = limit or Limit()
        self._others: tuple[str, ...] = ()
        self._isolated = False
        self._began_ms: int | None = None
        self._choices: dict[int, _Choice] = {}
        self._opened_ms: dict[int, collections.deque[int]] = {}

    def update_fleet(self, now_ms: int, others: tuple[str, ...], alive: int) -> None:
        """Take the view of the fleet.

        Args:
            now_ms: Present time.
            others: Addresses of all other VMs that were heard of lately. Those that
                are silent count, too: a VM behind a cut would else take their part.
            alive: How many of them answer.
        """
        if self._began_ms is None:
            self._began_ms = now_ms
        self._others = others
        self._isolated = bool(others) and not alive

    def share(self, now_ms: int, cookie: int, per_s: float) -> int:
        """Return how many flows to a cold target this VM may open in any second.

        Args:
            now_ms: Present time.
            cookie: The target.
            per_s: Flows a second that its service names.
        """
        if self._isolated or self._began_ms is None:
            return 0
        if now_ms - self._began_ms < SETTLE_MS:
            return 0
        flows = self._limit.flows(per_s)
        vms = min(flows, 1 + len(self._others))
        return flows // vms if self._rank(now_ms, cookie) < vms else 0

    def allows(self, now_ms: int, cookie: int, per_s: float) -> bool:
        """Tell whether this VM may open one more flow to a cold target now."""
        opened_ms = self._opened_ms.get(cookie, ())
        recent = sum(now_ms - at_ms < SPAN_MS for at_ms in opened_ms)
        return recent < self.share(now_ms, cookie, per_s)

    def opened(self, now_ms: int, cookie: int) -> None:
        """Note a flow to a cold target."""
        times_ms = self._opened_ms.setdefault(cookie, collections.deque())
        times_ms.append(now_ms)
        while now_ms - times_ms[0] >= SPAN_MS:
            times_ms.popleft()

    def keep(self, cookies: typing.Collection[int]) -> None:
        """Forget all other targets."""
        for book in (self._choices, self._opened_ms):
            for cookie in [item for item in book if item not in cookies]:
                del book[cookie]

    def _rank(self, now_ms: int, cookie: int) -> int:
        choice = self._choices.get(cookie)
        if choice is None or now_ms - choice.at_ms >= CHOSEN_MS:
            mine = _score(cookie, self._vm)
            rank = sum(_score(cookie, other) < mine for other in self._others)
            choice = self._choices[cookie] = _Choice(now_ms, rank)
        return choice.rank


def reserved_for_urgent(free: int, all_: int, urgent: bool) -> bool:
    """Tell whether what is left is kept for more urgent flows.

    Args:
        free: Cold targets that may get a flow from this VM now.
        all_: Cold targets that may get flows from this VM at all.
        urgent: True for the most urgent flows of the service.
    """
    return not urgent and free <= URGENT_PART * all_


def _score(cookie: int, vm: str) -> bytes:
    return hashlib.blake2b(f"{cookie} {vm}".encode(), digest_size=8).digest()
