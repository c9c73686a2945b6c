"""Availability zones whose targets take no new flows."""

from eelgrasswick.cookie import model


class Evacuations:
    """Which availability zones the operators have evacuated.

    Attributes:
        zones: Their names.
    """

    def __init__(self) -> None:
        """Begin without evacuations."""
        self.zones: frozenset[str] = frozenset()
        self._by_key: dict[str, model.Evacuation] = {}

    def begin(self, key: str, item: model.Evacuation) -> None:
        """Take up an evacuation, or take it anew.

        Args:
            key: The row that orders it.
            item: What the row says.
        """
        self._by_key[key] = item
        self._rebuild()

    def end(self, key: str) -> model.Evacuation | None:
        """Return the evacuation that a row ordered, which is over now."""
        item = self._by_key.pop(key, None)
        self._rebuild()
        return item

    def covers(self, target: model.Target) -> bool:
        """Tell whether a target is in an evacuated zone."""
        return target.zone in self.zones

    def _rebuild(self) -> None:
        self.zones = frozenset(item.zone for item in self._by_key.values())
