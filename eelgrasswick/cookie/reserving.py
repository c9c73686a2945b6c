"""Reserves capacity for new flows of pools that are under pressure.

This module connects the reservation client and the scheduler of a VM with its
observations, its peers, its log and its metrics.
"""

import collections
import random
import typing
import zlib

from eelgrasswick import errors
from eelgrasswick.cookie import (
    catalog,
    event_log,
    holding,
    model,
    observations,
    peers,
    pool_load,
    pressure_notices,
    reservation_log,
    stats,
    usable_groups,
)
from eelgrasswick.decisions import overload, pressure
from eelgrasswick.reservations import client, codec, held_flow, messages, scheduler

# The load of the pools is estimated at this interval.
LOAD_INTERVAL_MS: typing.Final = 500
# The state of each scheduled group is logged at this interval while it has requests.
STATE_INTERVAL_MS: typing.Final = 1000
# After a longer gap between two checks, replies that are in time may be unread in the
# socket. A VM with a part of a core is not run for some tens of milliseconds at times.
MAX_CHECK_GAP_MS: typing.Final = 20
# The records of pools without targets are deleted at this interval.
REMOVAL_INTERVAL_MS: typing.Final = 10_000
_INCARNATION_BITS: typing.Final = 31


class Parts(typing.NamedTuple):
    """Components that reservations use.

    Attributes:
        catalog: Routes and targets.
        observations: Observations of flows and targets.
        peers: The other VMs.
        log: The log.
        stats: The counters.
        send: Sends a datagram to the port for other VMs of a host.
        resolve: Called with the time and each resolution of a held flow.
        activate: Called when `Reservations.check` has to run periodically.
    """

    catalog: catalog.Catalog
    observations: observations.Observations
    peers: peers.Peers
    log: event_log.EventLog
    stats: stats.Stats
    send: typing.Callable[[str, bytes], None]
    resolve: typing.Callable[[int, client.Resolution], None]
    activate: typing.Callable[[], None]


class Reservations(holding.Holder):
    """The client and the scheduler of one VM.

    Attributes:
        enabled: False to place all flows without reservations.
    """

    def __init__(
        self, host: str, zone: str, enabled: bool, parts: Parts, rng: random.Random
    ) -> None:
        """Create the reservations of a VM that holds no flow.

        Args:
            host: Address of this VM for other VMs.
            zone: Availability zone of this VM.
            enabled: False to place all flows without reservations.
            parts: Components that reservations use.
            rng: Source of randomness.
        """
        self.enabled = enabled
        self._host = host
        self._zone = zone
        self._parts = parts
        incarnation = rng.getrandbits(_INCARNATION_BITS)
        self._client = client.ReservationClient(
            host, zone, incarnation, self._send, self._usage
        )
        self._scheduler = scheduler.Scheduler(incarnation)
        self._pressure = pressure.Pressure()
        self._load = pool_load.PoolLoad()
        self._checked_ms = 0
        self._load_ms = 0
        self._state_ms = 0
        self._log = reservation_log.ReservationLog(parts.log, parts.catalog)
        # Messages of this VM to itself, which are handled after the present one.
        self._local: collections.deque[messages.Message] = collections.deque()
        self._delivering = False
        # When this VM last handled a request as a scheduler; None for not recently.
        self._scheduled_ms: int | None = None
        self._notices = pressure_notices.PressureNotices(
            zone, self._pressure, parts.peers, parts.send, rng
        )
        # The groups of each service and the VMs of each zone, computed once per tick.
        self._groups = usable_groups.UsableGroups(
            zone, parts.catalog, parts.observations
        )
        self._hosts: dict[str, tuple[str, ...]] = {}
        self._stopped = False
        self._removed_ms = 0
        # Time of the present call, for the counts that go with a request, and the
        # requests in flight at that time once they were counted.
        self._now_ms = 0
        self._in_flight: typing.Mapping[int, int] | None = None

    @property
    def active(self) -> bool:
        """True while flows may be held or scheduled."""
        scheduling = self._scheduled_ms is not None
        return scheduling or bool(len(self._client)) or bool(len(self._notices))

    def holds(self, flow: model.FlowId) -> bool:
        """Return True while the opening packet of a flow is held."""
        return self._client.holds(flow)

    def wants(self, now_ms: int, route: model.Route, service: str) -> bool:
        """Return True when new flows of a route to a service reserve capacity."""
        if not self.enabled or self._stopped or not route.objective_ms:
            return False
        if not self._pressure.pressed(now_ms, overload.Pool(service, self._zone)):
            return False
        return self._parts.observations.flow_reuse.single_request(service)

    def hold(self, now_ms: int, request: holding.HoldRequest) -> bool:
        """Hold an opening packet; return False when it is to be placed at once."""
        if not all(target.slots for target in request.targets):
            return False
        self._begin_call(now_ms)
        item = client.FlowRequest(
            request.flow,
            request.raw,
            request.service,
            request.route.priority,
            self._wait_ms(request.route, request.service),
            zlib.crc32(request.flow.caller_ip),
            self._groups.select(now_ms, request),
            self._hosts_by_zone(),
        )
        resolutions = self._client.request(now_ms, item)
        held = not resolutions
        if held:
            self._parts.stats.counts["reservations_requested"] += 1
            self._parts.activate()
        self._deliver(now_ms)
        return held

    def _wait_ms(self, route: model.Route, service: str) -> int:
        usual_ms = self._parts.observations.response_times.mean_ms(service) or 0.0
        return max(0, min(held_flow.MAX_WAIT_MS, int(route.objective_ms - usual_ms)))

    def _hosts_by_zone(self) -> dict[str, tuple[str, ...]]:
        if not self._hosts:
            self._hosts = self._parts.peers.hosts_by_zone()
        return self._hosts

    def _usage(self, cookie: int) -> messages.Usage:
        count = self._requests_in_flight().get(cookie, 0)
        return self._parts.observations.usage.usage(cookie, count)

    def _begin_call(self, now_ms: int) -> None:
        self._now_ms = now_ms
        self._in_flight = None

    def _requests_in_flight(self) -> typing.Mapping[int, int]:
        # A request reports the use of up to eight targets, so they are counted once.
        if self._in_flight is None:
            tracker = self._parts.observations.tracker
            self._in_flight = tracker.in_flight(self._now_ms)
        return self._in_flight

    def record_rejection(self, now_ms: int, target: model.Target) -> None:
        """Record that a target refused a request because it was full."""
        pool = overload.Pool(target.service, target.zone)
        self._pressure.record_rejection(now_ms, pool)

    def record_response(
        self, now_ms: int, target: model.Target, answer_ms: int
    ) -> None:
        """Record a response, for the estimate of the load."""
        pool = overload.Pool(target.service, target.zone)
        self._load.record(now_ms, pool, answer_ms)
        if self.active:
            self._send_usage(now_ms)
            self._deliver(now_ms)

    def handle_datagram(self, now_ms: int, payload: bytes, host: str) -> None:
        """Handle a datagram about reservations from another VM."""
        try:
            message = codec.decode(payload)
        except errors.MessageInvalidError as error:
            self._parts.stats.counts["peer_messages_invalid"] += 1
            self._parts.log.write(
                "peer_message_refused", source=host, detail=error.detail
            )
            return
        self._handle(now_ms, message, host)
        self._deliver(now_ms)

    def _handle(self, now_ms: int, message: messages.Message, host: str) -> None:
        self._begin_call(now_ms)
        if isinstance(message, messages.Reserve):
            # A request is no sign of pressure. Pressure that this VM derived from
            # requests would cause requests of its own, to itself or to another
            # scheduler, and would never end.
            self._scheduled_ms = now_ms
            self._parts.activate()
            self._reply(self._scheduler.reserve(now_ms, host, message))
        elif isinstance(message, messages.UsageUpdate):
            self._reply(self._scheduler.update(now_ms, host, message))
        elif isinstance(message, messages.Pressure):
            self._notices.receive(now_ms, message)
        else:
            self._resolve(now_ms, self._client.receive(now_ms, host, message))

    def _reply(self, replies: typing.Iterable[scheduler.Reply]) -> None:
        for item in replies:
            self._send(item.host, item.message)

    def _send(self, host: str, message: messages.Message) -> None:
        if host == self._host:
            self._local.append(message)
        else:
            self._parts.send(host, codec.encode(message))

    def _deliver(self, now_ms: int) -> None:
        """Handle the messages of this VM to itself."""
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._local:
                self._handle(now_ms, self._local.popleft(), self._host)
        finally:
            self._delivering = False

    def _resolve(
        self, now_ms: int, resolutions: typing.Iterable[client.Resolution]
    ) -> None:
        for item in resolutions:
            self._parts.stats.counts[f"reservations_{item.kind.value}"] += 1
            self._parts.stats.observe("held", item.waited_ms)
            self._parts.resolve(now_ms, item)

    def check(self, now_ms: int) -> None:
        """Resolve held flows whose time has passed, and send usage that is due.

        The caller runs this every few milliseconds while `active` is true.
        """
        if now_ms - self._checked_ms > MAX_CHECK_GAP_MS:
            self._client.extend(now_ms)
        self._checked_ms = now_ms
        self._resolve(now_ms, self._client.tick(now_ms))
        self._reply(self._scheduler.tick(now_ms))
        self._send_usage(now_ms)
        self._deliver(now_ms)

    def _send_usage(self, now_ms: int) -> None:
        self._begin_call(now_ms)
        usage = {cookie: self._usage(cookie) for cookie in self._requests_in_flight()}
        for item in self._client.usage_due(now_ms, usage):
            self._send(item.host, item.message)

    def tick(self, now_ms: int) -> None:
        """Estimate the load, send notices, and log what has changed."""
        self._hosts = {}
        self._groups.clear()
        last_ms = self._scheduled_ms
        if last_ms is not None and now_ms - last_ms >= pressure.HOLD_MS:
            self._scheduled_ms = None
        if now_ms - self._load_ms >= LOAD_INTERVAL_MS:
            self._load_ms = now_ms
            self._record_load(now_ms)
        if now_ms - self._state_ms >= STATE_INTERVAL_MS:
            self._state_ms = now_ms
            self._log.write_groups(self._scheduler.pools(now_ms))
        self._log_changes(now_ms)
        self._remove_stale_pools(now_ms)
        if self.enabled:
            self._notices.send_due(now_ms)

    def _record_load(self, now_ms: int) -> None:
        vms = len(self._hosts_by_zone().get(self._zone, ()))
        scheduled = self._record_scheduled_load(now_ms)
        for pool, in_flight in self._load.in_flight(now_ms, vms).items():
            if pool not in scheduled and pool.zone == self._zone:
                slots = self._slots(pool)
                self._pressure.record_load(now_ms, pool, in_flight, slots)

    def _record_scheduled_load(self, now_ms: int) -> set[overload.Pool]:
        # The scheduler of a group knows the requests in flight of all VMs that ask it,
        # so its figures replace the estimate while all VMs of the zone ask. They
        # include requests in transit, as the limits do and the slots do not.
        in_flight: collections.Counter[overload.Pool] = collections.Counter()
        limits: collections.Counter[overload.Pool] = collections.Counter()
        for state in self._scheduler.pools(now_ms):
            pool = overload.Pool(state.service, state.zone)
            if not self._pressure.pressed(now_ms, pool):
                continue
            in_flight[pool] += state.in_flight + state.waiting
            limits[pool] += state.limit
        for pool, count in in_flight.items():
            self._pressure.record_load(now_ms, pool, count, limits[pool])
        return set(in_flight)

    def _slots(self, pool: overload.Pool) -> int:
        accepting = self._parts.catalog.accepting(pool.service)
        return sum(item.slots for item in accepting if item.zone == pool.zone)

    def _log_changes(self, now_ms: int) -> None:
        for change in self._pressure.take_changes(now_ms):
            self._log.write_pressure(change)
            self._notices.record_change(now_ms, change)
        for limit in self._scheduler.take_limit_changes():
            self._log.write_limit(limit)

    def _remove_stale_pools(self, now_ms: int) -> None:
        # Messages name services as text, and services are removed, so that the records
        # would accumulate otherwise.
        if now_ms - self._removed_ms < REMOVAL_INTERVAL_MS:
            return
        self._removed_ms = now_ms
        pools = self._parts.catalog.entries.pools
        self._pressure.retain(pools)
        self._notices.retain(pools)

    def pause(self, now_ms: int) -> None:
        """Record that this VM stood still: forget queues and packets that are late."""
        self._resolve(now_ms, self._client.pause(now_ms))
        self._reply(self._scheduler.pause(now_ms))
        self._deliver(now_ms)

    def stop(self, now_ms: int) -> None:
        """Place all held flows at once, and hold no further ones."""
        self._stopped = True
        self._resolve(now_ms, self._client.stop(now_ms))

    def gauges(self, now_ms: int) -> dict[str, int]:
        """Return the gauges of the client and the scheduler for the metrics page."""
        states = self._scheduler.pools(now_ms)
        return {
            "flows_held": len(self._client),
            "pools_under_pressure": len(self._notices),
            "scheduled_groups": len(states),
            "scheduled_limit": sum(item.limit for item in states),
            "scheduled_in_flight": sum(item.in_flight for item in states),
            "scheduled_waiting": sum(item.waiting for item in states),
        }
