"""Tests of the probes that distinguish dead targets from slow ones."""

import socket
import typing

import pytest
from twisted.internet import reactor as default_reactor

from eelgrasswick.cookie import comparison, model, probing
from tests import turning

REFUSING: typing.Final = model.Address("127.0.0.1", 1)


@pytest.fixture
def accepting() -> typing.Iterator[model.Address]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield model.Address(*listener.getsockname())


def _compare(target: model.Address, *controls: model.Address) -> comparison.Result:
    result = turning.result(probing.compare(default_reactor, target, controls))
    return typing.cast(comparison.Result, result)


def test_listening_target_accepts(accepting: model.Address) -> None:
    assert _compare(accepting).accepted


def test_crashed_process_refuses(accepting: model.Address) -> None:
    result = _compare(REFUSING, accepting)
    assert result.outcome is comparison.Outcome.REFUSED
    assert result.control_ms is not None


def test_machine_without_power_does_not_answer(accepting: model.Address) -> None:
    """Guards against a probe that hangs when a machine has lost power."""
    with turning.full_listener() as address:
        result = _compare(address, accepting)
    assert result.outcome is comparison.Outcome.NO_ANSWER
    assert result.control_ms is not None


def test_refusal_is_inconclusive_while_the_whole_zone_refuses() -> None:
    """Guards against resets when a cut refuses connections to all its targets."""
    result = _compare(REFUSING, REFUSING)
    assert result.outcome is comparison.Outcome.REFUSED
    assert result.control_ms is None


def test_probe_ends_when_the_whole_zone_is_cut_off() -> None:
    """Guards against a probe that never ends when the whole zone is cut off."""
    with turning.full_listener() as address:
        result = _compare(address, address)
    assert result.control_ms is None
