"""Injects the faults of a run from outside the programs."""

import pathlib
import signal
import time
import typing

from eelgrasswick.soak import (
    fabric,
    faults,
    history,
    layout,
    operator,
    peer_links,
    processes,
    proxy,
    stepped_vm,
)

CONFIG_SERIES_ROUTES: typing.Final = 6
CONFIG_SERIES_INTERVAL_S: typing.Final = 0.15
# A zone that is cut off from the store and from all other VMs receives no updates. The
# cut is this short so that its VMs can be up to date again within the three seconds
# that the operators require.
MAX_ZONE_CUT_S: typing.Final = 2.0
# A VM is suspended for so short a time that it is not taken out of rotation, though for
# longer than callers wait before they send an opening packet again.
BRIEF_PAUSES: typing.Final = 6
MIN_BRIEF_PAUSE_S: typing.Final = 0.2
MAX_BRIEF_PAUSE_S: typing.Final = 0.4
BRIEF_PAUSE_INTERVAL_S: typing.Final = 0.6
# The network loses up to this share of all packets, for so many times the duration of
# a fault.
MAX_RANDOM_LOSS: typing.Final = 0.05
RANDOM_LOSS_FACTOR: typing.Final = 4
# The time of day of a VM steps by up to this time, forward or back.
MAX_CLOCK_STEP_S: typing.Final = 10.0
# Kind of the fault that needs VMs whose time of day can be set.
CLOCK_STEP: typing.Final = "vm_clock_step"


class Components(typing.NamedTuple):
    """Components of a run that faults affect.

    Attributes:
        vms: Processes of the entry VMs, in the order of their numbers.
        targets: Processes of the targets.
        store_proxies: The proxy between each VM and the store.
        peers: Links between the VMs.
        fabric: Fabric between callers and VMs.
        operator: Operator, who also sets the faults of the store.
    """

    vms: list[processes.Process]
    targets: list[processes.Process]
    store_proxies: list[proxy.Proxy]
    peers: peer_links.PeerLinks
    fabric: fabric.Fabric
    operator: operator.Operator


class FaultInjector:
    """Injects faults; each kind of fault is the name of one method."""

    def __init__(
        self,
        reactor: typing.Any,
        components: Components,
        on_event: typing.Callable[[history.Event], None],
        folder: pathlib.Path,
    ) -> None:
        """Create an injector.

        Args:
            reactor: Reactor of the run.
            components: Components that the faults affect.
            on_event: Records an event.
            folder: Folder of the run.
        """
        self._folder = folder
        self._reactor = reactor
        self._components = components
        self._on_event = on_event

    def inject(self, item: faults.Fault) -> None:
        """Start a fault, and record it."""
        self.record(item.kind, f"for {item.duration_s}", f"{item.selector:.2f}")
        getattr(self, item.kind)(item)

    def record(self, kind: str, who: str, detail: str) -> None:
        """Record a fault or a restart, which explains other events of the run."""
        detail = f"{kind} {detail}"
        event = history.Event(time.monotonic(), history.Kind.FAULT, who, detail=detail)
        self._on_event(event)

    def vm_term(self, item: faults.Fault) -> None:
        """Stop an entry VM with SIGTERM, as in planned maintenance."""
        self._select_process(self._components.vms, item).signal(signal.SIGTERM)

    def vm_kill(self, item: faults.Fault) -> None:
        """Kill an entry VM."""
        self._select_process(self._components.vms, item).signal(signal.SIGKILL)

    def vm_pause(self, item: faults.Fault) -> None:
        """Suspend an entry VM for the duration of the fault."""
        self._pause(self._select_process(self._components.vms, item), item.duration_s)

    def vm_pause_briefly(self, item: faults.Fault) -> None:
        """Suspend an entry VM several times for a fraction of a second."""
        process = self._select_process(self._components.vms, item)
        range_s = MAX_BRIEF_PAUSE_S - MIN_BRIEF_PAUSE_S
        duration_s = MIN_BRIEF_PAUSE_S + item.strength * range_s
        for number in range(BRIEF_PAUSES):
            self._reactor.callLater(
                number * BRIEF_PAUSE_INTERVAL_S, self._pause, process, duration_s
            )

    def vm_hup(self, item: faults.Fault) -> None:
        """Make an entry VM reload its settings with SIGHUP."""
        self._select_process(self._components.vms, item).signal(signal.SIGHUP)

    def vm_clock_step(self, item: faults.Fault) -> None:
        """Step the time of day of all VMs by seconds, and step it back later.

        The strength selects the direction and the size of the step.
        """
        offset_s = (2 * item.strength - 1) * MAX_CLOCK_STEP_S
        self._set_clocks(offset_s)
        self._reactor.callLater(item.duration_s, self._set_clocks, 0.0)

    def vms_kill_all(self, item: faults.Fault) -> None:
        """Kill all entry VMs at once."""
        for process in self._components.vms:
            process.signal(signal.SIGKILL)

    def target_kill(self, item: faults.Fault) -> None:
        """Kill a target."""
        process = self._select_process(self._components.targets, item)
        ended = history.Event(time.monotonic(), history.Kind.ENDED, process.name)
        self._on_event(ended)
        process.signal(signal.SIGKILL)

    def target_pause(self, item: faults.Fault) -> None:
        """Suspend a target for the duration of the fault."""
        self._pause(
            self._select_process(self._components.targets, item), item.duration_s
        )

    def target_drain(self, item: faults.Fault) -> None:
        """Stop a target with SIGTERM, so that it drains first."""
        self._select_process(self._components.targets, item).signal(signal.SIGTERM)

    def store_silent(self, item: faults.Fault) -> None:
        """Make the store accept requests and not respond."""
        self._store_fault(item, fault="silent")

    def store_busy(self, item: faults.Fault) -> None:
        """Make the store refuse all requests."""
        self._store_fault(item, fault="busy")

    def store_reset(self, item: faults.Fault) -> None:
        """Make the store reset the connection of each request."""
        self._store_fault(item, fault="reset")

    def store_slow(self, item: faults.Fault) -> None:
        """Delay the responses of the store by up to 0.6 s."""
        self._store_fault(item, delay_s=item.strength * 0.6)

    def store_refuses_some(self, item: faults.Fault) -> None:
        """Cut some VMs off from the store.

        The proxies reset the connections and drop later requests, because the store
        sees all VMs under a loopback address and can't tell them apart.
        """
        count = max(1, int(item.strength * len(self._components.store_proxies)))
        for store_proxy in self._select_store_proxies(item, count):
            self._impair_proxy(
                store_proxy, item.duration_s, proxy.Impairment(forwards_upstream=False)
            )
            store_proxy.reset()

    def store_forgets(self, item: faults.Fault) -> None:
        """Make the store drop its history of changes."""
        self._components.operator.set_store_fault({"forget": True})

    def link_silent(self, item: faults.Fault) -> None:
        """Drop all bytes between a VM and the store without closing connections."""
        impairment = proxy.Impairment(
            forwards_upstream=False, forwards_downstream=False
        )
        self._impair_proxy(
            self._select_store_proxies(item, 1)[0], item.duration_s, impairment
        )

    def link_one_way(self, item: faults.Fault) -> None:
        """Drop the responses of the store to a VM."""
        self._impair_proxy(
            self._select_store_proxies(item, 1)[0],
            item.duration_s,
            proxy.Impairment(forwards_downstream=False),
        )

    def link_delay(self, item: faults.Fault) -> None:
        """Delay all bytes between a VM and the store."""
        impairment = proxy.Impairment(delay_s=item.strength)
        self._impair_proxy(
            self._select_store_proxies(item, 1)[0], item.duration_s, impairment
        )

    def link_reset(self, item: faults.Fault) -> None:
        """Reset the connections of all VMs to the store."""
        for store_proxy in self._select_store_proxies(
            item, len(self._components.store_proxies)
        ):
            store_proxy.reset()

    def vm_cut(self, item: faults.Fault) -> None:
        """Cut a VM off from all other VMs."""
        self._block_vm(item, outgoing=True, incoming=True)

    def vm_mute(self, item: faults.Fault) -> None:
        """Drop the datagrams that a VM sends to the other VMs."""
        self._block_vm(item, outgoing=True)

    def vm_deaf(self, item: faults.Fault) -> None:
        """Drop the datagrams and connections of the other VMs to a VM."""
        self._block_vm(item, incoming=True)

    def zone_cut(self, item: faults.Fault) -> None:
        """Cut all VMs of a zone off from all other VMs and from the store."""
        duration_s = min(item.duration_s, MAX_ZONE_CUT_S)
        zones = len(layout.ZONES)
        numbers = range(int(item.selector * zones), len(self._components.vms), zones)
        self._components.peers.isolated_vms = frozenset(numbers)
        self._reactor.callLater(
            duration_s, setattr, self._components.peers, "isolated_vms", frozenset()
        )
        for number in numbers:
            impairment = proxy.Impairment(
                forwards_upstream=False, forwards_downstream=False
            )
            self._impair_proxy(
                self._components.store_proxies[number], duration_s, impairment
            )

    def zone_evacuate(self, item: faults.Fault) -> None:
        """Evacuate a zone for longer than the evacuation may take to be in force."""
        zone = layout.ZONES[int(item.selector * len(layout.ZONES))]
        if not self._components.operator.evacuate(zone):
            return
        duration_s = history.EVACUATION_LIMIT_S + item.duration_s
        self._reactor.callLater(
            duration_s, self._components.operator.end_evacuation, zone
        )

    def peers_lose(self, item: faults.Fault) -> None:
        """Drop a share of the datagrams between VMs."""
        self._impair_peers(item, peer_links.Impairment(loss_share=0.4 * item.strength))

    def peers_delay(self, item: faults.Fault) -> None:
        """Delay datagrams between VMs by random times, so that they are reordered."""
        self._impair_peers(item, peer_links.Impairment(max_delay_s=0.4 * item.strength))

    def fabric_loses(self, item: faults.Fault) -> None:
        """Drop a share of the callers' packets."""
        self._impair_fabric(item, fabric.Impairment(loss_share=0.2 * item.strength))

    def datagrams_lost(self, item: faults.Fault) -> None:
        """Drop a small share of the packets from and to callers, for a longer time."""
        share = MAX_RANDOM_LOSS * item.strength
        self._impair_fabric(
            item._replace(duration_s=RANDOM_LOSS_FACTOR * item.duration_s),
            fabric.Impairment(loss_share=share, answer_loss_share=share),
        )

    def fabric_doubles(self, item: faults.Fault) -> None:
        """Deliver a share of the callers' packets twice."""
        self._impair_fabric(item, fabric.Impairment(duplicate_share=item.strength))

    def fabric_reorders(self, item: faults.Fault) -> None:
        """Delay a share of the callers' packets, so that they are reordered."""
        self._impair_fabric(item, fabric.Impairment(late_share=item.strength))

    def route_add(self, item: faults.Fault) -> None:
        """Add a route to the configuration."""
        self._components.operator.add_route()

    def route_drop(self, item: faults.Fault) -> None:
        """Drop one of the routes that were added during the run."""
        self._components.operator.drop_route(item.selector)

    def entry_unreadable(self, item: faults.Fault) -> None:
        """Write an entry that no VM can read, and leave it until the end."""
        self._components.operator.write_unreadable_entry(int(item.selector * 1000))

    def config_series(self, item: faults.Fault) -> None:
        """Add several routes in quick succession."""
        for number in range(CONFIG_SERIES_ROUTES):
            self._reactor.callLater(
                number * CONFIG_SERIES_INTERVAL_S, self._components.operator.add_route
            )

    def _select_process(
        self, among: list[processes.Process], item: faults.Fault
    ) -> processes.Process:
        return among[int(item.selector * len(among))]

    def _select_store_proxies(
        self, item: faults.Fault, count: int
    ) -> list[proxy.Proxy]:
        first = int(item.selector * len(self._components.store_proxies))
        return [
            self._components.store_proxies[
                (first + n) % len(self._components.store_proxies)
            ]
            for n in range(count)
        ]

    def _block_vm(
        self, item: faults.Fault, outgoing: bool = False, incoming: bool = False
    ) -> None:
        peers = self._components.peers
        number = int(item.selector * len(self._components.vms))
        for wanted, blocked in (
            (outgoing, peers.blocked_senders),
            (incoming, peers.blocked_receivers),
        ):
            if wanted:
                blocked.add(number)
                self._reactor.callLater(item.duration_s, blocked.discard, number)
        if incoming:
            impairment = proxy.Impairment(
                forwards_upstream=False, forwards_downstream=False
            )
            self._impair_proxy(peers.proxies[number], item.duration_s, impairment)

    def _impair_peers(
        self, item: faults.Fault, impairment: peer_links.Impairment
    ) -> None:
        peers = self._components.peers
        peers.impairment = impairment
        self._reactor.callLater(
            item.duration_s, setattr, peers, "impairment", peer_links.Impairment()
        )

    def _set_clocks(self, offset_s: float) -> None:
        for process in self._components.vms:
            path = processes.clock_file(process.name, self._folder)
            stepped_vm.write_offset(path, offset_s)

    def _pause(self, process: processes.Process, duration_s: float) -> None:
        process.signal(signal.SIGSTOP)
        self._reactor.callLater(duration_s, process.signal, signal.SIGCONT)

    def _impair_proxy(
        self, link: proxy.Proxy, duration_s: float, impairment: proxy.Impairment
    ) -> None:
        link.impairment = impairment
        self._reactor.callLater(duration_s, self._clear_proxy, link)

    def _clear_proxy(self, link: proxy.Proxy) -> None:
        # Connections that lost bytes are unusable but stay open, as after a real
        # interruption of a link.
        link.impairment = proxy.Impairment()

    def _impair_fabric(self, item: faults.Fault, impairment: fabric.Impairment) -> None:
        self._components.fabric.impairment = impairment
        unimpaired = fabric.Impairment()
        self._reactor.callLater(
            item.duration_s, setattr, self._components.fabric, "impairment", unimpaired
        )

    def _store_fault(self, item: faults.Fault, **fields: typing.Any) -> None:
        self._components.operator.set_store_fault(fields)
        self._reactor.callLater(
            item.duration_s, self._components.operator.set_store_fault, {}
        )
