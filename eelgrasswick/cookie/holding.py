"""Interface by which steering hands over opening packets that reserve capacity."""

import abc
import typing

from eelgrasswick.cookie import model


class HoldRequest(typing.NamedTuple):
    """An opening packet that has not been sent to any target.

    Attributes:
        flow: The flow that it opens.
        route: Route of the flow.
        service: Service of the flow.
        raw: The packet as received.
        targets: Targets that may get the flow; a sample in a large pool.
        urgent: True for the most urgent flows of the service.
    """

    flow: model.FlowId
    route: model.Route
    service: str
    raw: bytes
    targets: tuple[model.Target, ...]
    urgent: bool


class Holder(abc.ABC):
    """Holds opening packets until capacity at a target is reserved for them."""

    @abc.abstractmethod
    def holds(self, flow: model.FlowId) -> bool:
        """Return True while the opening packet of a flow is held."""

    @abc.abstractmethod
    def wants(self, now_ms: int, route: model.Route, service: str) -> bool:
        """Return True when new flows of a route to a service reserve capacity."""

    @abc.abstractmethod
    def hold(self, now_ms: int, request: HoldRequest) -> bool:
        """Hold an opening packet; return False when it is to be placed at once."""


class NoHolder(Holder):
    """Holds nothing, as while a VM starts or when reservations are disabled."""

    def holds(self, flow: model.FlowId) -> bool:
        """Return False."""
        return False

    def wants(self, now_ms: int, route: model.Route, service: str) -> bool:
        """Return False."""
        return False

    def hold(self, now_ms: int, request: HoldRequest) -> bool:
        """Return False."""
        return False
