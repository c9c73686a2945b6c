"""Bootstrap of a starting VM: it fetches its first rows from another VM.

Load pattern: dozens of VMs are added or restarted while the rest of the fleet serves.
The code needs no event loop, because the libraries are not imported yet at this
point. VMs that start after a loss of the whole fleet find no other VM listening,
and must not wait for long.
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

# Other VMs have this long to accept a connection. After all VMs lost power, a starting
# VM waits for this time in vain, because VMs without power do not refuse connections.
CONNECT_TIMEOUT_S: typing.Final = 0.005
RESPONSE_TIMEOUT_S: typing.Final = 0.1
# At most this many VMs receive a request for rows, one after the other.
MAX_REQUESTS: typing.Final = 2
_LENGTH: typing.Final = struct.Struct(">I")
_ALL_ROWS: typing.Final = b"0"
# Requests all rows, which are the changes after revision 0.
REQUEST: typing.Final = _LENGTH.pack(len(_ALL_ROWS)) + _ALL_ROWS
_CHUNK_BYTES: typing.Final = 65_536


class Response(typing.NamedTuple):
    """The response of another VM.

    Attributes:
        host: Address of the VM that responded.
        requested_ms: When the request was sent.
        offer: Its rows, their age, and the members that it lists.
    """

    host: str
    requested_ms: int
    offer: "offer.Offer"


def fetch_rows(
    seeds: typing.Sequence[model.Address], log: event_log.EventLog
) -> Response | None:
    """Request all rows from some VMs, until one response has rows.

    Args:
        seeds: Addresses at which the VMs serve their rows.
        log: Receives a line for each VM that does not respond.

    Returns:
        The first response with rows; None without one.
    """
    with contextlib.ExitStack() as held:
        connected = _connect(rotate(seeds), held, log)
        for address, connection in connected[:MAX_REQUESTS]:
            requested_ms = clock.now_ms()
            try:
                received = _request_rows(connection)
            except (errors.MessageInvalidError, OSError) as fault:
                log_failure(log, address, fault)
                continue
            if received.changes.rows:
                return Response(address.host, requested_ms, received)
    return None


def log_failure(
    log: event_log.EventLog, address: model.Address, fault: Exception
) -> None:
    """Log that a VM did not send rows."""
    detail = f"{type(fault).__name__}: {fault}"
    log.write("bootstrap_failed", peer=address.host, detail=detail)


def rotate(seeds: typing.Sequence[model.Address]) -> list[model.Address]:
    """Return the seeds, beginning with one that depends on the time.

    All VMs have the same seeds. The rotation spreads the requests of VMs that start
    together over different seeds.
    """
    if not seeds:
        return []
    first = time.monotonic_ns() // 1000 % len(seeds)
    return [*seeds[first:], *seeds[:first]]


def _connect(
    addresses: typing.Sequence[model.Address],
    held: contextlib.ExitStack,
    log: event_log.EventLog,
) -> list[tuple[model.Address, socket.socket]]:
    """Return the connections that are accepted in time, in the order of addresses."""
    poll = select.poll()
    waiting: dict[int, tuple[model.Address, socket.socket]] = {}
    for address in addresses:
        connection = held.enter_context(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        )
        connection.setblocking(False)
        connection.connect_ex(address)
        poll.register(connection, select.POLLOUT)
        waiting[connection.fileno()] = (address, connection)
    accepted: dict[model.Address, socket.socket] = {}
    end_s = time.monotonic() + CONNECT_TIMEOUT_S
    while waiting and (left_s := end_s - time.monotonic()) > 0:
        for descriptor, _ in poll.poll(1000 * left_s):
            poll.unregister(descriptor)
            address, connection = waiting.pop(descriptor)
            fault = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault:
                log_failure(log, address, OSError(fault, "connect"))
            else:
                accepted[address] = connection
    for address, _ in waiting.values():
        log_failure(log, address, TimeoutError("connect"))
    return [(item, accepted[item]) for item in addresses if item in accepted]


def _request_rows(connection: socket.socket) -> "offer.Offer":
    connection.setblocking(True)
    connection.settimeout(RESPONSE_TIMEOUT_S)
    connection.sendall(REQUEST)
    # The module is imported only once another VM has accepted a connection. After a
    # loss of the whole fleet the VM saves the import and reads the store sooner.
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
            raise errors.MessageInvalidError("connection closed before the offer ended")
        data += chunk
        strings += take_strings(data, max_bytes)
    # Bytes after the offer are ignored.
    return strings[:count]


def take_strings(data: bytearray, max_bytes: int) -> list[bytes]:
    """Remove the complete strings from the front of the buffer and return them."""
    found: list[bytes] = []
    while len(data) >= _LENGTH.size:
        (length,) = _LENGTH.unpack_from(data)
        if length > max_bytes:
            raise errors.MessageInvalidError(f"string of {length} bytes is too long")
        end = _LENGTH.size + length
        if len(data) < end:
            break
        found.append(bytes(data[_LENGTH.size : end]))
        del data[:end]
    return found
