"""Which targets are passed over because they leave packets unanswered.

Load pattern: a server crashes without a word, and its entry stays in the store
for three heartbeats. A target answers an opening packet at once, so a copy of
that packet, which callers send after 200 ms, tells that the first one was lost
or the target is silent; so does data that is sent again while none of the
target's flows moves on.

``ENOUGH`` 2: with a loss of 5% on the way two in a row by chance are one in 400,
and any answer in between begins the count anew. What one VM sees may be its own
link, so others count as witnesses of the same weight, and ``health.usable``
keeps a VM that sees all targets silent from passing over all of them.
"""

import typing

ENOUGH: typing.Final = 2
# A silent target is tried with one flow each time this has passed.
TRIAL_MS: typing.Final = 1000


class _Sight:
    __slots__ = ("last_ms", "trial_ms", "unanswered")

    def __init__(self) -> None:
        self.unanswered = 0
        self.last_ms = 0
        self.trial_ms = 0


class SilenceBook:
    """Unanswered packets in a row, by cookie."""

    def __init__(self) -> None:
        """Begin with every target answering."""
        self._sights: dict[int, _Sight] = {}

    def answered(self, cookie: int) -> bool:
        """Note that a target answered; True when it was passed over."""
        sight = self._sights.pop(cookie, None)
        return sight is not None and sight.unanswered >= ENOUGH

    def unanswered(self, now_ms: int, cookie: int) -> bool:
        """Note an unanswered packet; True when it is passed over from now on."""
        sight = self._sights.setdefault(cookie, _Sight())
        sight.unanswered += 1
        sight.last_ms = now_ms
        sight.trial_ms = now_ms
        return sight.unanswered == ENOUGH

    def silent(self, cookie: int) -> bool:
        """Tell whether this VM itself takes a target for silent."""
        sight = self._sights.get(cookie)
        return sight is not None and sight.unanswered >= ENOUGH

    def suspected(self, now_ms: int, cookie: int, witnesses: int) -> bool:
        """Tell whether a target should get no flow now.

        Args:
            now_ms: Present time.
            cookie: The target.
            witnesses: Other VMs that lately found it silent.
        """
        sight = self._sights.get(cookie)
        own = sight.unanswered if sight is not None else 0
        if own + witnesses < ENOUGH:
            return False
        if sight is None:
            return True
        return now_ms - sight.trial_ms < TRIAL_MS

    def tried(self, now_ms: int, cookie: int) -> None:
        """Note that a flow was placed on a target."""
        sight = self._sights.get(cookie)
        if sight is not None and sight.unanswered >= ENOUGH:
            sight.trial_ms = now_ms

    def keep(self, cookies: typing.Collection[int]) -> None:
        """Forget all other targets."""
        for cookie in [item for item in self._sights if item not in cookies]:
            del self._sights[cookie]
