"""Membership of the fleet: live VMs, rank in the zone, and gossip partners.

Each VM periodically requests updates from a few others in turn (pull), and a VM
that receives a new row sends it to a few others at once (push). Push and pull
together reach all VMs in a time that grows with the logarithm of their number. The
cost for each VM does not grow, and the pull repairs what the push loses.

A round is one selection of hosts that receive a request. A cycle is the sequence of
rounds in which each registered VM gets its turn once.
"""

import heapq
import random
import typing
import zlib

# A VM that left this many requests in a row unanswered is treated as dead until it
# sends a message.
MAX_UNANSWERED: typing.Final = 2
# A VM without contact for this long expires, because IP addresses are reused. In a
# large fleet each VM makes contact only once or twice per cycle of requests, so the
# time is never shorter than EXPIRY_CYCLES cycles.
EXPIRY_MS: typing.Final = 30_000
EXPIRY_CYCLES: typing.Final = 2
# Each message carries this many members.
SAMPLE_SIZE: typing.Final = 6
# In each round one of this many VMs with the latest confirmation gets a request.
# One in four requests of a zone's 20 VMs, 20 a second, then reaches the VM that
# watches the store.
FRESHEST_CANDIDATES: typing.Final = 4
# At most this many newly added VMs receive a request in one round. With this
# number, all VMs of a fleet that starts at once find each other in about three
# seconds.
MAX_NEW_HOSTS_PER_ROUND: typing.Final = 4
# A cycle includes this share of the VMs that are treated as dead. A VM that returns
# usually makes contact earlier, through its own requests.
RETRY_SHARE: typing.Final = 0.25


class Member(typing.NamedTuple):
    """An entry VM as listed in a message of another VM."""

    host: str
    zone: str


class Peer:
    """Another entry VM.

    Attributes:
        host: Its IP address.
        zone: Its availability zone; empty until it made contact or another VM
            listed it.
        last_contact_ms: When it last sent a message; 0 for never.
        added_ms: When its address was added.
        unanswered: Requests in a row that it left unanswered.
        reads_store: False when the store does not respond to it.
        confirmed_ms: Time up to which its rows were confirmed complete, as of its
            last response.
    """

    __slots__ = (
        "added_ms",
        "confirmed_ms",
        "host",
        "last_contact_ms",
        "reads_store",
        "unanswered",
        "zone",
    )

    def __init__(self, host: str, now_ms: int) -> None:
        """Create a peer that has not made contact yet."""
        self.host = host
        self.zone = ""
        self.last_contact_ms = 0
        self.added_ms = now_ms
        self.unanswered = 0
        self.reads_store = True
        self.confirmed_ms = 0

    @property
    def alive(self) -> bool:
        """True when it has made contact and responds to requests."""
        return self.last_contact_ms > 0 and self.unanswered < MAX_UNANSWERED

    @property
    def presumed_alive(self) -> bool:
        """True when it is alive, or was added and has missed no request yet."""
        return self.alive or (not self.last_contact_ms and not self.unanswered)


class Peers:
    """Registry of all other entry VMs whose addresses this VM has received."""

    def __init__(self, host: str, zone: str, rng: random.Random) -> None:
        """Create an empty registry.

        Args:
            host: Own IP address.
            zone: Own availability zone.
            rng: Selects the VMs that receive messages.
        """
        self._host = host
        self._zone = zone
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._cycle: list[str] = []
        self._request_rounds = 0
        self._started_ms: int | None = None

    def __len__(self) -> int:
        """Return the number of VMs that are alive."""
        return sum(peer.alive for peer in self._peers.values())

    def add_hosts(self, now_ms: int, hosts: typing.Iterable[str]) -> None:
        """Add addresses from the settings or from another VM."""
        for host in hosts:
            if host != self._host and host not in self._peers:
                self._peers[host] = Peer(host, now_ms)
                # A new host receives the next request, so that a starting VM makes
                # contact with the others soon. A VM without peers calls the store
                # itself.
                self._cycle.insert(0, host)

    def add_members(self, now_ms: int, members: typing.Iterable[Member]) -> None:
        """Add VMs that another VM lists as alive."""
        for item in members:
            self.add_hosts(now_ms, (item.host,))
            peer = self._peers.get(item.host)
            if peer is not None and not peer.last_contact_ms:
                peer.zone = item.zone

    def record_contact(
        self, now_ms: int, host: str, zone: str, reads_store: bool
    ) -> bool:
        """Record a message of a VM; return True when it was not alive before."""
        self.add_hosts(now_ms, (host,))
        peer = self._peers.get(host)
        if peer is None:
            return False
        back = not peer.alive
        peer.zone = zone
        peer.last_contact_ms = now_ms
        peer.unanswered = 0
        peer.reads_store = reads_store
        return back

    def record_request(self, host: str) -> bool:
        """Record a request to a VM; return True when it is dead from now on."""
        peer = self._peers.get(host)
        if peer is None:
            return False
        peer.unanswered += 1
        return peer.unanswered == MAX_UNANSWERED and peer.last_contact_ms > 0

    def record_response(self, host: str, confirmed_ms: int) -> None:
        """Record the time up to which a responding VM's rows are confirmed."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.confirmed_ms = max(peer.confirmed_ms, confirmed_ms)

    def next_hosts(self) -> list[str]:
        """Return the next hosts to send a request to.

        The first hosts are the next of a cycle in shuffled order, which detects live
        and dead VMs. The cycle alone would need seconds to spread a confirmation
        through the fleet. The last host is one of those with the latest confirmation.
        If every VM sent its requests only to the VM with the very latest
        confirmation, all would go to the VM that watches the store.
        """
        self._request_rounds += 1
        chosen = self._next_in_cycle()
        sampled = self._sample_hosts(self._freshest_hosts(), 1)
        return chosen + [host for host in sampled if host not in chosen]

    def _next_in_cycle(self) -> list[str]:
        if not self._cycle:
            self._cycle = [
                peer.host
                for peer in self._peers.values()
                if peer.alive or self._rng.random() < RETRY_SHARE or not len(self)
            ]
            self._rng.shuffle(self._cycle)
        chosen: list[str] = []
        while self._cycle and len(chosen) < MAX_NEW_HOSTS_PER_ROUND:
            peer = self._peers.get(self._cycle[0])
            new = peer is not None and not peer.last_contact_ms and not peer.unanswered
            if chosen and not new:
                break
            del self._cycle[0]
            if peer is not None:
                chosen.append(peer.host)
        return chosen

    def _freshest_hosts(self) -> list[str]:
        alive = self._alive_peers()
        best = heapq.nlargest(
            FRESHEST_CANDIDATES, alive, key=lambda peer: peer.confirmed_ms
        )
        return [peer.host for peer in best]

    def select_push_hosts(self, count: int) -> list[str]:
        """Select live VMs to push to: some of the own zone and some of others."""
        alive = self._alive_peers()
        others = [peer.host for peer in alive if peer.zone != self._zone]
        return [*self.select_same_zone(count), *self._sample_hosts(others, count)]

    def select_same_zone(self, count: int) -> list[str]:
        """Select some live VMs of the own zone at random."""
        own = [peer.host for peer in self._alive_peers() if peer.zone == self._zone]
        return self._sample_hosts(own, count)

    def hosts(self) -> tuple[str, ...]:
        """Return the addresses of all registered VMs, including dead ones."""
        return tuple(self._peers)

    def hosts_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Return the addresses of all live VMs by zone, including this one."""
        found: dict[str, list[str]] = {self._zone: [self._host]}
        for peer in self._alive_peers():
            found.setdefault(peer.zone, []).append(peer.host)
        return {zone: tuple(sorted(hosts)) for zone, hosts in found.items()}

    def members(self) -> list[Member]:
        """Return all live VMs, including this one."""
        alive = self._alive_peers()
        others = [Member(peer.host, peer.zone) for peer in alive]
        return [Member(self._host, self._zone), *others]

    def sample(self) -> list[Member]:
        """Return some live VMs, at random, to list in a message."""
        alive = self._alive_peers()
        some = self._rng.sample(alive, min(SAMPLE_SIZE, len(alive)))
        return [Member(peer.host, peer.zone) for peer in some]

    def rank(self) -> int:
        """Return this VM's rank among those of its zone that can read the store.

        All VMs compute the same order. Rank 0 watches the store for the zone.
        """
        mine = _rank_key(self._host)
        return sum(
            peer.presumed_alive
            and peer.reads_store
            and peer.zone == self._zone
            and _rank_key(peer.host) < mine
            for peer in self._peers.values()
        )

    def expire(self, now_ms: int) -> None:
        """Remove the VMs whose last contact is too long ago."""
        if self._started_ms is None:
            self._started_ms = now_ms
        round_ms = (now_ms - self._started_ms) / max(1, self._request_rounds)
        span_ms = max(EXPIRY_MS, EXPIRY_CYCLES * round_ms * len(self._peers))
        for peer in list(self._peers.values()):
            if now_ms - max(peer.last_contact_ms, peer.added_ms) > span_ms:
                del self._peers[peer.host]

    def _alive_peers(self) -> list[Peer]:
        return [peer for peer in self._peers.values() if peer.alive]

    def _sample_hosts(self, hosts: list[str], count: int) -> list[str]:
        return self._rng.sample(hosts, min(count, len(hosts)))


def _rank_key(host: str) -> int:
    return zlib.crc32(host.encode())
