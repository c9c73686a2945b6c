"""The start of the program up to its event loop.

The socket for callers' packets is bound first of all. After a power loss of all VMs the
routers send packets at once, and packets that arrive before the binding are lost. Their
callers would wait for a retransmission after 0.6 s or more, beyond many deadlines.
"""

import importlib
import os
import pathlib
import socket
import sys
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import clock
from eelgrasswick.platform import early_signals, names, settings_file

_USAGE_EXIT_CODE: typing.Final = 2


def main(signals: early_signals.EarlySignals) -> None:
    """Bind the socket, forward packets during the imports, then run the VM.

    Args:
        signals: Handles signals until the event loop does.
    """
    path = pathlib.Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        file = settings_file.SettingsFile(path)
    except errors.SettingsInvalidError as error:
        print(f"{error.kind.value}: {error.detail}", file=sys.stderr)
        raise SystemExit(_USAGE_EXIT_CODE) from error
    data_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    data_socket.setblocking(False)
    data_socket.bind(file.settings.vm.data)
    bound_ms = clock.now_ms()
    _run(file, data_socket, bound_ms, signals)


def _run(
    file: settings_file.SettingsFile,
    data_socket: socket.socket,
    bound_ms: int,
    signals: early_signals.EarlySignals,
) -> None:
    # These modules are imported after the socket is bound, because the binding must not
    # wait for their import.
    from eelgrasswick.cookie import carrying, model
    from eelgrasswick.platform import early, entries, segments

    def build_carrier() -> carrying.Carrier:
        return carrying.build_carrier(
            file.settings, segments.Codec(), entries.Reader(), sys.stdout.fileno()
        )

    vm = file.settings.vm
    seeds = [
        model.Address(host, vm.peer.port)
        for host in file.settings.fleet.seeds
        if host != vm.peer.host
    ]
    carrier = build_carrier()
    forwarder = early.StartupForwarder(carrier, data_socket, bound_ms, seeds)
    try:
        forwarder.run(file.settings.store.address)
    except Exception as error:  # noqa: BLE001
        # The VM can start without the early rows. The carrier may have merged them only
        # in part, and a new one reads all of them again.
        forwarder.close()
        carrier = build_carrier()
        early.log_failure(carrier.parts.log, error)
    program: typing.Any = importlib.import_module("eelgrasswick.platform.program")
    program.run(file, carrier, data_socket, bound_ms, forwarder.members, signals)
