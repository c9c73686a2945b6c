"""Tests of the records of open flows without a route."""

import pytest

from eelgrasswick.cookie import unrouted
from tests import cookie_parts


@pytest.fixture
def flows() -> unrouted.UnroutedFlows:
    return unrouted.UnroutedFlows()


def test_time_of_the_first_packet_is_kept(flows: unrouted.UnroutedFlows) -> None:
    assert flows.first_packet_ms(100, cookie_parts.flow()) == 100
    assert flows.first_packet_ms(300, cookie_parts.flow()) == 100
    flows.remove(cookie_parts.flow())
    assert flows.first_packet_ms(400, cookie_parts.flow()) == 400


def test_later_flow_with_the_same_ports_is_another_flow(
    flows: unrouted.UnroutedFlows,
) -> None:
    """Guards against resets of a new flow by the record of a former one."""
    flows.first_packet_ms(100, cookie_parts.flow())
    later_ms = 101 + unrouted.RETENTION_MS
    assert flows.first_packet_ms(later_ms, cookie_parts.flow()) == later_ms


def test_number_of_records_is_limited(flows: unrouted.UnroutedFlows) -> None:
    """Guards against memory exhausted by packets without a route."""
    for port in range(unrouted.MAX_FLOWS + 1):
        flows.first_packet_ms(100, cookie_parts.flow(port))
    assert flows.first_packet_ms(200, cookie_parts.flow(unrouted.MAX_FLOWS)) == 100
    assert flows.first_packet_ms(200, cookie_parts.flow(0)) == 200
