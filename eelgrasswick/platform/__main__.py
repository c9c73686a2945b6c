"""The program that runs on the users' platform, and its composition root."""

import os
import pathlib
import random
import signal
import sys
import typing

from twisted.internet import epollreactor, task

from eelgrasswick import (
    errors,
    ini,
)
from eelgrasswick.cookie import entry, settings
from eelgrasswick.platform import entries, segments, store

SETTINGS_VARIABLE: typing.Final = "EELGRASSWICK_CONFIG"
READY_PATH: typing.Final = "/api/readyz"
# How often the settings file is looked at; it may change without a signal.
LOOK_S: typing.Final = 1.0
_USAGE: typing.Final = 2


class SettingsFile:
    """The settings file, read again when it changes."""

    def __init__(self, path: pathlib.Path) -> None:
        """Look at a path."""
        self._path = path
        self._text = ""

    def read(self) -> settings.Settings:
        """Return the checked settings.

        Raises:
            errors.SettingsInvalidError: The file can't be used.
        """
        self._text = ini.text(self._path)
        return settings.read(self._text)

    def changed(self) -> bool:
        """Tell whether the file holds something else than was last read."""
        return ini.text(self._path) != self._text


def _reload(file: SettingsFile, vm: entry.EntryVm) -> None:
    try:
        vm.reload(file.read())
    except errors.SettingsInvalidError as error:
        vm.refuse_settings(error)


def _look(file: SettingsFile, vm: entry.EntryVm) -> None:
    try:
        if file.changed():
            _reload(file, vm)
    except errors.SettingsInvalidError as error:
        vm.refuse_settings(error)


def main() -> None:
    """Run an entry VM until SIGTERM."""
    file = SettingsFile(pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "")))
    try:
        loaded = file.read()
    except errors.SettingsInvalidError as error:
        print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
        raise SystemExit(_USAGE) from error
    # Installed before anything imports the default reactor, which would bring
    # in TLS and several megabytes that an entry VM does not use.
    epollreactor.install()
    reactor: typing.Any = sys.modules["twisted.internet.reactor"]
    parts = entry.Parts(
        segments.Codec(),
        store.Store(reactor, loaded.store.address),
        entries.Reader(),
        READY_PATH,
    )
    descriptor = sys.stdout.fileno()
    vm = entry.EntryVm(reactor, loaded, parts, random.Random(), descriptor)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(vm.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(_reload, file, vm))
    reactor.callWhenRunning(vm.start)
    looking = task.LoopingCall(_look, file, vm)
    reactor.callWhenRunning(looking.start, LOOK_S, now=False)
    reactor.run(installSignalHandlers=False)


main()
