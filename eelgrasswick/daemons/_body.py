"""Takes the body of an HTTP answer piece by piece, and can be cancelled."""

import typing

from twisted.internet import defer, protocol
from twisted.python import failure
from twisted.web import client, http

from eelgrasswick import errors


class BodyReceiver(protocol.Protocol):
    """The body of one answer.

    Attributes:
        done: Fires when the body has ended. Cancelling it also
            ends the connection; were that left out, the platform would go on
            to count a watch that nobody listens to.
    """

    def __init__(self, take: typing.Callable[[bytes], None]) -> None:
        """Pass each piece to ``take``, which may raise ``errors.StoreError``."""
        self._take = take
        self.done: defer.Deferred[None] = defer.Deferred(lambda _: self._lose())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a piece."""
        if self.done.called:
            return
        try:
            self._take(data)
        except errors.StoreError:
            self.done.errback(failure.Failure())
            self._lose()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:  # noqa: N802
        """Tell that the body has ended."""
        if self.done.called:
            return
        if reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.done.callback(None)
        else:
            self.done.errback(reason)

    def _lose(self) -> None:
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).loseConnection()
