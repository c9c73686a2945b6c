"""Starts the program that runs on the users' platform.

The socket for callers' packets is bound first of all. After a loss of power of all
VMs the routers send packets at once, and those that find no socket are lost. Their
callers would wait for a retransmission 0.6 s later or more, beyond many deadlines.
"""

import importlib
import os
import pathlib
import socket
import sys
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import clock
from eelgrasswick.platform import names, settings_file

_USAGE: typing.Final = 2


def main() -> None:
    """Bind the socket, carry packets while the rest is imported, then run it."""
    path = pathlib.Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        file = settings_file.SettingsFile(path)
    except errors.SettingsInvalidError as error:
        print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
        raise SystemExit(_USAGE) from error
    waiting = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    waiting.setblocking(False)
    waiting.bind(file.settings.vm.data)
    bound_ms = clock.now_ms()
    _run(file, waiting, bound_ms)


def _run(
    file: settings_file.SettingsFile, waiting: socket.socket, bound_ms: int
) -> None:
    # Imported only now, as the socket must not wait for them.
    from eelgrasswick.cookie import carrying, model
    from eelgrasswick.platform import early, entries, segments

    carrier = carrying.build_carrier(
        file.settings, segments.Codec(), entries.Reader(), sys.stdout.fileno()
    )
    vm = file.settings.vm
    seeds = [
        model.Address(host, vm.peer.port)
        for host in file.settings.fleet.seeds
        if host != vm.peer.host
    ]
    starting = early.Early(carrier, waiting, bound_ms, seeds)
    starting.run(file.settings.store.address)
    program: typing.Any = importlib.import_module("eelgrasswick.platform.program")
    program.run(file, carrier, waiting, bound_ms, starting.members)


main()
