"""Selects the groups in which capacity may be reserved for a flow.

Load pattern: a pool of hundreds of targets is under pressure. The targets that are
considered for a flow are a sample, and nearly all groups have only some of its
members. With 250 targets a request named two targets of eight on average, so that its
scheduler rejected it while others of the group were free. In large pools whole groups
are therefore selected, and only their targets are checked.
"""

import typing

from eelgrasswick.cookie import catalog, holding, model, observations, placing
from eelgrasswick.reservations import groups, messages

# At most this many groups of the own zone and as many of the other zones are selected,
# which have as many targets as are considered for a flow without a reservation.
MAX_GROUPS: typing.Final = placing.SAMPLE_SIZE // messages.MAX_CANDIDATES


class _Groups(typing.NamedTuple):
    own: list[groups.Group]
    others: list[groups.Group]


class UsableGroups:
    """Groups of each service with the targets that may get a flow."""

    def __init__(
        self,
        zone: str,
        target_catalog: catalog.Catalog,
        observed: observations.Observations,
    ) -> None:
        """Create the selection of a VM.

        Args:
            zone: Availability zone of the VM.
            target_catalog: Routes and targets.
            observed: Observations of targets.
        """
        self._zone = zone
        self._catalog = target_catalog
        self._observations = observed
        self._groups: dict[str, _Groups] = {}
        # Successive flows select other groups of a large pool.
        self._turn = 0

    def clear(self) -> None:
        """Compute the groups anew from now on, because targets may have changed."""
        self._groups = {}

    def select(
        self, now_ms: int, request: holding.HoldRequest
    ) -> tuple[groups.Group, ...]:
        """Return groups with the targets that may get a flow."""
        found = self._groups.get(request.service)
        if found is None:
            found = self._groups[request.service] = self._divide(request.service)
        split = self._catalog.accepting_split(request.service, self._zone)
        targets: typing.Iterable[model.Target] = request.targets
        if max(len(split.own), len(split.others)) > placing.SAMPLE_SIZE:
            self._turn += 1
            found = _Groups(
                _spread(found.own, self._turn), _spread(found.others, self._turn)
            )
            listed = [
                item for group in (*found.own, *found.others) for item in group.targets
            ]
            targets = self._observations.usable(now_ms, listed, request.urgent).targets
        allowed = {item.cookie for item in targets}
        return tuple(
            group._replace(targets=kept)
            for group in (*found.own, *found.others)
            if (kept := tuple(t for t in group.targets if t.cookie in allowed))
        )

    def _divide(self, service: str) -> _Groups:
        divided = groups.groups(service, self._catalog.accepting(service))
        return _Groups(
            [item for item in divided if item.zone == self._zone],
            [item for item in divided if item.zone != self._zone],
        )


def _spread(items: list[groups.Group], turn: int) -> list[groups.Group]:
    """Return some groups at even distances, which include all zones."""
    count = len(items)
    if count <= MAX_GROUPS:
        return items
    return [
        items[(turn + number * count // MAX_GROUPS) % count]
        for number in range(MAX_GROUPS)
    ]
