"""The daemon of an entry VM: connects its engine to sockets, clock and store."""

import ipaddress
import random
import signal
import socket
import time
import traceback
import typing

import eliot
from twisted.internet import error, protocol, task

from eelgrasswick import (
    errors,
    message,
    packet,
    store,
)
from eelgrasswick.daemons import (
    link,
    link_pool,
    log,
    metric,
    setting,
    tls,
    watcher,
)
from eelgrasswick.homes import engine

IDLE_CHECK_INTERVAL_S: typing.Final = 10.0
MAX_TRACE_FRAMES: typing.Final = 4
# Datagrams can have any source address, so the caches by source are bounded.
MAX_CACHED_ADDRESSES: typing.Final = 100_000


class _UdpSocket(protocol.DatagramProtocol):
    """A UDP socket that passes received datagrams to the daemon."""

    def __init__(
        self,
        receive: typing.Callable[[packet.Address, bytes], None],
        on_failure: typing.Callable[[packet.Address, Exception], None],
    ) -> None:
        self._receive = receive
        self._on_failure = on_failure
        self._source_addresses: dict[tuple[str, int], packet.Address] = {}
        self._socket_addresses: dict[packet.Address, tuple[str, int]] = {}

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        source = self._source_addresses.get(addr)
        if source is None:
            source = packet.Address(socket.inet_aton(addr[0]), addr[1])
            if len(self._source_addresses) < MAX_CACHED_ADDRESSES:
                self._source_addresses[addr] = source
        self._receive(source, datagram)

    def send(self, destination: packet.Address, payload: bytes) -> None:
        addr = self._socket_addresses.get(destination)
        if addr is None:
            addr = (socket.inet_ntoa(destination.ip), destination.port)
            self._socket_addresses[destination] = addr
        try:
            typing.cast(typing.Any, self.transport).write(payload, addr)
        except (OSError, error.MessageLengthError) as failure:
            self._on_failure(destination, failure)


class Daemon:
    """Runs one entry VM on a Twisted reactor."""

    def __init__(
        self,
        reactor: typing.Any,
        settings: setting.Settings,
        vm_engine: engine.Engine,
        platform: store.Store,
        identity: tls.Identity | None,
        rng: random.Random,
    ) -> None:
        """Connect the parts of an entry VM; sockets are bound by ``start``.

        Args:
            reactor: Twisted's reactor.
            settings: Settings of this VM.
            vm_engine: Engine that processes all events.
            platform: Client of the platform's store.
            identity: Certificate of this VM for links; None for plain TCP.
            rng: Random source for backoff and jitter.
        """
        self._reactor = reactor
        self._settings = settings
        self._engine = vm_engine
        self._watcher = watcher.Watcher(
            reactor, platform, settings.vm.zone, self._feed, rng
        )
        self._meter = metric.Meter(vm_engine)
        self._logger = log.Logger(settings.vm.name, settings.log.dropped_per_s)
        self._identity = identity
        self._links = link_pool.LinkPool(
            reactor, settings.vm.name, settings.vm.ip, identity, self._on_link_drop
        )
        self._data_socket = _UdpSocket(self._on_data, self._on_send_failed)
        self._peer_socket = _UdpSocket(self._on_peer, self._on_send_failed)
        self._stopping = False
        self._trusted_ips: dict[bytes, bool] = {}

    def start(self) -> None:
        """Bind the sockets and start the periodic tasks.

        Raises:
            errors.SettingsInvalidError: An address cannot be bound.
        """
        vm = self._settings.vm
        try:
            self._listen(vm)
        except error.CannotListenError as failure:
            raise errors.SettingsInvalidError(f"[vm]: {failure}") from failure
        task.LoopingCall(self._tick).start(engine.TICK_MS / 1000)
        interval_s = self._settings.log.metrics_interval_s
        task.LoopingCall(self._write_metrics).start(interval_s, now=False)
        task.LoopingCall(self._links.close_idle).start(IDLE_CHECK_INTERVAL_S, now=False)
        signal.signal(signal.SIGTERM, self._on_sigterm)
        signal.signal(signal.SIGINT, self._on_sigterm)
        signal.signal(signal.SIGHUP, self._on_sighup)
        eliot.log_message(
            message_type="vm_started",
            vm=vm.name,
            zone=vm.zone,
            tls=self._identity is not None,
        )

    def _listen(self, vm: setting.VmSettings) -> None:
        self._reactor.listenUDP(vm.data_port, self._data_socket, vm.ip, 65536)
        self._reactor.listenUDP(vm.peer_port, self._peer_socket, vm.ip, 65536)
        callbacks = link.Callbacks(self._on_link, self._on_link_error)
        networks = self._settings.fleet.networks
        factory = link.LinkServerFactory(
            networks, callbacks, self._identity is not None
        )
        if self._identity is None:
            self._reactor.listenTCP(vm.link_port, factory, interface=vm.ip)
        else:
            options = self._identity.options
            self._reactor.listenSSL(vm.link_port, factory, options, interface=vm.ip)

    def _on_sigterm(self, *_: object) -> None:
        self._reactor.callFromThread(self._feed, message.Leave())

    def _on_sighup(self, *_: object) -> None:
        self._reactor.callFromThread(
            eliot.log_message,
            message_type="reload_refused",
            vm=self._settings.vm.name,
            detail="settings are read at start only; restart this VM to apply them",
        )

    def _on_data(self, source: packet.Address, payload: bytes) -> None:
        self._feed(message.FabricDatagram(source, payload))

    def _on_peer(self, source: packet.Address, payload: bytes) -> None:
        if self._is_trusted(source.ip):
            self._feed(message.PeerDatagram(source, payload))
        else:
            self._engine.outbox.count(message.Counter.PACKETS_UNKNOWN_SENDER)

    def _is_trusted(self, ip: bytes) -> bool:
        trusted = self._trusted_ips.get(ip)
        if trusted is None:
            networks = self._settings.fleet.networks
            address = ipaddress.IPv4Address(ip)
            trusted = any(address in network for network in networks)
            if len(self._trusted_ips) < MAX_CACHED_ADDRESSES:
                self._trusted_ips[ip] = trusted
        return trusted

    def _on_link(self, received: link.ReceivedMessage) -> None:
        # Whoever opens a link chooses the name in its path. Unless the name is checked
        # against the VM's address, one process in the trusted networks could report
        # loads, hand over flows or offer configurations as any VM.
        if self._engine.peers.has_ip(received.sender, received.host):
            self._feed(message.LinkReceived(received.sender, received.payload))
            return
        detail = f"link name {received.sender} does not belong to this address"
        self._on_link_error(link.LinkError(received.host, detail, False))

    def _on_link_error(self, link_error: link.LinkError) -> None:
        kind = errors.ErrorKind.MESSAGE_INVALID
        counter = message.Counter.MESSAGES_INVALID
        if not link_error.authorized:
            kind = errors.ErrorKind.SENDER_UNKNOWN
            counter = message.Counter.PACKETS_UNKNOWN_SENDER
        self._engine.outbox.count(counter)
        item = message.log(
            "link_refused",
            kind=kind.value,
            sender=link_error.host,
            detail=link_error.detail,
        )
        self._logger.write(_now_ms(), item)

    def _on_link_drop(self) -> None:
        self._engine.outbox.count(message.Counter.MESSAGES_DROPPED)

    def _tick(self) -> None:
        self._feed(message.Tick())

    def _feed(self, event: message.Event) -> None:
        now_ms = _now_ms()
        try:
            actions = self._engine.feed(now_ms, event)
        except Exception as failure:  # noqa: BLE001
            # An exception from one event must not stop the ticks or close the
            # socket: the VM would remain a member of the fleet and serve no flow.
            # The exception is logged, and the next event is processed as usual.
            self._on_exception(now_ms, failure)
            return
        for action in actions:
            try:
                self._execute(now_ms, action)
            except Exception as failure:  # noqa: BLE001
                # The remaining actions are executed, because they may concern
                # other flows.
                self._on_exception(now_ms, failure)

    def _on_exception(self, now_ms: int, failure: Exception) -> None:
        frames = traceback.extract_tb(failure.__traceback__)[-MAX_TRACE_FRAMES:]
        item = message.log(
            "handling_failed",
            detail=repr(failure),
            where=" < ".join(f"{item.name}:{item.lineno}" for item in reversed(frames)),
        )
        self._logger.write(now_ms, item)

    def _on_send_failed(self, destination: packet.Address, failure: Exception) -> None:
        item = message.log("send_failed", to=str(destination), detail=str(failure))
        self._logger.write(_now_ms(), item)

    def _execute(self, now_ms: int, action: message.Action) -> None:
        match action:
            case message.SendDatagram():
                self._data_socket.send(action.destination, action.payload)
            case message.SendFabric():
                self._data_socket.send(self._settings.fabric, action.payload)
            case message.SendPeer():
                self._peer_socket.send(action.destination, action.payload)
            case message.SendLink():
                receiver = link_pool.Receiver(action.receiver, action.destination)
                self._links.send(receiver, action.payload)
            case (
                message.WatchStore()
                | message.ReportInForce()
                | message.RepairStore()
                | message.RecordTargetEmpty()
            ):
                self._watcher.execute(action)
            case message.Log():
                self._logger.write(now_ms, action)
            case message.Stopped():
                self._stop()

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._write_metrics()
        eliot.log_message(message_type="vm_stopped", vm=self._settings.vm.name)
        self._links.close()
        self._reactor.callLater(0.1, _stop_reactor, self._reactor)

    def _write_metrics(self) -> None:
        values = {
            item.name.removeprefix(metric.PREFIX): item.value
            for item in self._meter.collect()
            if item.value
        }
        vm = self._settings.vm.name
        eliot.log_message(message_type="metrics", vm=vm, **values)


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


def _stop_reactor(reactor: typing.Any) -> None:
    if reactor.running:
        reactor.stop()
