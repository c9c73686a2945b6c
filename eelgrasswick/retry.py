"""How often flows may be moved after a target shed them.

Load pattern: a zone or most targets go, and every flow is shed or left
unanswered. Moved again and again, each flow costs the rest several opening
packets, and the storm keeps them down. The budget (as in "Handling Overload",
Google SRE book) ties moves to new flows: beyond ``FLOOR`` at once, one move
for each ``1 / SHARE`` new flows. A caller's own retransmission still reaches a
target, and a flow that may not move is reset at once.
"""

import typing

SHARE: typing.Final = 0.2
FLOOR: typing.Final = 20.0


class RetryBudget:
    """Tokens for moves, earned by new flows."""

    def __init__(self) -> None:
        """Start with ``FLOOR`` moves."""
        self._tokens = FLOOR

    def earn(self) -> None:
        """Note a new flow."""
        self._tokens = min(FLOOR, self._tokens + SHARE)

    def spend(self) -> bool:
        """Take a token for a move; False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
