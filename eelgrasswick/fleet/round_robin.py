"""Round-robin selection in an order that is shuffled for each round."""

import random
import typing


class ShuffledRoundRobin:
    """Selects names from a changing collection, each once per round.

    If each name were drawn independently, some names would wait for many rounds.
    A shuffled round bounds the time until each name is selected (SWIM, Das,
    Gupta, Motivala 2002).
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a selection without a round; ``rng`` shuffles each round."""
        self._rng = rng
        self._remaining: list[str] = []

    def next(self, names: typing.Collection[str]) -> str | None:
        """Return the next name, or None when there are no names.

        Args:
            names: All names that may be selected now.
        """
        while self._remaining:
            name = self._remaining.pop()
            if name in names:
                return name
        self._remaining = list(names)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None
