"""Helpers that run the reactor step by step until a condition holds."""

import contextlib
import socket
import time
import typing

from twisted.internet import defer
from twisted.internet import reactor as default_reactor

from eelgrasswick.cookie import model

# No test waits nearly this long. A test that hangs fails after this time.
LIMIT_S: typing.Final = 20.0


def until(done: typing.Callable[[], bool], what: str = "the test's end") -> None:
    """Run the reactor until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within ``LIMIT_S``.
    """
    reactor = typing.cast(typing.Any, default_reactor)
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    limit_s = time.monotonic() + LIMIT_S
    while not done():
        if time.monotonic() > limit_s:
            raise TimeoutError(what)
        reactor.iterate(0.01)


def result(awaited: typing.Any) -> typing.Any:
    """Run a coroutine or deferred to its end, and return or raise its result."""
    ended: list[object] = []
    deferred = defer.ensureDeferred(awaited)
    deferred.addBoth(ended.append)
    until(lambda: bool(ended))
    if hasattr(ended[0], "raiseException"):
        ended[0].raiseException()
    return ended[0]


@contextlib.contextmanager
def full_listener() -> typing.Iterator[model.Address]:
    """Yield the address of a listener whose backlog is full."""
    listener = socket.socket()
    waiting = []
    with contextlib.closing(listener):
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(address)
            waiting.append(caller)
        yield model.Address(*address)
    for caller in waiting:
        caller.close()
