"""Groups of targets, and the VM that is the scheduler of each group.

All VMs with the same targets and hosts compute the same groups and schedulers, so that
no message is needed to agree on them.
"""

import hashlib
import heapq
import itertools
import operator
import typing

from eelgrasswick.cookie import model
from eelgrasswick.reservations import messages


class Group(typing.NamedTuple):
    """Targets of one pool that share a scheduler.

    Attributes:
        key: Text of the form ``service/zone/index``.
        zone: Availability zone of the targets.
        targets: The targets, by cookie.
    """

    key: str
    zone: str
    targets: tuple[model.Target, ...]


def groups(service: str, targets: typing.Iterable[model.Target]) -> list[Group]:
    """Divide the targets of a service into groups of even size.

    Args:
        service: Name of the service.
        targets: All its targets, in any order.

    Returns:
        The groups by zone and index.
    """
    by_zone = operator.attrgetter("zone")
    ordered = sorted(targets, key=lambda item: (item.zone, item.cookie))
    return [
        Group(f"{service}/{zone}/{index}", zone, chunk)
        for zone, items in itertools.groupby(ordered, by_zone)
        for index, chunk in enumerate(_chunks(tuple(items)))
    ]


def scheduler_host(key: str, hosts: typing.Iterable[str]) -> str | None:
    """Return the host that is the scheduler of a group, or None without hosts.

    Args:
        key: Key of the group.
        hosts: Addresses of the live VMs of the group's zone, in any order.
    """
    return next(iter(ranked_hosts(key, hosts, 1)), None)


def ranked_hosts(key: str, hosts: typing.Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first hosts by rendezvous hashing for a key, the scheduler first."""
    scored = ((_score(key, host), host) for host in hosts)
    return tuple(host for _, host in heapq.nlargest(count, scored))


def _score(key: str, host: str) -> bytes:
    return hashlib.blake2b(f"{key} {host}".encode(), digest_size=8).digest()


def _chunks(
    targets: tuple[model.Target, ...],
) -> typing.Iterator[tuple[model.Target, ...]]:
    count = -(-len(targets) // messages.MAX_CANDIDATES)
    for index in range(count):
        first = index * len(targets) // count
        yield targets[first : (index + 1) * len(targets) // count]
