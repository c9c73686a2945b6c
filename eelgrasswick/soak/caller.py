"""Callers, which open flows through the fabric and send requests on them."""

import random
import socket
import time
import typing

from twisted.internet import protocol

from eelgrasswick.emulation import packets
from eelgrasswick.soak import history

# A caller sends a SYN packet at each of these times after the start of a flow.
SYN_TIMES_S: typing.Final = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S: typing.Final = 1.4
# The interval between retransmissions of a request doubles from the first value up to
# the second one.
RETRANSMIT_INTERVAL_S: typing.Final = 0.2
MAX_RETRANSMIT_INTERVAL_S: typing.Final = 1.6
REQUEST_TIMEOUT_S: typing.Final = 3.0
# Each caller has a range of 2,000 source ports above this one.
FIRST_PORT: typing.Final = 10_000

SendPacket = typing.Callable[[bytes, str, int], None]
Loses = typing.Callable[[], bool]


class FlowPlan(typing.NamedTuple):
    """Parameters of a flow.

    Attributes:
        service_ip: IP address of the service, in dotted form.
        service_port: Port of the service.
        requests: Number of requests, sent one after the other.
        response_bytes: Size of each response.
        pause_s: Time between a response and the next request.
        retries: How often the caller opens another flow when this one is refused.
    """

    service_ip: str
    service_port: int
    requests: int
    response_bytes: int
    pause_s: float
    retries: int = 0


class Flow:
    """The caller's end of a flow.

    Attributes:
        name: Source port and service port, as in events.
        done: True once the flow is closed, reset or given up.
        retry: Plan of the flow that replaces this one once it is done; None for none.
    """

    def __init__(self, caller: "Caller", port: int, plan: FlowPlan) -> None:
        """Create a flow from a source port that was not used before."""
        self.name = f"{port}>{plan.service_port}"
        self.done = False
        self.retry: FlowPlan | None = None
        self._caller = caller
        self._port = port
        self._plan = plan
        self._begun_s = time.monotonic()
        self._syns_sent = 0
        self._initial_sequence = random.Random(port).randrange(1, 2**31)
        self._open = False
        self._cookie = 0
        self._sequence = self._initial_sequence + 1
        self._expected_sequence = 0
        self._response = b""
        self._request = ""
        self._request_line = b""
        self._requested_s = 0.0
        self._retransmit_at_s = 0.0
        self._retransmit_interval_s = RETRANSMIT_INTERVAL_S
        self._requests_left = plan.requests
        self._next_request_s = 0.0

    def tick(self, now_s: float) -> None:
        """Send the packets that are due."""
        if not self._open:
            self._send_due_syn(now_s)
        elif self._request:
            self._retransmit_or_time_out(now_s)
        elif now_s >= self._next_request_s:
            self._begin_request(now_s)

    def receive(self, item: packets.Packet) -> None:
        """Process a packet of a target, or a reset of a VM or target."""
        now_s = time.monotonic()
        self._cookie = item.echo or self._cookie
        if item.flags & packets.RST:
            self._on_reset(item.without_checksum)
        elif item.flags & packets.SYN:
            if not self._open:
                self._open = True
                self._expected_sequence = item.sequence + 1
                self._next_request_s = now_s
            if item.sequence + 1 == self._expected_sequence or not self._response:
                self._send(packets.ACK, self._sequence, b"")
        elif item.data and item.sequence == self._expected_sequence:
            self._expected_sequence += len(item.data)
            self._response += item.data
            self._send(packets.ACK, self._sequence + len(self._request_line), b"")
            self._on_data(now_s)
        elif item.data:
            self._send(packets.ACK, self._sequence + len(self._request_line), b"")

    def _send_due_syn(self, now_s: float) -> None:
        elapsed_s = now_s - self._begun_s
        if elapsed_s > OPEN_TIMEOUT_S:
            self._end(history.Kind.LOST, "not opened")
        elif (
            self._syns_sent < len(SYN_TIMES_S)
            and elapsed_s >= SYN_TIMES_S[self._syns_sent]
        ):
            self._record(history.Kind.SENT, str(self._syns_sent))
            self._send(packets.SYN, self._initial_sequence, b"", self._syns_sent)
            self._syns_sent += 1

    def _begin_request(self, now_s: float) -> None:
        if not self._requests_left:
            self._send(packets.FIN | packets.ACK, self._sequence, b"")
            self.done = True
            return
        self._requests_left -= 1
        self._request = f"{self._port}-{self._requests_left}"
        self._request_line = f"{self._request} {self._plan.response_bytes}\n".encode()
        self._response = b""
        self._requested_s = now_s
        self._retransmit_interval_s = RETRANSMIT_INTERVAL_S
        self._send_request(now_s)

    def _retransmit_or_time_out(self, now_s: float) -> None:
        if now_s - self._requested_s > REQUEST_TIMEOUT_S:
            self._send(packets.RST, self._sequence, b"")
            self._end(history.Kind.LOST, "no answer")
        elif now_s >= self._retransmit_at_s and not self._response:
            self._send_request(now_s)

    def _send_request(self, now_s: float) -> None:
        self._send(packets.ACK, self._sequence, self._request_line)
        self._retransmit_at_s = now_s + self._retransmit_interval_s
        self._retransmit_interval_s = min(
            MAX_RETRANSMIT_INTERVAL_S, 2 * self._retransmit_interval_s
        )

    def _on_data(self, now_s: float) -> None:
        if self._response == history.FULL_RESPONSE:
            self._send(packets.RST, self._sequence, b"")
            self._end(history.Kind.TURNED_AWAY, "")
            self._plan_retry()
            return
        if len(self._response) < self._plan.response_bytes:
            return
        self._record(history.Kind.ANSWERED, history.response_digest(self._response))
        self._sequence += len(self._request_line)
        self._request_line = b""
        self._request = ""
        self._next_request_s = now_s + self._plan.pause_s

    def _on_reset(self, by_vm: bool) -> None:
        kind = history.Kind.RESET if self._open else history.Kind.REFUSED
        if not self._open:
            self._plan_retry()
        self._end(kind, history.RESET_BY_VM if by_vm else history.RESET_BY_TARGET)

    def _plan_retry(self) -> None:
        if self._plan.retries:
            self.retry = self._plan._replace(retries=self._plan.retries - 1)

    def _end(self, kind: history.Kind, detail: str) -> None:
        self.done = True
        self._record(kind, detail)

    def _record(self, kind: history.Kind, detail: str) -> None:
        self._caller.record(
            history.Event(
                time.monotonic(),
                kind,
                self._caller.host,
                self.name,
                self._request,
                detail,
                self._begun_s,
            )
        )

    def _send(self, flags: int, sequence: int, data: bytes, syns_sent: int = 0) -> None:
        item = packets.Packet(
            socket.inet_aton(self._caller.host),
            self._port,
            socket.inet_aton(self._plan.service_ip),
            self._plan.service_port,
            flags,
            sequence,
            self._expected_sequence if self._open else syns_sent,
            self._cookie if not flags & packets.SYN else 0,
            data,
        )
        self._caller.send(packets.encode(item), self._port)


class Caller(protocol.DatagramProtocol):
    """All flows from one IP address.

    Attributes:
        host: IP address of the caller.
        record: Records an event.
        flows: Open flows by source port.
    """

    def __init__(
        self,
        host: str,
        send: SendPacket,
        record: typing.Callable[[history.Event], None],
        loses: Loses,
    ) -> None:
        """Create a caller without flows.

        Args:
            host: IP address of the caller.
            send: Sends a packet from an IP address and port through the fabric.
            record: Records an event.
            loses: Returns True if the network loses a packet to a caller.
        """
        self.host = host
        self.record = record
        self.flows: dict[int, Flow] = {}
        self._send_packet = send
        self._loses = loses
        self._port = FIRST_PORT + int(host.rpartition(".")[2]) * 2000

    def open_flow(self, plan: FlowPlan) -> None:
        """Open a flow from the next unused port."""
        self._port += 1
        self.flows[self._port] = Flow(self, self._port, plan)

    def tick(self, now_s: float) -> None:
        """Send the due packets of all flows, and remove flows that are done."""
        for port, flow in list(self.flows.items()):
            if not flow.done:
                flow.tick(now_s)
            if flow.done:
                del self.flows[port]
                if flow.retry is not None:
                    self.open_flow(flow.retry)

    def send(self, raw: bytes, port: int) -> None:
        """Send a packet through the fabric."""
        self._send_packet(raw, self.host, port)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Deliver a packet of a target or an entry VM to its flow."""
        if self._loses():
            return
        item = packets.decode(datagram)
        if item is None:
            event = history.Event(
                time.monotonic(), history.Kind.FAULT, self.host, detail="bad packet"
            )
            self.record(event)
            return
        flow = self.flows.get(item.destination_port)
        if flow is not None and not flow.done:
            flow.receive(item)
