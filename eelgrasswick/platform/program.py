"""The composition root of the program that runs on the users' platform."""

import random
import signal
import socket
import sys
import typing

from twisted.internet import epollreactor, task

from eelgrasswick import errors
from eelgrasswick.cookie import carrying, entry, peers
from eelgrasswick.platform import names, settings_file, store

# How often the settings file is looked at; it may change without a signal.
SETTINGS_POLL_S: typing.Final = 1.0


def _reload(file: settings_file.SettingsFile, vm: entry.EntryVm) -> None:
    try:
        vm.reload(file.read())
    except errors.SettingsInvalidError as error:
        vm.refuse_settings(error)


def _look(file: settings_file.SettingsFile, vm: entry.EntryVm) -> None:
    try:
        if file.changed():
            _reload(file, vm)
    except errors.SettingsInvalidError as error:
        vm.refuse_settings(error)


def run(
    file: settings_file.SettingsFile,
    carrier: carrying.Carrier,
    waiting: socket.socket,
    bound_ms: int,
    members: tuple[peers.Member, ...],
) -> None:
    """Run an entry VM until SIGTERM.

    Args:
        file: Its settings, read already.
        carrier: Decides about callers' packets.
        waiting: The bound socket that callers' packets wait in.
        bound_ms: When it was bound.
        members: The other VMs, if one of them has told of all already.
    """
    # Installed before anything imports the default reactor, which would bring
    # in TLS and several megabytes that an entry VM does not use.
    epollreactor.install()
    reactor: typing.Any = sys.modules["twisted.internet.reactor"]
    parts = entry.Parts(
        carrier,
        store.Store(reactor, file.settings.store.address),
        names.READY_PATH,
        waiting,
        bound_ms,
        members,
    )
    vm = entry.EntryVm(reactor, file.settings, parts, random.Random())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(vm.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(_reload, file, vm))
    reactor.callWhenRunning(vm.start)
    looking = task.LoopingCall(_look, file, vm)
    reactor.callWhenRunning(looking.start, SETTINGS_POLL_S, now=False)
    reactor.run(installSignalHandlers=False)
