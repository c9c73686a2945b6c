"""A client of reservations with recorded messages, for tests."""

import typing

from eelgrasswick.cookie import model
from eelgrasswick.reservations import client, groups, messages

INCARNATION: typing.Final = 1000
HOSTS: typing.Final = {
    zone: tuple(f"10.{index}.0.{number}" for number in range(6))
    for index, zone in enumerate(("z1", "z2", "z3"))
}
OWN_HOST: typing.Final = HOSTS["z1"][0]


def make_target(name: str, zone: str) -> model.Target:
    """Return a target of the service `web` with two slots."""
    address = model.Address("10.9.0.1", 80)
    return model.Target(name, 1, b"t", "web", address, zone, 2, False, 0)


def make_groups(**targets_by_zone: int) -> tuple[groups.Group, ...]:
    """Return the groups of the service `web` with a number of targets per zone."""
    return tuple(
        groups.groups(
            "web",
            [
                make_target(f"{zone}-{number}", zone)
                for zone, count in targets_by_zone.items()
                for number in range(count)
            ],
        )
    )


def make_flow(port: int) -> model.FlowId:
    """Return the flow from a port of the test caller."""
    return model.FlowId(b"\x0a\x08\x00\x01", port, b"\x0a\x07\x00\x01", 80)


class Vm:
    """A client in zone z1, and what it sent."""

    def __init__(self) -> None:
        """Create a client that uses no target yet."""
        self.sent: list[tuple[str, messages.Message]] = []
        self.usage: dict[int, messages.Usage] = {}
        self.client = client.ReservationClient(
            OWN_HOST, "z1", INCARNATION, self.send, self.usage_of
        )

    def send(self, host: str, message: messages.Message) -> None:
        """Record a message."""
        self.sent.append((host, message))

    def usage_of(self, cookie: int) -> messages.Usage:
        """Return the present usage of a target."""
        return self.usage.get(cookie, messages.Usage(cookie, 0, 0, 0, 0))

    def set_usage(self, cookie: int, in_flight: int, completed: int) -> None:
        """Set the usage of a target."""
        row = messages.Usage(cookie, in_flight, completed, 30 * completed, 0)
        self.usage[cookie] = row

    def request(
        self,
        now_ms: int,
        port: int,
        items: tuple[groups.Group, ...],
        wait_ms: int = 100,
        raw: bytes = b"packet",
        hosts: typing.Mapping[str, typing.Sequence[str]] = HOSTS,
    ) -> list[client.Resolution]:
        """Request capacity for the flow from a port."""
        flow = make_flow(port)
        item = client.FlowRequest(flow, raw, "web", 1, wait_ms, 77, items, hosts)
        return self.client.request(now_ms, item)

    def asked(self) -> tuple[str, messages.Reserve]:
        """Return the last message, which is a request, and its receiver."""
        host, message = self.sent[-1]
        assert isinstance(message, messages.Reserve)
        return host, message

    def grant(self, now_ms: int, number: int) -> list[client.Resolution]:
        """Grant the last request its first candidate."""
        host, asked = self.asked()
        cookie = asked.candidates[0].cookie
        message = messages.Grant(55, asked.request, cookie, number, 4)
        return self.client.receive(now_ms, host, message)

    def reject(
        self,
        now_ms: int,
        expected_wait_ms: int = 30,
        reason: messages.RejectReason = messages.RejectReason.FULL,
    ) -> list[client.Resolution]:
        """Reject the last request."""
        host, asked = self.asked()
        message = messages.Reject(asked.request, reason, expected_wait_ms)
        return self.client.receive(now_ms, host, message)

    def queue(self, now_ms: int) -> list[client.Resolution]:
        """Queue the last request."""
        host, asked = self.asked()
        return self.client.receive(now_ms, host, messages.Queued(asked.request, 20))
