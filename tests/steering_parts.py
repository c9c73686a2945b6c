"""Fixtures with the steering of a VM, and helpers that send packets to it."""

import pytest

from eelgrasswick.cookie import catalog, model, observations, steering
from eelgrasswick.platform import segments
from tests import cookie_parts

FRESH_MS = 100


@pytest.fixture
def known() -> catalog.Catalog:
    """Return three targets of a service, two of them in the VM's zone."""
    return cookie_parts.catalog_from(
        cookie_parts.config_row(1),
        cookie_parts.target_row("i-0a", 2),
        cookie_parts.target_row("i-0b", 3),
        cookie_parts.target_row("i-0c", 4, zone="z2"),
    )


@pytest.fixture
def seen(known: catalog.Catalog) -> observations.Observations:
    """Return the VM's observations of the targets."""
    return observations.Observations("z1", known)


@pytest.fixture
def steers(
    known: catalog.Catalog, seen: observations.Observations
) -> steering.Steering:
    """Return the steering of a VM in the first zone."""
    return steering.Steering("z1", segments.Codec(), known, seen)


def steer(
    steers: steering.Steering, now_ms: int, raw: bytes, age_ms: int = FRESH_MS
) -> steering.Decision:
    """Return the decision about a packet of a caller."""
    return steers.steer(now_ms, age_ms, segments.Codec().decode(raw), raw)


def opened(
    steers: steering.Steering,
    now_ms: int = 0,
    retransmissions: int = 0,
    port: int = 40_001,
) -> model.Target:
    """Send an opening packet; return the target that it was sent to."""
    raw = cookie_parts.packet(cookie_parts.SYN, port, acknowledged=retransmissions)
    target = steer(steers, now_ms, raw).target
    assert target is not None
    return target
