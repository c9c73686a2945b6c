"""How often flows may be moved after a target shed them.

Load pattern: a zone or most targets go, and every flow is shed or left
unanswered. Moved again and again, each flow costs the rest several opening
packets, and the storm keeps them down. The budget (as in "Handling Overload",
Google SRE book) ties moves to new flows: beyond ``FLOOR`` at once, one move
for each ``FLOWS_PER_MOVE`` new flows. A caller's own retransmission still reaches a
target, and a flow that may not move is reset at once.
"""

import typing

NEW_FLOWS_PER_MOVE: typing.Final = 5
BURST_MOVES: typing.Final = 20


class RetryBudget:
    """Moves that new flows have earned."""

    def __init__(self) -> None:
        """Start with ``FLOOR`` moves."""
        self._earned = BURST_MOVES * NEW_FLOWS_PER_MOVE

    def earn(self) -> None:
        """Note a new flow."""
        self._earned = min(BURST_MOVES * NEW_FLOWS_PER_MOVE, self._earned + 1)

    def spend(self) -> bool:
        """Take a move; False when none is left."""
        if self._earned < NEW_FLOWS_PER_MOVE:
            return False
        self._earned -= NEW_FLOWS_PER_MOVE
        return True
