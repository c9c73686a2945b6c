"""Records of the routes that were removed from the configuration."""

import typing

from eelgrasswick.cookie import model

# The VM records at most this many dropped routes. The design size has 8,100 addresses
# and 13,000 changes a day, and flows of a dropped route live for a minute.
MAX_DROPPED_ROUTES: typing.Final = 1000


class DroppedRoutes:
    """Addresses of routes whose removal this VM has recorded."""

    def __init__(self) -> None:
        """Create an empty table."""
        # A dict keeps insertion order, so that the oldest route is evicted first.
        self._dropped: dict[tuple[bytes, int], None] = {}

    def __contains__(self, address: tuple[bytes, int]) -> bool:
        """Return True if the removal of a route is recorded."""
        return address in self._dropped

    def record(self, former: model.Config, config: model.Config) -> None:
        """Record the routes that a new configuration does not have any more."""
        for address in former.routes.keys() - config.routes.keys():
            self._dropped[address] = None
        for address in [item for item in self._dropped if item in config.routes]:
            del self._dropped[address]
        while len(self._dropped) > MAX_DROPPED_ROUTES:
            del self._dropped[next(iter(self._dropped))]
