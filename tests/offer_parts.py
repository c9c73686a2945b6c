"""Stand-in of a seed that answers starting VMs from a script."""

import contextlib
import socket
import struct
import threading
import typing

from eelgrasswick.cookie import model, offer, peers, source

HOST: typing.Final = "127.0.0.1"
# No test waits nearly this long. A test that hangs fails after this time.
WAIT_S: typing.Final = 10.0
MEMBERS: typing.Final = (peers.Member("10.0.0.8", "z1"),)


class Reply(typing.NamedTuple):
    """The reply to one connection.

    Attributes:
        raw: The bytes that are sent once the request has arrived.
        hold: Whether the connection stays open until the VM closes it.
        after: The bytes are sent after this event; None to send them at once.
    """

    raw: bytes
    hold: bool = False
    after: threading.Event | None = None


SILENCE: typing.Final = Reply(b"", hold=True)


class ScriptedSeed:
    """A seed that answers each connection with the next reply of a script.

    Attributes:
        requests: The requests that arrived.
        all_requested: Set once the request for the last reply has arrived.
        served: Set once all replies are sent and their connections are closed.
    """

    def __init__(self, *replies: Reply) -> None:
        """Create a seed that listens."""
        self.requests: list[bytes] = []
        self.all_requested = threading.Event()
        self.served = threading.Event()
        self._replies = replies
        self._socket = socket.create_server((HOST, 0))
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def address(self) -> model.Address:
        """The address on which the seed listens."""
        return model.Address(HOST, self._socket.getsockname()[1])

    def end(self) -> None:
        """Stop listening, and wait for the connection in progress."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join(WAIT_S)
        self._socket.close()
        assert not self._thread.is_alive()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            for number, reply in enumerate(self._replies, 1):
                connection, _ = self._socket.accept()
                with connection:
                    self._answer(connection, reply, number == len(self._replies))
            self.served.set()

    def _answer(self, connection: socket.socket, reply: Reply, last: bool) -> None:
        connection.settimeout(WAIT_S)
        self.requests.append(connection.recv(65_536))
        if last:
            self.all_requested.set()
        if reply.after is not None:
            reply.after.wait(WAIT_S)
        connection.sendall(reply.raw)
        if reply.hold:
            # The VM may close the connection with a reset.
            with contextlib.suppress(ConnectionResetError):
                assert not connection.recv(65_536)


def frame(*strings: bytes) -> bytes:
    """Return strings as they are sent, each after its length."""
    return b"".join(struct.pack(">I", len(item)) + item for item in strings)


def offer_bytes(age_ms: int, *rows: source.Row, revision: int = 7) -> bytes:
    """Return the bytes of an offer as a seed sends them."""
    changes = source.Changes(rows, revision, 0)
    offers = offer.OfferEncoder(
        lambda _: changes, lambda: offer.SenderState(age_ms, MEMBERS)
    )
    return frame(*offers.encode(0))


def unused_address() -> model.Address:
    """Return an address that refuses connections."""
    with socket.create_server((HOST, 0)) as opened:
        return model.Address(HOST, opened.getsockname()[1])
