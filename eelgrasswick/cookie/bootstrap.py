"""How a VM that starts gets its first rows from another one.

Answers the load of VMs that are added or restarted by the dozen while the rest of
the fleet serves. It needs no event loop, as the libraries are not imported yet. VMs
that start after a loss of all find nobody listening, and must not wait for long.
"""

import contextlib
import importlib
import select
import socket
import struct
import time
import typing

from eelgrasswick import errors
from eelgrasswick.cookie import clock, event_log, model

if typing.TYPE_CHECKING:
    from eelgrasswick.cookie import offer

# What other VMs may take to accept a connection. After a loss of power of all it is
# lost, as VMs that are still dark do not even refuse.
CONNECT_TIMEOUT_S: typing.Final = 0.005
RESPONSE_TIMEOUT_S: typing.Final = 0.1
# VMs that are asked for rows, one after the other.
MAX_REQUESTS: typing.Final = 2
_LENGTH: typing.Final = struct.Struct(">I")
_ALL_ROWS: typing.Final = b"0"
_CHUNK_BYTES: typing.Final = 65_536


class Response(typing.NamedTuple):
    """Another VM's answer.

    Attributes:
        host: Who answered.
        asked_ms: When it was asked.
        offer: Its rows, their age, and the VMs that it knows.
    """

    host: str
    requested_ms: int
    offer: "offer.Offer"


def fetch_rows(
    seeds: typing.Sequence[model.Address], log: event_log.EventLog
) -> Response | None:
    """Ask some VMs for all rows, until one has some.

    Args:
        seeds: Whom to ask, at the addresses where they answer.
        log: Told of those that give no answer.

    Returns:
        The first answer with rows; None without one.
    """
    with contextlib.ExitStack() as held:
        connected = _connect(_in_turn(seeds), held, log)
        for address, connection in connected[:MAX_REQUESTS]:
            asked_ms = clock.now_ms()
            try:
                taken = _ask(connection)
            except (errors.MessageInvalidError, OSError) as fault:
                _note_failed(log, address, fault)
                continue
            if taken.changes.rows:
                return Response(address.host, asked_ms, taken)
    return None


def _note_failed(
    log: event_log.EventLog, address: model.Address, fault: Exception
) -> None:
    detail = f"{type(fault).__name__}: {fault}"
    log.write("bootstrap_failed", peer=address.host, detail=detail)


def _in_turn(seeds: typing.Sequence[model.Address]) -> list[model.Address]:
    # All VMs have the same seeds; those that start together begin with different ones.
    if not seeds:
        return []
    first = time.monotonic_ns() // 1000 % len(seeds)
    return [*seeds[first:], *seeds[:first]]


def _connect(
    addresses: typing.Sequence[model.Address],
    held: contextlib.ExitStack,
    log: event_log.EventLog,
) -> list[tuple[model.Address, socket.socket]]:
    """Return connections to those that accept one in time, in the order given."""
    poll = select.poll()
    waiting: dict[int, tuple[model.Address, socket.socket]] = {}
    for address in addresses:
        made = held.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        made.setblocking(False)
        made.connect_ex(address)
        poll.register(made, select.POLLOUT)
        waiting[made.fileno()] = (address, made)
    accepted: dict[model.Address, socket.socket] = {}
    end_s = time.monotonic() + CONNECT_TIMEOUT_S
    while waiting and (left_s := end_s - time.monotonic()) > 0:
        for descriptor, _ in poll.poll(1000 * left_s):
            poll.unregister(descriptor)
            address, made = waiting.pop(descriptor)
            fault = made.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault:
                _note_failed(log, address, OSError(fault, "connect"))
            else:
                accepted[address] = made
    for address, _ in waiting.values():
        _note_failed(log, address, TimeoutError("connect"))
    return [(item, accepted[item]) for item in addresses if item in accepted]


def _ask(connection: socket.socket) -> "offer.Offer":
    connection.setblocking(True)
    connection.settimeout(RESPONSE_TIMEOUT_S)
    connection.sendall(_LENGTH.pack(len(_ALL_ROWS)) + _ALL_ROWS)
    # Imported only once another VM is there to answer; after a loss of all the store
    # is read sooner without.
    reader: typing.Any = importlib.import_module("eelgrasswick.cookie.offer")
    end_s = time.monotonic() + RESPONSE_TIMEOUT_S
    strings = _receive(connection, end_s, reader.STRING_COUNT, reader.MAX_BYTES)
    decoded: offer.Offer = reader.decode(*strings)
    return decoded


def _receive(
    connection: socket.socket, end_s: float, count: int, max_bytes: int
) -> list[bytes]:
    strings: list[bytes] = []
    data = bytearray()
    while len(strings) < count:
        connection.settimeout(max(0.001, end_s - time.monotonic()))
        chunk = connection.recv(_CHUNK_BYTES)
        if not chunk:
            raise errors.MessageInvalidError("the connection ended early")
        data += chunk
        strings += _strings(data, max_bytes)
    return strings


def _strings(data: bytearray, max_bytes: int) -> list[bytes]:
    """Take the whole strings from the front of what was received."""
    found: list[bytes] = []
    while len(data) >= _LENGTH.size:
        (length,) = _LENGTH.unpack_from(data)
        if length > max_bytes:
            raise errors.MessageInvalidError(f"a string of {length} bytes")
        end = _LENGTH.size + length
        if len(data) < end:
            break
        found.append(bytes(data[_LENGTH.size : end]))
        del data[:end]
    return found
