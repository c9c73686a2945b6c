"""Probes targets by TCP connections, to distinguish dead targets from slow ones."""

import typing

from twisted.internet import defer, endpoints, error, protocol, task

from eelgrasswick.cookie import clock, comparison, model


class _ProbeProtocol(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        typing.cast(typing.Any, self.transport).abortConnection()


async def compare(
    reactor: typing.Any,
    target: model.Address,
    controls: typing.Sequence[model.Address],
) -> comparison.Result:
    """Return whether a process accepts connections at an address.

    Args:
        reactor: Twisted reactor.
        target: The address.
        controls: Addresses of other targets of the same zone.
    """
    state = comparison.Comparison(len(controls))
    pending: list[defer.Deferred[None]] = []
    while True:
        for attempt in state.due_attempts():
            number = attempt.control
            address = target if number is None else controls[number]
            pending.append(
                defer.ensureDeferred(_record_attempt(reactor, state, attempt, address))
            )
        result = state.result()
        if result is not None:
            break
        before_ms = clock.now_ms()
        await task.deferLater(reactor, comparison.STEP_MS / 1000, _nothing)
        state.advance(clock.now_ms() - before_ms)
    for item in pending:
        item.cancel()
    return result


def _nothing() -> None:
    """Do nothing, because only the delay is needed."""


async def _record_attempt(
    reactor: typing.Any,
    state: comparison.Comparison,
    attempt: comparison.Attempt,
    address: model.Address,
) -> None:
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=comparison.MAX_WAIT_MS / 1000
    )
    try:
        await endpoints.connectProtocol(endpoint, _ProbeProtocol())
    except error.ConnectionRefusedError:
        state.record(attempt, comparison.Outcome.REFUSED)
    except (error.ConnectError, error.ConnectingCancelledError, defer.CancelledError):
        # A time-out, or the comparison has ended without this attempt.
        return
    else:
        state.record(attempt, comparison.Outcome.ACCEPTED)
