"""Fixtures that several test modules share."""

import typing

import hypothesis
import pytest
from twisted.internet import reactor

from tests import fleet, world

pytest_plugins = [
    "tests.control_steps",
    "tests.early_parts",
    "tests.flow_steps",
    "tests.reserving_fleet",
    "tests.steering_parts",
]

# Every run has the same verdict, because Hypothesis uses no random seeds and no
# time limits.
hypothesis.settings.register_profile("same", derandomize=True, deadline=None)
hypothesis.settings.load_profile("same")


@pytest.fixture
def rules_text() -> str:
    """Rules of two services with ten targets in three zones."""
    return fleet.rules_text()


@pytest.fixture
def small_world(rules_text: str) -> world.World:
    """World of eight VMs in three zones that serve two services."""
    made = world.World(seed=7)
    made.add_fleet(8)
    made.apply(rules_text)
    made.run(4000)
    return made


@pytest.fixture(scope="session", autouse=True)
def threads_end() -> typing.Iterator[None]:
    """Stop the reactor's thread pool after the last test.

    Tests iterate the reactor and never run it, so the reactor does not stop the
    threads that resolve host names. Without this fixture, the process prints its
    result and then waits for these threads forever.
    """
    yield
    pool = typing.cast(typing.Any, reactor).threadpool
    if pool is not None:
        pool.stop()
