"""A target: one server process that does the work of a service."""

import typing

from eelgrasswick import packet


class Target(typing.NamedTuple):
    """One back end as the rules describe it.

    Attributes:
        name: Unique among all targets.
        service: Name of the service it works for.
        endpoint: Outer address that takes foo-over-UDP datagrams.
        zone: Availability zone in which it runs.
        slots: Requests it can work on at the same time.
        connections: Open flows it can hold.
        weight: Claimed strength relative to the other targets.
        draining: True when it must get no new flow.
        retired: True when its line has left the rules while flows may be open.
    """

    name: str
    service: str
    endpoint: packet.Address
    zone: str
    slots: int
    connections: int
    weight: float
    draining: bool
    retired: bool

    @property
    def accepts(self) -> bool:
        """True when new flows may be placed here."""
        return not (self.draining or self.retired)
