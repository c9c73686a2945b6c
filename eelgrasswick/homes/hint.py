"""Targets of flows of which this VM is not the home."""

import typing

from eelgrasswick import (
    packet,
    target,
)
from eelgrasswick.homes import _wheel


class Hint(typing.NamedTuple):
    """The target of one flow, as recently observed or received from a VM.

    Attributes:
        target: Target of the flow.
        expires_ms: When the hint expires unless it is confirmed.
    """

    target: target.Target
    expires_ms: int


class HintTable:
    """Stores targets of flows for a limited time, up to a number of flows.

    An entry VM gets these targets from answers, which come directly from the target and
    therefore can't be wrong, and from homes. Hints save the detour through the
    home and outlive the home.
    """

    def __init__(self, ttl_ms: int, capacity: int) -> None:
        """Create an empty table.

        Args:
            ttl_ms: Lifetime of a hint after it was last confirmed, milliseconds.
            capacity: Greatest number of hints; further flows are not stored.
        """
        self._ttl_ms = ttl_ms
        self._capacity = capacity
        self._hints: dict[packet.FlowKey, Hint] = {}
        self._wheel: _wheel.Wheel[packet.FlowKey] = _wheel.Wheel()

    def __len__(self) -> int:
        """Return the number of stored hints."""
        return len(self._hints)

    def get(self, now_ms: int, flow: packet.FlowKey) -> target.Target | None:
        """Return the target of a flow if there is a hint that has not expired."""
        hint = self._hints.get(flow)
        if hint is None or hint.expires_ms < now_ms:
            return None
        return hint.target

    def record(self, now_ms: int, flow: packet.FlowKey, chosen: target.Target) -> None:
        """Store or confirm the target of a flow."""
        known = flow in self._hints
        if not known and len(self._hints) >= self._capacity:
            return
        self._hints[flow] = Hint(chosen, now_ms + self._ttl_ms)
        if not known:
            self._wheel.add(flow, now_ms + self._ttl_ms)

    def remove(self, flow: packet.FlowKey) -> None:
        """Remove the hint of a flow, if any."""
        self._hints.pop(flow, None)

    def clear(self) -> None:
        """Remove all hints."""
        self._hints.clear()

    def expire(self, now_ms: int) -> None:
        """Remove the hints that were not confirmed within their lifetime."""
        for flow in self._wheel.due(now_ms):
            hint = self._hints.get(flow)
            if hint is None:
                continue
            if hint.expires_ms <= now_ms:
                del self._hints[flow]
            else:
                self._wheel.add(flow, hint.expires_ms)

    def update_targets(
        self, valid: typing.Callable[[target.Target], target.Target | None]
    ) -> None:
        """Replace each target by its current version and remove outdated hints.

        Args:
            valid: Returns the current version of a target, or None if the
                target may no longer be used.
        """
        for flow, hint in list(self._hints.items()):
            present = valid(hint.target)
            if present is None:
                del self._hints[flow]
            else:
                self._hints[flow] = hint._replace(target=present)

    def items(self) -> list[tuple[packet.FlowKey, target.Target]]:
        """Return all flow keys with their targets."""
        return [(flow, hint.target) for flow, hint in self._hints.items()]
