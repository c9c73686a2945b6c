"""A target: one back-end process that does the work of a service."""

import typing

from eelgrasswick import packet


class Target(typing.NamedTuple):
    """One target as the rules describe it.

    Attributes:
        name: Unique among all targets.
        service: Name of the service that it works for.
        endpoint: Outer address at which it receives foo-over-UDP datagrams.
        zone: Availability zone in which it runs.
        slots: Number of requests that it can process concurrently.
        connections: Number of open flows that it can hold.
        weight: Configured capacity relative to the other targets.
        draining: True when no new flow may be placed on it.
        retired: True when its line was removed from the rules while flows may
            still be open.
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
        """True when new flows may be placed on this target."""
        return not (self.draining or self.retired)
