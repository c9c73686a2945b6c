"""Turns of callers in a queue.

Load pattern: one caller opens many flows while others open few. In the order of
arrival, the flows of the greedy caller would fill the queue and the others would be
refused. When callers are served in turn, each gets an equal share of the capacity, and
what a caller does not use is shared by the others (max-min fairness).
"""

import collections
import itertools
import typing

Item = typing.TypeVar("Item")


class CallerTurns(typing.Generic[Item]):
    """Waiting flows in one lane per caller, of which one flow each is served in turn.

    Attributes:
        size: The number of flows, including withdrawn ones whose turn has not come.
    """

    def __init__(self, keeps_turns: bool) -> None:
        """Create an empty set of lanes.

        Args:
            keeps_turns: True to keep the turn of a caller without flows until it
                comes; False to let such a caller start again behind all others, so
                that `ahead` is exact for it.
        """
        self.size = 0
        self._keeps_turns = keeps_turns
        # The flows of a lane are numbered. A withdrawn flow is None.
        self._lanes: collections.OrderedDict[
            bytes, collections.OrderedDict[int, Item | None]
        ] = collections.OrderedDict()
        self._last_number = 0
        # Entry n counts the lanes with more than n flows, so that the flows ahead of
        # a new one are counted without visiting every lane.
        self._lanes_by_depth: list[int] = []

    def add(self, key: bytes, item: Item) -> int:
        """Add a flow at the end of the lane ``key``; return its number."""
        lane = self._lanes.setdefault(key, collections.OrderedDict())
        if len(lane) == len(self._lanes_by_depth):
            self._lanes_by_depth.append(0)
        self._lanes_by_depth[len(lane)] += 1
        self._last_number += 1
        lane[self._last_number] = item
        self.size += 1
        return self._last_number

    def remove(self, key: bytes, number: int) -> None:
        """Remove a flow."""
        lane = self._lanes[key]
        del lane[number]
        self._lanes_by_depth[len(lane)] -= 1
        self.size -= 1
        if not lane and not self._keeps_turns:
            del self._lanes[key]

    def withdraw(self, key: bytes, number: int) -> None:
        """Remove a flow that still counts as waiting until its turn."""
        self._lanes[key][number] = None

    def end_turn(self, key: bytes) -> None:
        """Move a lane behind all others, because one of its flows was placed."""
        if key in self._lanes:
            self._lanes.move_to_end(key)

    def first(self) -> Item | None:
        """Return the next flow in the order of service."""
        while self._lanes:
            key, lane = next(iter(self._lanes.items()))
            while lane:
                number, item = next(iter(lane.items()))
                if item is not None:
                    return item
                self.remove(key, number)
            self._lanes.pop(key, None)
        return None

    def ahead(self, key: bytes) -> int:
        """Return how many flows would be served before a new one of lane ``key``."""
        return sum(self._lanes_by_depth[: len(self._lanes.get(key, ())) + 1])

    def in_order(self) -> typing.Iterator[Item]:
        """Yield the flows in the order of service."""
        # The first flow usually is the one that is placed, so the copy that allows
        # changes during the iteration is made only for the flows after it.
        first = self.first()
        if first is None:
            return
        yield first
        lanes = [
            [item for item in lane.values() if item is not None]
            for lane in self._lanes.values()
        ]
        for position in itertools.count():
            lanes = [lane for lane in lanes if len(lane) > position]
            if not lanes:
                return
            for lane in lanes:
                if lane[position] is not first:
                    yield lane[position]
