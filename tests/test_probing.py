"""Tests of the probes that distinguish dead targets from slow ones."""

import socket

from twisted.internet import reactor as default_reactor

from eelgrasswick.cookie import model, probing
from tests import turning


def test_listening_target_accepts() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = model.Address(*listener.getsockname())
        assert turning.result(probing.connect(default_reactor, address)).accepted


def test_crashed_process_refuses() -> None:
    address = model.Address("127.0.0.1", 1)
    result = turning.result(probing.connect(default_reactor, address))
    assert result.outcome is probing.Outcome.REFUSED


def test_machine_without_power_does_not_answer() -> None:
    """Guards against a probe that hangs when a machine has lost power."""
    with turning.full_listener() as address:
        result = turning.result(probing.connect(default_reactor, address))
        assert result.outcome is probing.Outcome.NO_ANSWER
        assert result.took_ms >= probing.TIMEOUT_MS - 1


def test_refused_probe_waits_for_an_answer_of_the_zone() -> None:
    """Guards against a refused probe that is decided before the zone can answer.

    The machine of a dead process refuses at once, and so may a cut. If the probe were
    decided at once, hardly any dead target would be detected.
    """
    asked: list[bool] = []

    def answered() -> bool:
        asked.append(len(asked) >= 2)
        return asked[-1]

    turning.result(probing.wait_for_zone_answer(default_reactor, answered))
    assert asked == [False, False, True]


def test_wait_for_an_answer_of_the_zone_times_out() -> None:
    """Guards against a probe that never ends when the whole zone is cut off."""
    asked: list[None] = []

    def never() -> bool:
        asked.append(None)
        return False

    turning.result(probing.wait_for_zone_answer(default_reactor, never))
    assert len(asked) == probing.TIMEOUT_MS // probing.WAIT_STEP_MS
