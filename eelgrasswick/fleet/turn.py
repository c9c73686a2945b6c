"""Whose turn it is: names in a shuffled order, each once a round."""

import random
import typing


class ShuffledRoundRobin:
    """Goes through names that come and go.

    With a name drawn anew each time, some would wait for many rounds; a shuffled
    round bounds the time until each had its turn (SWIM, Das, Gupta, Motivala 2002).
    """

    def __init__(self, rng: random.Random) -> None:
        """Shuffle with a source of randomness."""
        self._rng = rng
        self._left: list[str] = []

    def next(self, names: typing.Collection[str]) -> str | None:
        """Return the next name, or None when there is none.

        Args:
            names: All that may have a turn now.
        """
        while self._left:
            name = self._left.pop()
            if name in names:
                return name
        self._left = list(names)
        self._rng.shuffle(self._left)
        return self._left.pop() if self._left else None
