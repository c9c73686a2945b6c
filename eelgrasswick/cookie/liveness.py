"""Decides when a silent target is dead, so that its flows are reset.

Load pattern: a server crashes without closing its hundreds of long flows. Each caller
waits until its deadline for its present request, and an idle caller for its next
request. A reset lets a caller open a new flow at once.

A reset would break a working flow, so a target is dead only under three conditions.
It left a packet of its flows unanswered for 200 ms. A TCP connection to the target
fails. And other targets of its zone accept connections that were attempted at the same
moments, several times as fast, which excludes a cut of the path to the zone and a
congested link of this VM. The last condition is waived for a target whose entry has
been missing for longer than an outage of the store explains.
"""

import enum
import typing

# A target is probed only if another target of its zone answered within this time.
MAX_ZONE_ANSWER_AGE_MS: typing.Final = 1000
# A target that accepted a connection is not probed again for this long.
RECHECK_INTERVAL_MS: typing.Final = 1500
# A target stays dead for this long after a failed probe. The time is short because a
# server whose own link was cut looks like a crashed one and returns without a restart,
# and this VM resets every flow that was opened on it in the meantime. The next probe of
# a server that stays dead costs its callers a quarter of a second.
DEAD_HOLD_MS: typing.Final = 2000


class State(enum.Enum):
    """State of the check of a silent target."""

    PROBING = "probing"
    ALIVE = "alive"
    DEAD = "dead"


class _Check(typing.NamedTuple):
    state: State
    since_ms: int


class Liveness:
    """Checks of silent targets, by cookie."""

    def __init__(self) -> None:
        """Create an empty registry of checks."""
        self._checks: dict[int, _Check] = {}

    @property
    def cookies(self) -> typing.AbstractSet[int]:
        """Cookies of the targets with a check."""
        return self._checks.keys()

    def begin(self, now_ms: int, cookie: int, zone_answered_ms: int) -> bool:
        """Begin the check of a silent target; return True when to probe it now.

        Args:
            now_ms: Present time.
            cookie: Cookie of the target.
            zone_answered_ms: Time when another target of its zone last answered.
        """
        if now_ms - zone_answered_ms > MAX_ZONE_ANSWER_AGE_MS:
            return False
        check = self._checks.get(cookie)
        if check is not None and not self._expired(now_ms, check):
            return False
        self._checks[cookie] = _Check(State.PROBING, now_ms)
        return True

    def record_probe(
        self,
        now_ms: int,
        cookie: int,
        accepted: bool,
        path_proven: bool,
        missing: bool = False,
    ) -> bool:
        """Record the result of a probe; return True when the target becomes dead.

        If the target answered a packet in the meantime, its check is closed and the
        result is ignored. If the probe does not prove that the path works, it may have
        been cut or congested, and the check is dropped until the next unanswered
        packet. That is no explanation if the target's entry has been missing for long,
        because the target was silent well before.

        Args:
            now_ms: Present time.
            cookie: Cookie of the target.
            accepted: True when the target accepted a connection.
            path_proven: True when other targets of its zone accepted connections that
                were attempted at the same moments.
            missing: True when its entry has been missing for longer than an outage of
                the store explains.
        """
        check = self._checks.get(cookie)
        if check is None or check.state is not State.PROBING:
            return False
        if accepted:
            self._checks[cookie] = _Check(State.ALIVE, now_ms)
            return False
        if not path_proven and not missing:
            del self._checks[cookie]
            return False
        self._checks[cookie] = _Check(State.DEAD, now_ms)
        return True

    def dead(self, now_ms: int, cookie: int) -> bool:
        """Return True when the flows of a target are to be reset."""
        check = self._checks.get(cookie)
        if check is None or check.state is not State.DEAD:
            return False
        return not self._expired(now_ms, check)

    def checked_ms(self, cookie: int) -> int | None:
        """Return the time of the last change of a target's check, if there is one."""
        check = self._checks.get(cookie)
        return None if check is None else check.since_ms

    def lapsed(self, now_ms: int, cookie: int) -> bool:
        """Return True when a target's dead state has expired without a new check."""
        check = self._checks.get(cookie)
        if check is None or check.state is not State.DEAD:
            return False
        return self._expired(now_ms, check)

    def record_answer(self, cookie: int) -> bool:
        """Close the check of a target that answered; return True if it was dead."""
        check = self._checks.pop(cookie, None)
        return check is not None and check.state is State.DEAD

    def _expired(self, now_ms: int, check: _Check) -> bool:
        if check.state is State.PROBING:
            return False
        holds_ms = DEAD_HOLD_MS if check.state is State.DEAD else RECHECK_INTERVAL_MS
        return now_ms - check.since_ms >= holds_ms

    def retain(self, cookies: typing.Collection[int]) -> None:
        """Delete the checks of all other targets."""
        for cookie in [item for item in self._checks if item not in cookies]:
            del self._checks[cookie]
