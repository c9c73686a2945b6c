"""The event loop of an entry VM, whose timers follow the steady clock."""

from twisted.internet import epollreactor, main

from eelgrasswick.cookie import clock


class SteadyReactor(epollreactor.EPollReactor):
    """Reactor whose timers do not follow the time of day.

    By default they do. When the time of day is set back by some seconds, no timer
    expires for as long; when it is set forward, timers expire too early.
    """

    def seconds(self) -> float:
        """Return the time by which timers are set; see ``IReactorTime``."""
        return clock.now_s()


def create() -> epollreactor.EPollReactor:
    """Return the reactor of an entry VM, which is not installed."""
    return SteadyReactor()


def install() -> epollreactor.EPollReactor:
    """Install the reactor of an entry VM as the default one, and return it."""
    reactor = create()
    main.installReactor(reactor)
    return reactor
