"""The composition root of the program that runs on the users' platform."""

import functools
import random
import signal
import socket
import typing

from twisted.internet import defer
from twisted.python import failure

from eelgrasswick import errors
from eelgrasswick.cookie import carrying, entry, event_loop, peers
from eelgrasswick.platform import early_signals, names, settings_file, store

# The settings file is checked for changes at this interval. It may change without a
# signal to the process.
SETTINGS_POLL_S: typing.Final = 1.0
START_FAILED_EXIT_CODE: typing.Final = 1


def _reload(file: settings_file.SettingsFile, vm: entry.EntryVm) -> None:
    try:
        vm.reload(file.read())
    except errors.SettingsInvalidError as error:
        vm.refuse_settings(error)


def _reload_if_changed(file: settings_file.SettingsFile, vm: entry.EntryVm) -> None:
    try:
        if file.changed():
            _reload(file, vm)
    except errors.SettingsInvalidError as error:
        vm.refuse_settings(error)


def run(
    file: settings_file.SettingsFile,
    carrier: carrying.Carrier,
    data_socket: socket.socket,
    bound_ms: int,
    members: tuple[peers.Member, ...],
    signals: early_signals.EarlySignals,
) -> None:
    """Run an entry VM until SIGTERM.

    Args:
        file: The settings file, which was already read.
        carrier: Decides about callers' packets.
        data_socket: The bound socket in which callers' packets wait.
        bound_ms: When the socket was bound, in milliseconds.
        members: The other VMs, if a peer has already sent them.
        signals: Handled signals until now.

    Raises:
        SystemExit: A socket could not be opened, or the start failed otherwise.
    """
    # The reactor is installed before any import of the default reactor, which would
    # load TLS and several megabytes that an entry VM does not use.
    reactor: typing.Any = event_loop.install()
    parts = entry.Parts(
        carrier,
        store.Store(reactor, file.settings.store.address),
        names.READY_PATH,
        data_socket,
        bound_ms,
        members,
    )
    vm = entry.EntryVm(reactor, file.settings, parts, random.Random())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(vm.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(_reload, file, vm))
    failures: list[failure.Failure] = []

    def start() -> None:
        defer.maybeDeferred(vm.start).addErrback(end)

    def end(fault: failure.Failure) -> None:
        # Without its sockets the process would never serve, and the platform starts a
        # new one only after its end.
        failures.append(fault)
        vm.log_failed_start(fault)
        reactor.stop()

    reactor.callWhenRunning(start)
    if signals.stop_requested_ms is not None:
        reactor.callWhenRunning(vm.stop, signals.stop_requested_ms)
    poll = functools.partial(_reload_if_changed, file, vm)
    reactor.callWhenRunning(vm.run_periodically, "settings", poll, SETTINGS_POLL_S)
    reactor.run(installSignalHandlers=False)
    if failures:
        raise SystemExit(START_FAILED_EXIT_CODE)
