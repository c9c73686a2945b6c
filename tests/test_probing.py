"""Telling a dead target from a slow one."""

import socket

from twisted.internet import reactor as default_reactor

from eelgrasswick.cookie import model, probing
from tests import turning


def test_target_that_listens_accepts() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = model.Address(*listener.getsockname())
        assert turning.result(probing.accepts(default_reactor, address))


def test_crashed_process_refuses() -> None:
    address = model.Address("127.0.0.1", 1)
    assert not turning.result(probing.accepts(default_reactor, address))


def test_machine_without_power_does_not_answer() -> None:
    """A server's machine has lost power, so that nothing refuses either."""
    with turning.full_listener() as address:
        assert not turning.result(probing.accepts(default_reactor, address))


def test_refusal_waits_for_an_answer_of_a_neighbour() -> None:
    """A server's process is gone and its machine refuses at once.

    A cut that refuses connections looks the same until another server of the zone
    answers; decided at once, the verdict would fall nearly every time.
    """
    asked: list[bool] = []

    def known() -> bool:
        asked.append(len(asked) >= 2)
        return asked[-1]

    turning.result(probing.wait_for_zone_answer(default_reactor, known))
    assert asked == [False, False, True]


def test_wait_for_a_neighbour_ends() -> None:
    """The whole zone is cut off, and nobody of it answers."""
    asked: list[None] = []

    def never() -> bool:
        asked.append(None)
        return False

    turning.result(probing.wait_for_zone_answer(default_reactor, never))
    assert len(asked) == probing.TIMEOUT_MS // probing.WAIT_STEP_MS
