"""The other entry VMs: who is there, who watches the store, whom to ask.

Every VM asks a few others in turn for what they know (pull); whoever learns
something new tells a few others at once (push). Both together reach all VMs in
a time that grows with the logarithm of their number, at a cost for each VM that
does not grow, and what the push loses the pull repairs.
"""

import heapq
import random
import typing
import zlib

# A VM that left two requests unanswered counts as gone until it is heard.
MAX_UNANSWERED: typing.Final = 2
# A VM that was not heard for so long is forgotten; addresses are used anew. In a
# large fleet each is heard once or twice while all are asked in turn, so that the
# span is no shorter than some of these rounds.
EXPIRY_MS: typing.Final = 30_000
EXPIRY_ROUNDS: typing.Final = 2
# Addresses that ride on each answer.
SAMPLE_SIZE: typing.Final = 6
# One of this many VMs with the freshest knowledge is asked each time, so that
# one in four requests of a zone's 20 VMs, 20 a second, reach who watches.
FRESHEST_CANDIDATES: typing.Final = 4
# VMs that were just named are asked so many at a time; a fleet that starts all
# at once knows itself in about three seconds.
MAX_NEW_HOSTS_PER_REQUEST: typing.Final = 4
# Part of the VMs taken for gone that are asked in each turn; one that is back
# is mostly heard before, as it asks others.
RETRY_SHARE: typing.Final = 0.25


class Member(typing.NamedTuple):
    """An entry VM as another one names it."""

    host: str
    zone: str


class Peer:
    """Another entry VM.

    Attributes:
        host: Its IP address.
        zone: Its availability zone; empty until it was heard or introduced.
        heard_ms: When it was last heard; 0 for never.
        unanswered: Requests in a row that it left unanswered.
        reads_store: False when the store does not answer it.
        confirmed_ms: How fresh its knowledge was when it last answered.
    """

    __slots__ = (
        "confirmed_ms",
        "last_contact_ms",
        "host",
        "added_ms",
        "reads_store",
        "unanswered",
        "zone",
    )

    def __init__(self, host: str, now_ms: int) -> None:
        """Begin with an address that was named by someone."""
        self.host = host
        self.zone = ""
        self.last_contact_ms = 0
        self.added_ms = now_ms
        self.unanswered = 0
        self.reads_store = True
        self.confirmed_ms = 0

    @property
    def alive(self) -> bool:
        """True when it was heard and answers."""
        return self.last_contact_ms > 0 and self.unanswered < MAX_UNANSWERED

    @property
    def presumed_alive(self) -> bool:
        """True when it is alive, or another VM says so and nothing speaks against."""
        return self.alive or (not self.last_contact_ms and not self.unanswered)


class Peers:
    """All other entry VMs that this one has heard of."""

    def __init__(self, host: str, zone: str, rng: random.Random) -> None:
        """Begin without others.

        Args:
            host: Own IP address.
            zone: Own availability zone.
            rng: Chooses whom to ask.
        """
        self._host = host
        self._zone = zone
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._round: list[str] = []
        self._turns = 0
        self._began_ms: int | None = None

    def __len__(self) -> int:
        """Return the number of VMs that are alive."""
        return sum(peer.alive for peer in self._peers.values())

    def add_hosts(self, now_ms: int, hosts: typing.Iterable[str]) -> None:
        """Take addresses that settings or another VM named."""
        for host in hosts:
            if host != self._host and host not in self._peers:
                self._peers[host] = Peer(host, now_ms)
                # Asked next, so that a VM which starts finds the others soon;
                # knowing only itself it would call the store for its zone.
                self._round.insert(0, host)

    def add_members(self, now_ms: int, members: typing.Iterable[Member]) -> None:
        """Take VMs that another VM takes for alive."""
        for item in members:
            self.add_hosts(now_ms, (item.host,))
            peer = self._peers.get(item.host)
            if peer is not None and not peer.last_contact_ms:
                peer.zone = item.zone

    def record_contact(
        self, now_ms: int, host: str, zone: str, reads_store: bool
    ) -> bool:
        """Note a message of a VM; True when it was not alive before."""
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
        """Note a request to a VM; True when it counts as gone from now on."""
        peer = self._peers.get(host)
        if peer is None:
            return False
        peer.unanswered += 1
        return peer.unanswered == MAX_UNANSWERED and peer.last_contact_ms > 0

    def record_response(self, host: str, confirmed_ms: int) -> None:
        """Note how fresh the knowledge of a VM is that answered."""
        peer = self._peers.get(host)
        if peer is not None:
            peer.confirmed_ms = max(peer.confirmed_ms, confirmed_ms)

    def next_hosts(self) -> list[str]:
        """Return whom to ask now: one in turn, and one of those who know most.

        The turn, in a shuffled order, finds out who is there. Asked alone it
        would take an age of knowledge through the fleet in seconds; asking only
        the freshest VM would have all VMs ask the one that watches the store.
        """
        self._turns += 1
        chosen = self._next_in_turn()
        fresh = self._some(self._freshest(), 1)
        return chosen + [host for host in fresh if host not in chosen]

    def _next_in_turn(self) -> list[str]:
        if not self._round:
            self._round = [
                peer.host
                for peer in self._peers.values()
                if peer.alive or self._rng.random() < RETRY_SHARE or not len(self)
            ]
            self._rng.shuffle(self._round)
        chosen: list[str] = []
        while self._round and len(chosen) < MAX_NEW_HOSTS_PER_REQUEST:
            peer = self._peers.get(self._round[0])
            new = peer is not None and not peer.last_contact_ms and not peer.unanswered
            if chosen and not new:
                break
            del self._round[0]
            if peer is not None:
                chosen.append(peer.host)
        return chosen

    def _freshest(self) -> list[str]:
        alive = self._alive()
        best = heapq.nlargest(
            FRESHEST_CANDIDATES, alive, key=lambda peer: peer.confirmed_ms
        )
        return [peer.host for peer in best]

    def select_push_hosts(self, count: int) -> list[str]:
        """Return whom to tell news: some of the own zone and some of others."""
        alive = self._alive()
        others = [peer.host for peer in alive if peer.zone != self._zone]
        return [*self.select_same_zone(count), *self._some(others, count)]

    def select_same_zone(self, count: int) -> list[str]:
        """Return some live VMs of the own zone."""
        own = [peer.host for peer in self._alive() if peer.zone == self._zone]
        return self._some(own, count)

    def hosts(self) -> tuple[str, ...]:
        """Return the addresses of all VMs that were heard of, also of silent ones."""
        return tuple(self._peers)

    def members(self) -> list[Member]:
        """Return all live VMs, this one among them."""
        alive = self._alive()
        others = [Member(peer.host, peer.zone) for peer in alive]
        return [Member(self._host, self._zone), *others]

    def sample(self) -> list[Member]:
        """Return some live VMs to name to others."""
        alive = self._alive()
        some = self._rng.sample(alive, min(SAMPLE_SIZE, len(alive)))
        return [Member(peer.host, peer.zone) for peer in some]

    def rank(self) -> int:
        """Return this VM's place among those of its zone that read the store.

        The order is the same at all VMs: 0 watches the store for the zone.
        """
        mine = _order(self._host)
        return sum(
            peer.presumed_alive
            and peer.reads_store
            and peer.zone == self._zone
            and _order(peer.host) < mine
            for peer in self._peers.values()
        )

    def expire(self, now_ms: int) -> None:
        """Forget VMs that were not heard for long."""
        if self._began_ms is None:
            self._began_ms = now_ms
        turn_ms = (now_ms - self._began_ms) / max(1, self._turns)
        span_ms = max(EXPIRY_MS, EXPIRY_ROUNDS * turn_ms * len(self._peers))
        for peer in list(self._peers.values()):
            if now_ms - max(peer.last_contact_ms, peer.added_ms) > span_ms:
                del self._peers[peer.host]

    def _alive(self) -> list[Peer]:
        return [peer for peer in self._peers.values() if peer.alive]

    def _some(self, hosts: list[str], count: int) -> list[str]:
        return self._rng.sample(hosts, min(count, len(hosts)))


def _order(host: str) -> int:
    return zlib.crc32(host.encode())
