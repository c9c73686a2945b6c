"""Which VMs are there, from own observation and the platform's lagging list.

The protocol follows Das, Gupta and Motivala, "SWIM" (2002): each VM pings one
other per period in turn, asks a few others to try when no Ack comes, suspects,
and only then takes a VM for dead. News rides on pings. The cost per VM does not
grow with the fleet.
"""

import collections
import random
import typing

from eelgrasswick import member, message, packet, peer, wire

PERIOD_MS: typing.Final = 200
ACK_MS: typing.Final = 100
SUSPECT_MS: typing.Final = 900
PAUSE_MS: typing.Final = 1000
ALONE_MS: typing.Final = 1500
RETRY_GONE_MS: typing.Final = 1000
VIA_COUNT: typing.Final = 2
MAX_UPDATES: typing.Final = 6
SPREAD_FACTOR: typing.Final = 4
LEAVE_MS: typing.Final = 4000


class _Probe:
    __slots__ = ("due_ms", "indirect", "name")

    def __init__(self, name: str, due_ms: int) -> None:
        self.name = name
        self.due_ms = due_ms
        self.indirect = False


class _Via(typing.NamedTuple):
    number: int
    asker: packet.Address


class Membership:
    """The view one VM has of the fleet, and the heartbeats that keep it."""

    def __init__(
        self,
        me: member.Member,
        seeds: typing.Iterable[packet.Address],
        peers: peer.Peers,
        outbox: message.Outbox,
        rng: random.Random,
    ) -> None:
        """Start as joining VM.

        Args:
            me: This VM, in state JOINING.
            seeds: Peer addresses to ping before any VM is known.
            peers: Sends the messages.
            outbox: Takes log events.
            rng: Source of randomness, seeded by the caller.
        """
        self.me = me
        self.others: dict[str, member.Member] = {}
        self.sequences: dict[str, int] = {}
        self.changed = True
        self.sequence = 0
        self._seeds = list(seeds)
        self._peers = peers
        self._outbox = outbox
        self._rng = rng
        self._listed: dict[str, member.Member] = {}
        self._round: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._vias: dict[int, _Via] = {}
        self._suspects: dict[str, int] = {}
        self._news: collections.Counter[str] = collections.Counter()
        self._number = 0
        self._next_ms = 0
        self._retry_ms = 0
        self._last_ms: int | None = None
        self._started_ms: int | None = None
        self._contact = False
        self._leaving_ms: int | None = None

    @property
    def members(self) -> list[member.Member]:
        """All known VMs, this one and the gone ones included."""
        return [self.me, *self.others.values()]

    @property
    def joined(self) -> bool:
        """True once this VM serves as a home, or has begun to leave."""
        return self.me.state is not member.MemberState.JOINING

    @property
    def left(self) -> bool:
        """True when this VM has left and may stop."""
        return self.me.state is member.MemberState.LEFT

    def listed(self, members: typing.Iterable[member.Member]) -> None:
        """Take the platform's list.

        It lags both ways, so it only names VMs that are worth a ping; what a
        VM is, its own heartbeats say.
        """
        self._listed = {
            item.name: item for item in members if item.name != self.me.name
        }

    def leave(self, now_ms: int) -> None:
        """Begin to leave; the VM gives up its homes and stays for a while."""
        if self._leaving_ms is None:
            self._leaving_ms = now_ms
            self._become(member.MemberState.LEAVING)

    def tick(self, now_ms: int, ready: bool) -> None:
        """Send the pings that are due and draw conclusions from missing Acks.

        Args:
            now_ms: Present time in milliseconds.
            ready: True when this VM has a configuration to serve by.
        """
        self.check_pause(now_ms)
        self._check_probes(now_ms)
        self._check_suspects(now_ms)
        self._check_own_state(now_ms, ready)
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + PERIOD_MS
            self._ping_next(now_ms)
        if now_ms >= self._retry_ms:
            self._retry_ms = now_ms + RETRY_GONE_MS
            self._ping_strangers()

    def ping(self, now_ms: int, source: packet.Address, item: wire.Ping) -> None:
        """Answer a heartbeat."""
        self._hear(now_ms, item.sender, item.sequence, item.updates)
        self._peers.send_to(
            source, wire.Ack(item.number, self.me, self.sequence, self._updates())
        )

    def ack(self, now_ms: int, item: wire.Ack) -> None:
        """Take the answer to a heartbeat."""
        self._probes.pop(item.number, None)
        via = self._vias.pop(item.number, None)
        if via is not None:
            self._peers.send_to(via.asker, item._replace(number=via.number))
        self._contact = True
        self._hear(now_ms, item.sender, item.sequence, item.updates)

    def ping_via(self, source: packet.Address, item: wire.PingVia) -> None:
        """Ping a VM for another one that got no Ack from it."""
        suspect = self.others.get(item.suspect)
        if suspect is None:
            return
        number = self._take_number()
        self._vias[number] = _Via(item.number, source)
        if len(self._vias) > 256:
            self._vias.pop(next(iter(self._vias)))
        self._send_ping(number, peer.address_of(suspect))

    def announce(self, count: int) -> None:
        """Ping some VMs at once, because there is a new configuration."""
        names = [item.name for item in self.others.values() if not item.gone]
        for name in self._rng.sample(names, min(count, len(names))):
            self._send_ping(self._take_number(), peer.address_of(self.others[name]))

    # Hearing of VMs.

    def _hear(
        self,
        now_ms: int,
        sender: member.Member,
        sequence: int,
        updates: tuple[member.Member, ...],
    ) -> None:
        if sender.name != self.me.name:
            self.sequences[sender.name] = sequence
            self._merge(now_ms, sender)
            self._clear_suspicion(now_ms, sender)
        for item in updates:
            self._merge(now_ms, item)

    def _merge(self, now_ms: int, news: member.Member) -> None:
        if news.name == self.me.name:
            self._refute(news)
            return
        known = self.others.get(news.name)
        if known is not None and not news.newer_than(known):
            return
        if known is None and news.gone:
            return
        self._replace_address(news)
        self._set(now_ms, news)

    def _replace_address(self, news: member.Member) -> None:
        # A VM can be replaced by another under the same address. Kept as alive,
        # the old name would share the address and be the home of flows that
        # the new VM does not know.
        for other in list(self.others.values()):
            same = (other.ip, other.peer_port) == (news.ip, news.peer_port)
            if same and other.name != news.name and not other.gone:
                if other.incarnation > news.incarnation:
                    continue
                self._set(0, other._replace(state=member.MemberState.DEAD))

    def _set(self, now_ms: int, news: member.Member) -> None:
        known = self.others.get(news.name)
        self.others[news.name] = news
        self._news[news.name] = 0
        if news.state is member.MemberState.SUSPECT:
            self._suspects.setdefault(news.name, now_ms + SUSPECT_MS)
        else:
            self._suspects.pop(news.name, None)
        served = known is not None and known.serves
        if known is None or known.state != news.state or served != news.serves:
            self.changed = True
            self._log(news)

    def _log(self, news: member.Member) -> None:
        self._outbox.put(
            message.log(
                "member_changed",
                member=news.name,
                zone=news.zone,
                state=news.state.name.lower(),
                incarnation=news.incarnation,
            )
        )

    def _clear_suspicion(self, now_ms: int, sender: member.Member) -> None:
        known = self.others.get(sender.name)
        if known is None or known.incarnation != sender.incarnation:
            return
        if known.state is member.MemberState.SUSPECT and sender.serves:
            # It speaks, so it lives. Its own higher incarnation, told by it
            # when it hears of the suspicion, makes the others follow.
            self._set(now_ms, known._replace(state=sender.state))

    def _refute(self, news: member.Member) -> None:
        mine = self.me
        if news.incarnation < mine.incarnation or mine.gone:
            return
        if news.state <= mine.state and news.incarnation == mine.incarnation:
            return
        self.me = mine._replace(incarnation=news.incarnation + 1)
        self._news[mine.name] = 0

    # This VM's own state.

    def _become(self, state: member.MemberState) -> None:
        self.me = self.me._replace(state=state, incarnation=self.me.incarnation + 1)
        self._news[self.me.name] = 0
        self.changed = True
        self._log(self.me)

    def check_pause(self, now_ms: int) -> int:
        """Note that this VM runs now, and notice when it did not for a while.

        Args:
            now_ms: Present time in milliseconds.

        Returns:
            Length of the pause in milliseconds; 0 when there was none.
        """
        last = self._last_ms
        self._last_ms = now_ms
        if last is None or now_ms - last < PAUSE_MS:
            return 0
        # The process did not run for a while and does not know what the others
        # agreed meanwhile. It notices by the gap between two events, stops to
        # be a home, and joins anew once another VM has answered.
        self._outbox.put(message.log("vm_paused", pause_ms=now_ms - last))
        self._probes.clear()
        self._suspects = dict.fromkeys(self._suspects, now_ms + SUSPECT_MS)
        if self.me.serves:
            self._contact = False
            self._started_ms = None
            self._become(member.MemberState.JOINING)
        return now_ms - last

    def _check_own_state(self, now_ms: int, ready: bool) -> None:
        if self._started_ms is None:
            self._started_ms = now_ms
        state = self.me.state
        if state is member.MemberState.JOINING and ready:
            alone = now_ms - self._started_ms >= ALONE_MS
            if alone or (self._contact and self._caught_up()):
                self._become(member.MemberState.ALIVE)
        if state is member.MemberState.LEAVING:
            assert self._leaving_ms is not None
            if now_ms - self._leaving_ms >= LEAVE_MS:
                self._become(member.MemberState.LEFT)
                self._tell_all()

    def _caught_up(self) -> bool:
        known = [
            self.sequences.get(item.name, 0)
            for item in self.others.values()
            if item.serves
        ]
        return self.sequence >= max(known, default=0)

    def _tell_all(self) -> None:
        for other in self.others.values():
            if not other.gone:
                self._send_ping(self._take_number(), peer.address_of(other))

    # Heartbeats.

    def _ping_next(self, now_ms: int) -> None:
        name = self._next_name()
        if name is None:
            return
        number = self._take_number()
        self._probes[number] = _Probe(name, now_ms + ACK_MS)
        self._send_ping(number, peer.address_of(self.others[name]))

    def _next_name(self) -> str | None:
        while self._round:
            name = self._round.pop()
            known = self.others.get(name)
            if known is not None and not known.gone:
                return name
        self._round = [item.name for item in self.others.values() if not item.gone]
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _ping_strangers(self) -> None:
        # After a cut both sides take each other for dead. Were dead VMs never
        # pinged again, the two halves would stay apart after the cut heals.
        known = {
            peer.address_of(item) for item in self.others.values() if not item.gone
        }
        gone = [peer.address_of(item) for item in self.others.values() if item.gone]
        listed = [peer.address_of(item) for item in self._listed.values()]
        own = peer.address_of(self.me)
        strange = sorted({*self._seeds, *gone, *listed} - known - {own})
        for address in self._rng.sample(strange, min(3, len(strange))):
            self._send_ping(self._take_number(), address)

    def _check_probes(self, now_ms: int) -> None:
        for number, probe in list(self._probes.items()):
            if probe.due_ms > now_ms:
                continue
            if probe.indirect:
                del self._probes[number]
                self._suspect(now_ms, probe.name)
            else:
                probe.indirect = True
                probe.due_ms = now_ms + 2 * ACK_MS
                self._ask_others(number, probe.name)

    def _ask_others(self, number: int, suspect: str) -> None:
        names = [
            item.name
            for item in self.others.values()
            if item.serves and item.name != suspect
        ]
        for name in self._rng.sample(names, min(VIA_COUNT, len(names))):
            self._peers.send(name, wire.PingVia(number, suspect))

    def _suspect(self, now_ms: int, name: str) -> None:
        known = self.others.get(name)
        if known is None or known.gone:
            return
        if known.state in (member.MemberState.JOINING, member.MemberState.LEAVING):
            self._set(now_ms, known._replace(state=member.MemberState.DEAD))
        elif known.state is member.MemberState.ALIVE:
            self._set(now_ms, known._replace(state=member.MemberState.SUSPECT))

    def _check_suspects(self, now_ms: int) -> None:
        for name, due_ms in list(self._suspects.items()):
            if due_ms <= now_ms:
                known = self.others[name]
                self._set(now_ms, known._replace(state=member.MemberState.DEAD))

    def _updates(self) -> tuple[member.Member, ...]:
        limit = SPREAD_FACTOR * (len(self.others) + 2).bit_length()
        fresh = sorted(self._news.items(), key=lambda item: item[1])[:MAX_UPDATES]
        chosen = []
        for name, sent in fresh:
            known = self.me if name == self.me.name else self.others.get(name)
            if known is not None:
                chosen.append(known)
            self._news[name] = sent + 1
            if sent + 1 >= limit:
                del self._news[name]
        return tuple(chosen)

    def _send_ping(self, number: int, destination: packet.Address) -> None:
        self._peers.send_to(
            destination, wire.Ping(number, self.me, self.sequence, self._updates())
        )

    def _take_number(self) -> int:
        self._number += 1
        return self._number
