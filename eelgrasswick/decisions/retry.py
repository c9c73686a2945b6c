"""Retry budget: how often flows may be moved after a target shed them.

Load pattern: a zone or most targets fail, and every flow is shed or left unanswered. If
flows were moved without limit, each would cost the remaining targets several opening
packets, and this retry storm would keep them overloaded. The budget (as in "Handling
Overload", Google SRE book) ties moves to new flows: beyond ``BURST_MOVES`` at once, one
move for each ``NEW_FLOWS_PER_MOVE`` new flows. A caller's own retransmission still
reaches a target, and a flow that may not be moved is reset at once.
"""

import typing

NEW_FLOWS_PER_MOVE: typing.Final = 5
BURST_MOVES: typing.Final = 20


class RetryBudget:
    """A token bucket of moves, filled by new flows."""

    def __init__(self) -> None:
        """Create a full budget of ``BURST_MOVES`` moves."""
        self._credits = BURST_MOVES * NEW_FLOWS_PER_MOVE

    def earn(self) -> None:
        """Credit a new flow."""
        self._credits = min(BURST_MOVES * NEW_FLOWS_PER_MOVE, self._credits + 1)

    def spend(self) -> bool:
        """Take one move from the budget; return False when none is left."""
        if self._credits < NEW_FLOWS_PER_MOVE:
            return False
        self._credits -= NEW_FLOWS_PER_MOVE
        return True
