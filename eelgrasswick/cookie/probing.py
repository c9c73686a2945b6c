"""Asks a target for a TCP connection, to tell a dead one from a slow one."""

import typing

from twisted.internet import defer, endpoints, error, protocol

from eelgrasswick.cookie import model

# A live target accepts within a round trip, a few milliseconds; two tries side
# by side, as one opening packet may be lost.
TIMEOUT_MS: typing.Final = 250
TRIES: typing.Final = 2


class _Knock(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        typing.cast(typing.Any, self.transport).abortConnection()


async def accepts(reactor: typing.Any, address: model.Address) -> bool:
    """Tell whether something accepts connections at an address."""
    tries = [defer.ensureDeferred(_try(reactor, address)) for _ in range(TRIES)]
    return any([await item for item in tries])


async def _try(reactor: typing.Any, address: model.Address) -> bool:
    end = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=TIMEOUT_MS / 1000
    )
    try:
        await endpoints.connectProtocol(end, _Knock())
    except error.ConnectError:
        return False
    return True
