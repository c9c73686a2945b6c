"""Streamed reading of an HTTP response body, with cancellation."""

import typing

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client, http

from eelgrasswick import errors


class BodyReceiver(protocol.Protocol):
    """Passes the body of one HTTP response to a callback, chunk by chunk.

    Attributes:
        done: Fires when the body has ended. Cancelling it closes the connection.
            If the connection remained open, the platform would continue to count
            a watch whose updates nobody reads.
    """

    def __init__(self, on_chunk: typing.Callable[[bytes], None]) -> None:
        """Pass each chunk to ``on_chunk``, which may raise ``errors.StoreError``."""
        self._on_chunk = on_chunk
        self.done: defer.Deferred[None] = defer.Deferred(lambda _: self._close())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass a chunk on; close the connection when the callback fails."""
        if self.done.called:
            return
        try:
            self._on_chunk(data)
        except errors.StoreError:
            self.done.errback(failure.Failure())
            self._close()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Fire ``done`` with the outcome of the body."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.done.callback(None)
        else:
            self.done.errback(reason)

    def _close(self) -> None:
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).loseConnection()
