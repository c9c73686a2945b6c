"""Records of the availability zones whose targets take no new flows."""

from eelgrasswick.cookie import model


class Evacuations:
    """Availability zones that the operators have evacuated.

    Attributes:
        zones: Names of the evacuated zones.
    """

    def __init__(self) -> None:
        """Create an empty registry."""
        self.zones: frozenset[str] = frozenset()
        self._by_key: dict[str, model.Evacuation] = {}

    def begin(self, key: str, item: model.Evacuation) -> None:
        """Add or replace an evacuation.

        Args:
            key: Key of the row that orders it.
            item: The decoded row.
        """
        self._by_key[key] = item
        self._rebuild()

    def end(self, key: str) -> model.Evacuation | None:
        """Remove and return the evacuation of a row, if any."""
        item = self._by_key.pop(key, None)
        self._rebuild()
        return item

    def covers(self, target: model.Target) -> bool:
        """Return True when a target is in an evacuated zone."""
        return target.zone in self.zones

    def _rebuild(self) -> None:
        self.zones = frozenset(item.zone for item in self._by_key.values())
