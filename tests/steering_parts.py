"""Fixtures with the steering of a VM, and helpers that send packets to it."""

import pytest

from eelgrasswick.cookie import catalog, model, observations, outcomes, steering
from eelgrasswick.platform import segments
from tests import cookie_parts

FRESH_MS = 100


@pytest.fixture
def target_catalog() -> catalog.Catalog:
    """Return three targets of a service, two of them in the VM's zone."""
    return cookie_parts.catalog_from(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3),
        cookie_parts.target_row("i-0c", 4, zone="z2"),
    )


@pytest.fixture
def vm_observations(target_catalog: catalog.Catalog) -> observations.Observations:
    """Return the VM's observations of the targets."""
    return observations.Observations("z1", target_catalog)


@pytest.fixture
def vm_steering(
    target_catalog: catalog.Catalog, vm_observations: observations.Observations
) -> steering.Steering:
    """Return the steering of a VM in the first zone."""
    return steering.Steering("z1", segments.Codec(), target_catalog, vm_observations)


def steer(
    vm_steering: steering.Steering, now_ms: int, raw: bytes, age_ms: int = FRESH_MS
) -> outcomes.Decision:
    """Return the decision about a packet of a caller."""
    return vm_steering.steer(now_ms, age_ms, segments.Codec().decode(raw), raw)


def opened(
    vm_steering: steering.Steering,
    now_ms: int = 0,
    retransmissions: int = 0,
    port: int = 40_001,
) -> model.Target:
    """Send an opening packet; return the target that it was sent to."""
    raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=retransmissions)
    target = steer(vm_steering, now_ms, raw).target
    assert target is not None
    return target


def same_zone_vm(
    *names: str, busy: int = 0
) -> tuple[steering.Steering, catalog.Catalog]:
    """Return the steering of a further VM of the first zone, and its catalog.

    Args:
        names: Names of the targets, all in that zone.
        busy: Number of flows that the VM has placed before.
    """
    rows = [cookie_parts.target_row(name, 2 + n) for n, name in enumerate(names)]
    made = cookie_parts.catalog_from(cookie_parts.config_row(1), *rows)
    vm = steering.Steering(
        "z1", segments.Codec(), made, observations.Observations("z1", made)
    )
    for number in range(busy):
        opened(vm, port=50_000 + number)
    return vm, made
