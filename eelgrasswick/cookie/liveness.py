"""When a silent target counts as dead, and its flows are reset.

Load pattern: a server crashes without a word while hundreds of long flows are
open on it. Their callers send into the void: each loses the request it waits
for, and each idle one its next request too, up to its deadline. A reset lets
them open a new flow at once.

A reset of a flow that goes on well would break it, so three things must come
together. The target left a packet of its flows unanswered for 200 ms. A TCP
connection to it fails, or its entry has been gone for longer than an outage of
the store explains. And another target of its zone answers while it is probed,
so that it is not the way there that is cut.
"""

import enum
import typing

# How lately another target of the zone must have answered for a probe to make sense.
MAX_ZONE_ANSWER_AGE_MS: typing.Final = 1000
# A target that accepted a connection is not asked again for so long.
RECHECK_INTERVAL_MS: typing.Final = 1500
# How long a target stays dead by one probe. A server whose own link was cut looks
# just like one that crashed, and is back without a new start. Each flow that was
# opened on it since would be reset here. The next probe of a server that stays dead
# costs its callers a quarter of a second.
DEAD_HOLD_MS: typing.Final = 2000


class State(enum.Enum):
    """What is thought of a silent target."""

    PROBING = "probing"
    ALIVE = "alive"
    DEAD = "dead"


class _Check(typing.NamedTuple):
    state: State
    since_ms: int


class Liveness:
    """Checks of silent targets, by cookie."""

    def __init__(self) -> None:
        """Begin without checks."""
        self._checks: dict[int, _Check] = {}

    def begin(self, now_ms: int, cookie: int, path_ms: int) -> bool:
        """Take up the check of a silent target; True when to probe it now.

        Args:
            now_ms: Present time.
            cookie: The target.
            path_ms: When another target of its zone last answered.
        """
        if now_ms - path_ms > MAX_ZONE_ANSWER_AGE_MS:
            return False
        check = self._checks.get(cookie)
        if check is not None and not self._over(now_ms, check):
            return False
        self._checks[cookie] = _Check(State.PROBING, now_ms)
        return True

    def record_probe(
        self,
        now_ms: int,
        cookie: int,
        accepted: bool,
        path_ms: int,
        missing: bool = False,
    ) -> bool:
        """Take the outcome of a probe; True when the target is dead from now on.

        An answer in the meantime closes the check. Without an answer of another
        target since the probe began, the way may have been cut just before, and
        the check is dropped until the next unanswered packet. That can't be when
        the entry has been missing for long: the target was silent well before.

        Args:
            now_ms: Present time.
            cookie: The target.
            accepted: It accepted a connection.
            path_ms: When another target of its zone last answered.
            missing: Its entry has been gone for longer than an outage explains.
        """
        check = self._checks.get(cookie)
        if check is None or check.state is not State.PROBING:
            return False
        if accepted:
            self._checks[cookie] = _Check(State.ALIVE, now_ms)
            return False
        if path_ms <= check.since_ms and not missing:
            del self._checks[cookie]
            return False
        self._checks[cookie] = _Check(State.DEAD, now_ms)
        return True

    def dead(self, now_ms: int, cookie: int) -> bool:
        """Tell whether flows of a target are to be reset."""
        check = self._checks.get(cookie)
        if check is None or check.state is not State.DEAD:
            return False
        return not self._over(now_ms, check)

    def lapsed(self, now_ms: int, cookie: int) -> bool:
        """Tell whether a target was dead and should be probed with its next packet."""
        check = self._checks.get(cookie)
        if check is None or check.state is not State.DEAD:
            return False
        return self._over(now_ms, check)

    def record_answer(self, cookie: int) -> bool:
        """Close the check of a target that answered; True when it was dead."""
        check = self._checks.pop(cookie, None)
        return check is not None and check.state is State.DEAD

    def _over(self, now_ms: int, check: _Check) -> bool:
        if check.state is State.PROBING:
            return False
        holds_ms = DEAD_HOLD_MS if check.state is State.DEAD else RECHECK_INTERVAL_MS
        return now_ms - check.since_ms >= holds_ms

    def keep(self, cookies: typing.Collection[int]) -> None:
        """Forget all other targets."""
        for cookie in [item for item in self._checks if item not in cookies]:
            del self._checks[cookie]
