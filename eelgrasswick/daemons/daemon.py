"""The thin daemon around an engine: sockets, the clock and the store."""

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
MAX_CACHED_ADDRESSES: typing.Final = 100_000


class _Port(protocol.DatagramProtocol):
    """A UDP socket that passes datagrams to the daemon."""

    def __init__(
        self,
        receive: typing.Callable[[packet.Address, bytes], None],
        failed: typing.Callable[[packet.Address, Exception], None],
    ) -> None:
        self._receive = receive
        self._failed = failed
        self._sources: dict[tuple[str, int], packet.Address] = {}
        self._destinations: dict[packet.Address, tuple[str, int]] = {}

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        source = self._sources.get(addr)
        if source is None:
            source = packet.Address(socket.inet_aton(addr[0]), addr[1])
            if len(self._sources) < MAX_CACHED_ADDRESSES:
                self._sources[addr] = source
        self._receive(source, datagram)

    def send(self, destination: packet.Address, payload: bytes) -> None:
        addr = self._destinations.get(destination)
        if addr is None:
            addr = (socket.inet_ntoa(destination.ip), destination.port)
            self._destinations[destination] = addr
        try:
            typing.cast(typing.Any, self.transport).write(payload, addr)
        except (OSError, error.MessageLengthError) as failed:
            self._failed(destination, failed)


class Daemon:
    """Runs one entry VM on a Twisted reactor."""

    def __init__(
        self,
        reactor: typing.Any,
        settings: setting.Settings,
        runs: engine.Engine,
        platform: store.Store,
        identity: tls.Identity | None,
        rng: random.Random,
    ) -> None:
        """Take the parts that the composition root has built."""
        self._reactor = reactor
        self._settings = settings
        self._engine = runs
        self._watcher = watcher.Watcher(
            reactor, platform, settings.vm.zone, self._feed, rng
        )
        self._meter = metric.Meter(runs)
        self._logger = log.Logger(settings.vm.name, settings.log.dropped_per_s)
        self._identity = identity
        self._links = link_pool.LinkPool(
            reactor, settings.vm.name, settings.vm.ip, identity, self._on_link_drop
        )
        self._data = _Port(self._on_data, self._on_send_failed)
        self._peer = _Port(self._on_peer, self._on_send_failed)
        self._stopping = False
        self._trusted_ips: dict[bytes, bool] = {}

    def start(self) -> None:
        """Bind the sockets and begin to tick.

        Raises:
            errors.SettingsInvalidError: An address can't be bound.
        """
        vm = self._settings.vm
        try:
            self._listen(vm)
        except error.CannotListenError as failed:
            raise errors.SettingsInvalidError(f"[vm]: {failed}") from failed
        task.LoopingCall(self._tick).start(engine.TICK_MS / 1000)
        interval_s = self._settings.log.metrics_interval_s
        task.LoopingCall(self._write_metrics).start(interval_s, now=False)
        task.LoopingCall(self._links.close_idle).start(IDLE_CHECK_INTERVAL_S, now=False)
        signal.signal(signal.SIGTERM, self._on_term)
        signal.signal(signal.SIGINT, self._on_term)
        signal.signal(signal.SIGHUP, self._on_hup)
        eliot.log_message(
            message_type="vm_started",
            vm=vm.name,
            zone=vm.zone,
            tls=self._identity is not None,
        )

    def _listen(self, vm: setting.VmSettings) -> None:
        self._reactor.listenUDP(vm.data_port, self._data, vm.ip, 65536)
        self._reactor.listenUDP(vm.peer_port, self._peer, vm.ip, 65536)
        listener = link.Callbacks(self._on_link, self._on_link_fault)
        networks = self._settings.fleet.networks
        factory = link.LinkServerFactory(networks, listener, self._identity is not None)
        if self._identity is None:
            self._reactor.listenTCP(vm.link_port, factory, interface=vm.ip)
        else:
            options = self._identity.options
            self._reactor.listenSSL(vm.link_port, factory, options, interface=vm.ip)

    def _on_term(self, *_: object) -> None:
        self._reactor.callFromThread(self._feed, message.Leave())

    def _on_hup(self, *_: object) -> None:
        self._reactor.callFromThread(
            eliot.log_message,
            message_type="reload_refused",
            vm=self._settings.vm.name,
            detail="settings are read at start only; stop this VM and start it",
        )

    def _on_data(self, source: packet.Address, payload: bytes) -> None:
        self._feed(message.FabricDatagram(source, payload))

    def _on_peer(self, source: packet.Address, payload: bytes) -> None:
        if self._trusted(source.ip):
            self._feed(message.PeerDatagram(source, payload))
        else:
            self._engine.outbox.count(message.Counter.PACKETS_UNKNOWN_SENDER)

    def _trusted(self, ip: bytes) -> bool:
        known = self._trusted_ips.get(ip)
        if known is None:
            networks = self._settings.fleet.networks
            address = ipaddress.IPv4Address(ip)
            known = any(address in network for network in networks)
            if len(self._trusted_ips) < MAX_CACHED_ADDRESSES:
                self._trusted_ips[ip] = known
        return known

    def _on_link(self, arrival: link.ReceivedMessage) -> None:
        # The name in a link's path is a claim. Believed from any address, one
        # process in the trusted networks could report loads, hand over flows or
        # offer configurations as any VM.
        if self._engine.peers.has_ip(arrival.sender, arrival.host):
            self._feed(message.LinkReceived(arrival.sender, arrival.payload))
            return
        claim = f"claims to be {arrival.sender}"
        self._on_link_fault(link.LinkError(arrival.host, claim, False))

    def _on_link_fault(self, fault: link.LinkError) -> None:
        kind = errors.ErrorKind.MESSAGE_INVALID
        counter = message.Counter.MESSAGES_INVALID
        if not fault.authorized:
            kind = errors.ErrorKind.SENDER_UNKNOWN
            counter = message.Counter.PACKETS_UNKNOWN_SENDER
        self._engine.outbox.count(counter)
        item = message.log(
            "link_refused", kind=kind.value, sender=fault.host, detail=fault.detail
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
        except Exception as failed:  # noqa: BLE001
            # A fault in handling one event must not end the ticks or the
            # socket: the VM would keep its place in the fleet and serve nobody.
            # The event in the log shows the fault; the next event goes on.
            self._on_fault(now_ms, failed)
            return
        for action in actions:
            try:
                self._do(now_ms, action)
            except Exception as failed:  # noqa: BLE001
                # The actions after it may be for other flows.
                self._on_fault(now_ms, failed)

    def _on_fault(self, now_ms: int, failed: Exception) -> None:
        where = traceback.extract_tb(failed.__traceback__)[-MAX_TRACE_FRAMES:]
        item = message.log(
            "handling_failed",
            detail=repr(failed),
            where=" < ".join(f"{item.name}:{item.lineno}" for item in reversed(where)),
        )
        self._logger.write(now_ms, item)

    def _on_send_failed(self, destination: packet.Address, failed: Exception) -> None:
        item = message.log("send_failed", to=str(destination), detail=str(failed))
        self._logger.write(_now_ms(), item)

    def _do(self, now_ms: int, action: message.Action) -> None:
        match action:
            case message.SendDatagram():
                self._data.send(action.destination, action.payload)
            case message.SendFabric():
                self._data.send(self._settings.fabric, action.payload)
            case message.SendPeer():
                self._peer.send(action.destination, action.payload)
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
