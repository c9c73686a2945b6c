"""Detects targets and zones that leave packets unanswered.

Load pattern: a server crashes without closing its flows, and its entry stays in the
store for three heartbeats. A target answers an opening packet at once. A
retransmission of that packet, which callers send after 200 ms, therefore means that
the first packet was lost or the target is silent. The same holds for retransmitted
data while none of the target's flows makes progress.

Any answer resets the count, so that packets lost by chance rarely add up. The fault
may lie in the link of one VM, so reports of other VMs count as witnesses with the
same weight as own unanswered packets, and when all targets are silent none of them
is excluded.

A zone that is cut off makes all its targets silent at once. If each target were
detected separately, each would cost two callers 200 ms and more. Zones therefore have
a detector of their own, which counts packets to all targets of the zone.
"""

import typing

# The key of a record is the cookie of a target or the name of a zone.
Key = typing.TypeVar("Key", int, str)

# A target or zone is silent after this many unanswered packets in a row, where each
# witness counts as one packet.
SILENT_AFTER_PACKETS: typing.Final = 2
# A silent target or zone gets one trial flow per interval.
TRIAL_INTERVAL_MS: typing.Final = 1000


class _State:
    __slots__ = ("last_ms", "trial_ms", "unanswered")

    def __init__(self) -> None:
        self.unanswered = 0
        self.last_ms = 0
        self.trial_ms = 0


class SilenceDetector(typing.Generic[Key]):
    """Counts unanswered packets in a row, by target or zone."""

    def __init__(self) -> None:
        """Create a detector without unanswered packets."""
        self._states: dict[Key, _State] = {}

    def record_answer(self, key: Key) -> bool:
        """Record an answer; return True when the key was silent."""
        state = self._states.pop(key, None)
        return state is not None and state.unanswered >= SILENT_AFTER_PACKETS

    def record_unanswered(self, now_ms: int, key: Key) -> bool:
        """Record an unanswered packet; return True when the key becomes silent."""
        state = self._states.setdefault(key, _State())
        state.unanswered += 1
        state.last_ms = now_ms
        state.trial_ms = now_ms
        return state.unanswered == SILENT_AFTER_PACKETS

    def silent(self, key: Key) -> bool:
        """Return True when a key is silent by this VM's own packets."""
        state = self._states.get(key)
        return state is not None and state.unanswered >= SILENT_AFTER_PACKETS

    def __contains__(self, key: Key) -> bool:
        """Return True when a key has unanswered packets."""
        return key in self._states

    def keys(self) -> typing.AbstractSet[Key]:
        """Return the keys with unanswered packets."""
        return self._states.keys()

    def suspected(self, now_ms: int, key: Key, witnesses: int) -> bool:
        """Return True when a target or zone is to get no flow now.

        Args:
            now_ms: Present time.
            key: The target or zone.
            witnesses: Number of other VMs that lately reported it as silent.
        """
        state = self._states.get(key)
        own = state.unanswered if state is not None else 0
        if own + witnesses < SILENT_AFTER_PACKETS:
            return False
        if state is None:
            return True
        return now_ms - state.trial_ms < TRIAL_INTERVAL_MS

    def record_trial(self, now_ms: int, key: Key) -> None:
        """Record that a flow was placed on a target or zone."""
        state = self._states.get(key)
        if state is not None and state.unanswered >= SILENT_AFTER_PACKETS:
            state.trial_ms = now_ms

    def retain(self, keys: typing.Collection[Key]) -> None:
        """Delete the records of all other keys."""
        for key in [item for item in self._states if item not in keys]:
            del self._states[key]
