"""Callers: they open flows through the fabric and send requests on them."""

import random
import socket
import time
import typing

from twisted.internet import protocol

from eelgrasswick.emulation import packets
from eelgrasswick.soak import history

SYN_AFTER_S: typing.Final = (0.0, 0.2, 0.6)
OPEN_S: typing.Final = 1.4
RESEND_S: typing.Final = 0.2
MAX_RESEND_S: typing.Final = 1.6
TIME_LIMIT_S: typing.Final = 3.0
FIRST_PORT: typing.Final = 10_000

Send = typing.Callable[[bytes, str, int], None]


class Plan(typing.NamedTuple):
    """What a flow is for.

    Attributes:
        service_ip: Address that the caller opens, dotted.
        service_port: Its port.
        requests: How many requests it carries, one after the other.
        answer_bytes: Size of each answer.
        pause_s: Time between an answer and the next request.
    """

    service_ip: str
    service_port: int
    requests: int
    answer_bytes: int
    pause_s: float


class Flow:
    """One flow at the caller's end."""

    def __init__(self, owner: "Caller", port: int, plan: Plan) -> None:
        """Open a flow from a port that was not used before."""
        self.name = f"{port}>{plan.service_port}"
        self.done = False
        self._owner = owner
        self._port = port
        self._plan = plan
        self._begun_s = time.monotonic()
        self._copies = 0
        self._start = random.Random(port).randrange(1, 2**31)
        self._open = False
        self._echo = 0
        self._sent = self._start + 1
        self._expected = 0
        self._got = b""
        self._request = ""
        self._line = b""
        self._asked_s = 0.0
        self._resend_s = 0.0
        self._resend_wait_s = RESEND_S
        self._left = plan.requests
        self._next_s = 0.0

    def tick(self, now_s: float) -> None:
        """Send what is due."""
        if not self._open:
            self._open_more(now_s)
        elif self._request:
            self._ask_again(now_s)
        elif now_s >= self._next_s:
            self._ask(now_s)

    def take(self, item: packets.Packet) -> None:
        """Take a packet of the target, or a reset."""
        now_s = time.monotonic()
        self._echo = item.echo or self._echo
        if item.flags & packets.RST:
            self._reset(item.without_checksum)
        elif item.flags & packets.SYN:
            if not self._open:
                self._open = True
                self._expected = item.sequence + 1
                self._next_s = now_s
            if item.sequence + 1 == self._expected or not self._got:
                self._send(packets.ACK, self._sent, b"")
        elif item.data and item.sequence == self._expected:
            self._expected += len(item.data)
            self._got += item.data
            self._send(packets.ACK, self._sent + len(self._line), b"")
            self._answered(now_s)
        elif item.data:
            self._send(packets.ACK, self._sent + len(self._line), b"")

    def _open_more(self, now_s: float) -> None:
        waited_s = now_s - self._begun_s
        if waited_s > OPEN_S:
            self._end(history.Kind.LOST, "not opened")
        elif self._copies < len(SYN_AFTER_S) and waited_s >= SYN_AFTER_S[self._copies]:
            self._send(packets.SYN, self._start, b"", self._copies)
            self._copies += 1

    def _ask(self, now_s: float) -> None:
        if not self._left:
            self._send(packets.FIN | packets.ACK, self._sent, b"")
            self.done = True
            return
        self._left -= 1
        self._request = f"{self._port}-{self._left}"
        self._line = f"{self._request} {self._plan.answer_bytes}\n".encode()
        self._got = b""
        self._asked_s = now_s
        self._resend_wait_s = RESEND_S
        self._resend(now_s)

    def _ask_again(self, now_s: float) -> None:
        if now_s - self._asked_s > TIME_LIMIT_S:
            self._send(packets.RST, self._sent, b"")
            self._end(history.Kind.LOST, "no answer")
        elif now_s >= self._resend_s and not self._got:
            self._resend(now_s)

    def _resend(self, now_s: float) -> None:
        self._send(packets.ACK, self._sent, self._line)
        self._resend_s = now_s + self._resend_wait_s
        self._resend_wait_s = min(MAX_RESEND_S, 2 * self._resend_wait_s)

    def _answered(self, now_s: float) -> None:
        if len(self._got) < self._plan.answer_bytes:
            return
        self._note(history.Kind.ANSWERED, history.digest(self._got))
        self._sent += len(self._line)
        self._line = b""
        self._request = ""
        self._next_s = now_s + self._plan.pause_s

    def _reset(self, by_vm: bool) -> None:
        kind = history.Kind.RESET if self._open else history.Kind.REFUSED
        self._end(kind, history.BY_VM if by_vm else history.BY_TARGET)

    def _end(self, kind: history.Kind, detail: str) -> None:
        self.done = True
        self._note(kind, detail)

    def _note(self, kind: history.Kind, detail: str) -> None:
        self._owner.note(
            history.Event(
                time.monotonic(),
                kind,
                self._owner.host,
                self.name,
                self._request,
                detail,
                self._begun_s,
            )
        )

    def _send(self, flags: int, sequence: int, data: bytes, copies: int = 0) -> None:
        item = packets.Packet(
            socket.inet_aton(self._owner.host),
            self._port,
            socket.inet_aton(self._plan.service_ip),
            self._plan.service_port,
            flags,
            sequence,
            self._expected if self._open else copies,
            self._echo if not flags & packets.SYN else 0,
            data,
        )
        self._owner.send(packets.encode(item), self._port)


class Caller(protocol.DatagramProtocol):
    """All flows from one IP address."""

    def __init__(
        self, host: str, send: Send, note: typing.Callable[[history.Event], None]
    ) -> None:
        """Send packets through the fabric, and note what is seen."""
        self.host = host
        self.note = note
        self.flows: dict[int, Flow] = {}
        self._fabric = send
        self._port = FIRST_PORT + int(host.rpartition(".")[2]) * 2000

    def begin(self, plan: Plan) -> None:
        """Open a flow from a new port."""
        self._port += 1
        self.flows[self._port] = Flow(self, self._port, plan)

    def tick(self, now_s: float) -> None:
        """Let each flow send what is due."""
        for port, flow in list(self.flows.items()):
            flow.tick(now_s)
            if flow.done:
                del self.flows[port]

    def send(self, raw: bytes, port: int) -> None:
        """Hand a packet to the fabric."""
        self._fabric(raw, self.host, port)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Take a packet of a target, or a reset of an entry VM."""
        item = packets.decode(datagram)
        if item is None:
            event = history.Event(
                time.monotonic(), history.Kind.FAULT, self.host, detail="bad packet"
            )
            self.note(event)
            return
        flow = self.flows.get(item.destination_port)
        if flow is not None and not flow.done:
            flow.take(item)
