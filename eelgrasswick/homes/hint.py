"""What a VM knows of flows for which it is not the home."""

import typing

from eelgrasswick import (
    packet,
    target,
)
from eelgrasswick.homes import _wheel


class Hint(typing.NamedTuple):
    """The target of one flow, as lately seen or told."""

    target: target.Target
    expires_ms: int


class HintTable:
    """Remembers targets of flows for a while, up to a number of flows.

    Entry VMs learn them from answers, which come straight from the target and
    so cannot be wrong, and from homes. They spare the detour by the home and
    outlive it.
    """

    def __init__(self, ttl_ms: int, capacity: int) -> None:
        """Keep each hint for ``ttl_ms`` after it was last confirmed."""
        self._ttl_ms = ttl_ms
        self._capacity = capacity
        self._hints: dict[packet.FlowKey, Hint] = {}
        self._wheel: _wheel.Wheel[packet.FlowKey] = _wheel.Wheel()

    def __len__(self) -> int:
        """Return the number of hints held."""
        return len(self._hints)

    def get(self, now_ms: int, flow: packet.FlowKey) -> target.Target | None:
        """Return the target of a flow when a hint is still good."""
        hint = self._hints.get(flow)
        if hint is None or hint.expires_ms < now_ms:
            return None
        return hint.target

    def learn(self, now_ms: int, flow: packet.FlowKey, chosen: target.Target) -> None:
        """Remember or confirm the target of a flow."""
        known = flow in self._hints
        if not known and len(self._hints) >= self._capacity:
            return
        self._hints[flow] = Hint(chosen, now_ms + self._ttl_ms)
        if not known:
            self._wheel.add(flow, now_ms + self._ttl_ms)

    def remove(self, flow: packet.FlowKey) -> None:
        """Drop the hint of a flow, if any."""
        self._hints.pop(flow, None)

    def clear(self) -> None:
        """Drop all hints."""
        self._hints.clear()

    def expire(self, now_ms: int) -> None:
        """Drop hints that were not confirmed in time."""
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
        """Replace each target by its present form and drop those that are gone."""
        for flow, hint in list(self._hints.items()):
            present = valid(hint.target)
            if present is None:
                del self._hints[flow]
            else:
                self._hints[flow] = hint._replace(target=present)

    def items(self) -> list[tuple[packet.FlowKey, target.Target]]:
        """Return flows and their targets."""
        return [(flow, hint.target) for flow, hint in self._hints.items()]
