"""The paths whose cost is measured are the ones their names say."""

import pytest

from eelgrasswick import message
from eelgrasswick.trials import (
    packet_cost,
    packet_path,
)


@pytest.fixture
def bench() -> packet_cost.EngineBench:
    """Two engines that serve."""
    return packet_cost.EngineBench()


def test_every_path_has_packets(bench: packet_cost.EngineBench) -> None:
    for path in bench.paths():
        assert len(path.packets) == packet_path.FLOWS_PER_PATH


def test_paths_take_the_way_their_names_say(bench: packet_cost.EngineBench) -> None:
    forwarded = message.Counter.PACKETS_FORWARDED
    seen = {}
    for path in bench.paths():
        before = bench.count(forwarded)
        bench.feed(bench.events(path))
        seen[path.name] = bench.count(forwarded) - before
    assert seen.pop("request_to_other_home") == packet_path.FLOWS_PER_PATH
    assert set(seen.values()) == {0}


def test_profile_names_the_codec(bench: packet_cost.EngineBench) -> None:
    assert "dpkt.py" in bench.profile(bench.paths()[-1])
