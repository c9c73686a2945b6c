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
