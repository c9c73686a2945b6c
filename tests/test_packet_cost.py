"""Tests that the measured packets take the paths that are reported."""

import pytest

from eelgrasswick import message
from eelgrasswick.trials import (
    packet_cost,
    packet_path,
)


@pytest.fixture
def bench() -> packet_cost.EngineBench:
    """Two engines in virtual time that both serve."""
    return packet_cost.EngineBench()


def test_every_path_has_one_packet_per_flow(bench: packet_cost.EngineBench) -> None:
    """A path has too few packets, because too few flows have the wanted home."""
    for path in bench.paths():
        assert len(path.packets) == packet_path.FLOWS_PER_PATH


def test_only_the_path_to_another_home_forwards_packets(
    bench: packet_cost.EngineBench,
) -> None:
    """Costs are reported under a path that the packets don't take."""
    forwarded = message.Counter.PACKETS_FORWARDED
    counts = {}
    for path in bench.paths():
        before = bench.count(forwarded)
        bench.feed(bench.events(path))
        counts[path.name] = bench.count(forwarded) - before
    assert counts.pop("request_to_other_home") == packet_path.FLOWS_PER_PATH
    assert set(counts.values()) == {0}


def test_profile_lists_functions_of_the_codec(bench: packet_cost.EngineBench) -> None:
    """The profile doesn't include the processing of packets."""
    assert "dpkt.py" in bench.profile(bench.paths()[-1])
