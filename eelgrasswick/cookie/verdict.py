"""When a silent target counts as dead, and its flows are reset.

Load pattern: a server crashes without a word while hundreds of long flows are
open on it. Their callers send into the void: each loses the request it waits
for, and each idle one its next request too, up to its time limit. A reset lets
them open a new flow at once.

A reset of a flow that goes on well would break it, so three things must come
together. The target left a packet of its flows unanswered for 200 ms. A TCP
connection to it fails, or its entry has been gone for longer than an outage of
the store explains. And another target of its zone answers while it is probed,
so that it is not the way there that is cut.
"""

import enum
import typing

# How lately another target of the zone must have answered. On the smallest
# sheet a VM hears three answers a second from each target of its zone.
PATH_MS: typing.Final = 1000
# A target that accepted a connection is not asked again for so long.
AGAIN_MS: typing.Final = 1500


class State(enum.Enum):
    """What is thought of a silent target."""

    PROBING = "probing"
    ALIVE = "alive"
    DEAD = "dead"


class _Case(typing.NamedTuple):
    state: State
    since_ms: int


class Verdicts:
    """Cases of silent targets, by cookie."""

    def __init__(self) -> None:
        """Begin without cases."""
        self._cases: dict[int, _Case] = {}

    def begin(self, now_ms: int, cookie: int, path_ms: int) -> bool:
        """Take up the case of a silent target; True when to probe it now.

        Args:
            now_ms: Present time.
            cookie: The target.
            path_ms: When another target of its zone last answered.
        """
        if now_ms - path_ms > PATH_MS:
            return False
        case = self._cases.get(cookie)
        alive = case is not None and case.state is State.ALIVE
        if case is not None and not alive:
            return False
        if case is not None and now_ms - case.since_ms < AGAIN_MS:
            return False
        self._cases[cookie] = _Case(State.PROBING, now_ms)
        return True

    def probed(self, now_ms: int, cookie: int, accepted: bool, path_ms: int) -> bool:
        """Take the outcome of a probe; True when the target is dead from now on.

        An answer in the meantime closes the case. Without an answer of another
        target since the probe began, the way may have been cut just before, and
        the case is dropped until the next unanswered packet.
        """
        case = self._cases.get(cookie)
        if case is None or case.state is not State.PROBING:
            return False
        if accepted:
            self._cases[cookie] = _Case(State.ALIVE, now_ms)
            return False
        if path_ms <= case.since_ms:
            del self._cases[cookie]
            return False
        self._cases[cookie] = _Case(State.DEAD, now_ms)
        return True

    def dead(self, cookie: int) -> bool:
        """Tell whether flows of a target are to be reset."""
        case = self._cases.get(cookie)
        return case is not None and case.state is State.DEAD

    def answered(self, cookie: int) -> None:
        """Close the case of a target that answered."""
        self._cases.pop(cookie, None)

    def keep(self, cookies: typing.Collection[int]) -> None:
        """Forget all other targets."""
        for cookie in [item for item in self._cases if item not in cookies]:
            del self._cases[cookie]
