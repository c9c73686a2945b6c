"""Which targets are passed over because they leave packets unanswered.

Load pattern: a server crashes without a word, and its entry stays in the store
for three heartbeats. A target answers an opening packet at once, so a copy of
that packet, which callers send after 200 ms, tells that the first one was lost
or the target is silent; so does data that is sent again while none of the
target's flows moves on.

Any answer begins the count anew, so that packets lost by chance seldom add up. What
one VM sees may be its own link, so others count as witnesses of the same weight, and
when all targets are silent none is passed over.

A zone that is cut off makes all its targets silent at once. Found out one by
one, each costs two callers 200 ms and more; so zones have a detector of their
own, where packets to any targets of the zone count.
"""

import typing

# What silence is noted of: the cookie of a target or the name of a zone.
Key = typing.TypeVar("Key", int, str)

# Packets in a row, of this VM or by the word of others.
SILENT_AFTER_PACKETS: typing.Final = 2
# A silent target is tried with one flow each time this has passed.
TRIAL_INTERVAL_MS: typing.Final = 1000


class _State:
    __slots__ = ("last_ms", "trial_ms", "unanswered")

    def __init__(self) -> None:
        self.unanswered = 0
        self.last_ms = 0
        self.trial_ms = 0


class SilenceDetector(typing.Generic[Key]):
    """Unanswered packets in a row, by target or zone."""

    def __init__(self) -> None:
        """Begin with everyone answering."""
        self._observations: dict[Key, _State] = {}

    def record_answer(self, key: Key) -> bool:
        """Note an answer; True when it was passed over."""
        state = self._observations.pop(key, None)
        return state is not None and state.unanswered >= SILENT_AFTER_PACKETS

    def record_unanswered(self, now_ms: int, key: Key) -> bool:
        """Note an unanswered packet; True when it is passed over from now on."""
        state = self._observations.setdefault(key, _State())
        state.unanswered += 1
        state.last_ms = now_ms
        state.trial_ms = now_ms
        return state.unanswered == SILENT_AFTER_PACKETS

    def silent(self, key: Key) -> bool:
        """Tell whether this VM itself takes one for silent."""
        state = self._observations.get(key)
        return state is not None and state.unanswered >= SILENT_AFTER_PACKETS

    def keys(self) -> typing.AbstractSet[Key]:
        """Return those that left something unanswered."""
        return self._observations.keys()

    def suspected(self, now_ms: int, key: Key, witnesses: int) -> bool:
        """Tell whether one should get no flow now.

        Args:
            now_ms: Present time.
            key: The target or zone.
            witnesses: Other VMs that lately found it silent.
        """
        state = self._observations.get(key)
        own = state.unanswered if state is not None else 0
        if own + witnesses < SILENT_AFTER_PACKETS:
            return False
        if state is None:
            return True
        return now_ms - state.trial_ms < TRIAL_INTERVAL_MS

    def record_trial(self, now_ms: int, key: Key) -> None:
        """Note that a flow was placed there."""
        state = self._observations.get(key)
        if state is not None and state.unanswered >= SILENT_AFTER_PACKETS:
            state.trial_ms = now_ms

    def keep(self, keys: typing.Collection[Key]) -> None:
        """Forget all others."""
        for key in [item for item in self._observations if item not in keys]:
            del self._observations[key]
