"""Carries the faults of a run out, from outside the programs."""

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
)

SERIES: typing.Final = 6
SERIES_GAP_S: typing.Final = 0.15
# A zone that is cut off from the store and all other VMs hears of no change. Its
# knowledge must be new again within the operators' three seconds.
ZONE_CUT_S: typing.Final = 2.0


class Parts(typing.NamedTuple):
    """What faults fall on."""

    vms: list[processes.Process]
    targets: list[processes.Process]
    proxies: list[proxy.Proxy]
    peers: peer_links.PeerLinks
    fabric: fabric.Fabric
    operator: operator.Operator


class Actions:
    """One method for each kind of fault, by its name."""

    def __init__(
        self,
        reactor: typing.Any,
        parts: Parts,
        seen: typing.Callable[[history.Event], None],
    ) -> None:
        """Act on the parts of a run, and note what is done."""
        self._reactor = reactor
        self._parts = parts
        self._seen = seen

    def carry_out(self, item: faults.Fault) -> None:
        """Begin a fault."""
        self.note(item.kind, f"for {item.duration_s}", f"{item.selector:.2f}")
        getattr(self, item.kind)(item)

    def note(self, kind: str, who: str, detail: str) -> None:
        """Note something that is no promise but explains the run."""
        detail = f"{kind} {detail}"
        event = history.Event(time.monotonic(), history.Kind.FAULT, who, detail=detail)
        self._seen(event)

    def vm_term(self, item: faults.Fault) -> None:
        """Stop an entry VM as planned."""
        self._pick(self._parts.vms, item).signal(signal.SIGTERM)

    def vm_kill(self, item: faults.Fault) -> None:
        """Kill an entry VM."""
        self._pick(self._parts.vms, item).signal(signal.SIGKILL)

    def vm_pause(self, item: faults.Fault) -> None:
        """Suspend an entry VM for a while."""
        self._pause(self._pick(self._parts.vms, item), item.duration_s)

    def vm_hup(self, item: faults.Fault) -> None:
        """Tell an entry VM that its settings have changed."""
        self._pick(self._parts.vms, item).signal(signal.SIGHUP)

    def vms_kill_all(self, item: faults.Fault) -> None:
        """Kill all entry VMs at once."""
        for process in self._parts.vms:
            process.signal(signal.SIGKILL)

    def target_kill(self, item: faults.Fault) -> None:
        """Kill a target."""
        process = self._pick(self._parts.targets, item)
        ended = history.Event(time.monotonic(), history.Kind.ENDED, process.name)
        self._seen(ended)
        process.signal(signal.SIGKILL)

    def target_pause(self, item: faults.Fault) -> None:
        """Suspend a target for a while."""
        self._pause(self._pick(self._parts.targets, item), item.duration_s)

    def target_drain(self, item: faults.Fault) -> None:
        """Stop a target as planned."""
        self._pick(self._parts.targets, item).signal(signal.SIGTERM)

    def store_silent(self, item: faults.Fault) -> None:
        """Let the store take calls and not answer."""
        self._store_fault(item, fault="silent")

    def store_busy(self, item: faults.Fault) -> None:
        """Let the store refuse all calls."""
        self._store_fault(item, fault="busy")

    def store_reset(self, item: faults.Fault) -> None:
        """Let the store reset its connections."""
        self._store_fault(item, fault="reset")

    def store_slow(self, item: faults.Fault) -> None:
        """Let the store answer late."""
        self._store_fault(item, delay_s=item.strength * 0.6)

    def store_refuses_some(self, item: faults.Fault) -> None:
        """Let the store refuse some VMs; all of them come from loopback."""
        count = max(1, int(item.strength * len(self._parts.proxies)))
        for made in self._some(item, count):
            self._mood(made, item.duration_s, proxy.Mood(forward=False))
            made.reset()

    def store_forgets(self, item: faults.Fault) -> None:
        """Let the store drop its history."""
        self._parts.operator.fault({"forget": True})

    def link_silent(self, item: faults.Fault) -> None:
        """Let a VM's connections to the store go silent."""
        mood = proxy.Mood(forward=False, back=False)
        self._mood(self._some(item, 1)[0], item.duration_s, mood)

    def link_one_way(self, item: faults.Fault) -> None:
        """Let answers of the store to a VM vanish."""
        self._mood(self._some(item, 1)[0], item.duration_s, proxy.Mood(back=False))

    def link_delay(self, item: faults.Fault) -> None:
        """Delay a VM's connections to the store."""
        mood = proxy.Mood(delay_s=item.strength)
        self._mood(self._some(item, 1)[0], item.duration_s, mood)

    def link_reset(self, item: faults.Fault) -> None:
        """Reset the VMs' connections to the store."""
        for made in self._some(item, len(self._parts.proxies)):
            made.reset()

    def vm_cut(self, item: faults.Fault) -> None:
        """Cut a VM off from all other VMs."""
        self._cut(item, mute=True, deaf=True)

    def vm_mute(self, item: faults.Fault) -> None:
        """Let a VM's datagrams to the others vanish."""
        self._cut(item, mute=True)

    def vm_deaf(self, item: faults.Fault) -> None:
        """Let the datagrams of the others to a VM vanish."""
        self._cut(item, deaf=True)

    def zone_cut(self, item: faults.Fault) -> None:
        """Cut all VMs of a zone off from all others and the store."""
        for_s = min(item.duration_s, ZONE_CUT_S)
        zones = len(layout.ZONES)
        numbers = range(int(item.selector * zones), len(self._parts.vms), zones)
        self._parts.peers.isolated_vms = frozenset(numbers)
        self._reactor.callLater(
            for_s, setattr, self._parts.peers, "isolated_vms", frozenset()
        )
        for number in numbers:
            mood = proxy.Mood(forward=False, back=False)
            self._mood(self._parts.proxies[number], for_s, mood)

    def zone_evacuate(self, item: faults.Fault) -> None:
        """Evacuate a zone, for longer than the order may take to be in force."""
        zone = layout.ZONES[int(item.selector * len(layout.ZONES))]
        if not self._parts.operator.evacuate(zone):
            return
        for_s = history.EVACUATION_LIMIT_S + item.duration_s
        self._reactor.callLater(for_s, self._parts.operator.take_back, zone)

    def peers_lose(self, item: faults.Fault) -> None:
        """Lose datagrams between VMs."""
        self._peers_mood(item, peer_links.Impairment(loss_share=0.4 * item.strength))

    def peers_delay(self, item: faults.Fault) -> None:
        """Delay datagrams between VMs, so that they overtake each other."""
        self._peers_mood(item, peer_links.Impairment(max_delay_s=0.4 * item.strength))

    def fabric_loses(self, item: faults.Fault) -> None:
        """Lose callers' packets."""
        self._fabric_mood(item, fabric.Mood(loses=0.2 * item.strength))

    def fabric_doubles(self, item: faults.Fault) -> None:
        """Deliver callers' packets twice."""
        self._fabric_mood(item, fabric.Mood(doubles=item.strength))

    def fabric_reorders(self, item: faults.Fault) -> None:
        """Deliver callers' packets out of order."""
        self._fabric_mood(item, fabric.Mood(reorders=item.strength))

    def route_add(self, item: faults.Fault) -> None:
        """Add a route."""
        self._parts.operator.add()

    def route_drop(self, item: faults.Fault) -> None:
        """Drop a route that was added."""
        self._parts.operator.drop(item.selector)

    def config_series(self, item: faults.Fault) -> None:
        """Add routes in quick succession."""
        for number in range(SERIES):
            self._reactor.callLater(number * SERIES_GAP_S, self._parts.operator.add)

    def _pick(
        self, among: list[processes.Process], item: faults.Fault
    ) -> processes.Process:
        return among[int(item.selector * len(among))]

    def _some(self, item: faults.Fault, count: int) -> list[proxy.Proxy]:
        first = int(item.selector * len(self._parts.proxies))
        return [
            self._parts.proxies[(first + n) % len(self._parts.proxies)]
            for n in range(count)
        ]

    def _cut(self, item: faults.Fault, mute: bool = False, deaf: bool = False) -> None:
        peers = self._parts.peers
        number = int(item.selector * len(self._parts.vms))
        for wanted, cut in (
            (mute, peers.blocked_senders),
            (deaf, peers.blocked_receivers),
        ):
            if wanted:
                cut.add(number)
                self._reactor.callLater(item.duration_s, cut.discard, number)
        if deaf:
            mood = proxy.Mood(forward=False, back=False)
            self._mood(peers.proxies[number], item.duration_s, mood)

    def _peers_mood(self, item: faults.Fault, mood: peer_links.Impairment) -> None:
        peers = self._parts.peers
        peers.impairment = mood
        self._reactor.callLater(
            item.duration_s, setattr, peers, "impairment", peer_links.Impairment()
        )

    def _pause(self, process: processes.Process, for_s: float) -> None:
        process.signal(signal.SIGSTOP)
        self._reactor.callLater(for_s, process.signal, signal.SIGCONT)

    def _mood(self, made: proxy.Proxy, for_s: float, mood: proxy.Mood) -> None:
        made.mood = mood
        self._reactor.callLater(for_s, self._calm, made)

    def _calm(self, made: proxy.Proxy) -> None:
        # Connections that lost bytes are useless; they stay open all the same,
        # as after a real cut.
        made.mood = proxy.Mood()

    def _fabric_mood(self, item: faults.Fault, mood: fabric.Mood) -> None:
        self._parts.fabric.mood = mood
        calm = fabric.Mood()
        self._reactor.callLater(
            item.duration_s, setattr, self._parts.fabric, "mood", calm
        )

    def _store_fault(self, item: faults.Fault, **fields: typing.Any) -> None:
        self._parts.operator.fault(fields)
        self._reactor.callLater(item.duration_s, self._parts.operator.fault, {})
