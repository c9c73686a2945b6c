"""Which VMs are there, from own observation and the platform's lagging list.

The protocol follows Das, Gupta and Motivala, "SWIM" (2002): each VM pings one
other per period in turn, asks a few others to try when no Ack comes, suspects,
and only then takes a VM for dead. News rides on pings. The cost per VM does not
grow with the fleet.
"""

import random
import typing

from eelgrasswick import (
    message,
    packet,
    wire,
)
from eelgrasswick.fleet import (
    contact,
    gossip,
    member,
    peer,
    probe,
    turn,
    unheard,
)

PROBE_PERIOD_MS: typing.Final = 200
SUSPICION_TIMEOUT_MS: typing.Final = 900
PAUSE_THRESHOLD_MS: typing.Final = 1000
RECONNECT_PERIOD_MS: typing.Final = 1000
INDIRECT_PROBE_COUNT: typing.Final = 2
LEAVING_DURATION_MS: typing.Final = 4000
RECONNECT_COUNT: typing.Final = 3


_DOUBTED: typing.Final = member.GONE | {member.MemberState.SUSPECT}


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
        self._unheard = unheard.ReconnectCandidates(seeds)
        self._peers = peers
        self._outbox = outbox
        self._rng = rng
        self._turn = turn.ShuffledRoundRobin(rng)
        self._probes = probe.Probes()
        self._suspects: dict[str, int] = {}
        self._holders: dict[packet.Address, str] = {}
        self._news = gossip.Gossip()
        self._next_ms = 0
        self._retry_ms = 0
        self._last_ms: int | None = None
        self._contact = contact.JoinCondition()
        self._leaving_ms: int | None = None

    @property
    def members(self) -> list[member.Member]:
        """All known VMs, this one and the gone ones included."""
        return [self.me, *self.others.values()]

    @property
    def left(self) -> bool:
        """True when this VM has left and may stop."""
        return self.me.state is member.MemberState.LEFT

    def update_listing(self, members: typing.Iterable[member.Member]) -> None:
        """Take the platform's list.

        It lags both ways, so it only names VMs that are worth a ping; what a
        VM is, its own heartbeats say.
        """
        self._unheard.update_listing(members)

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
        self._check_probes(now_ms)
        self._check_suspects(now_ms)
        self._check_own_state(now_ms, ready)
        if now_ms >= self._next_ms:
            self._next_ms = now_ms + PROBE_PERIOD_MS
            self._ping_next(now_ms)
        if now_ms >= self._retry_ms:
            self._retry_ms = now_ms + RECONNECT_PERIOD_MS
            self._ping_unheard()
            for name in self._unheard.expired(now_ms):
                self._forget(name)

    def receive_ping(
        self, now_ms: int, source: packet.Address, item: wire.Ping
    ) -> None:
        """Answer a heartbeat."""
        self._hear(now_ms, item.sender, item.sequence, item.updates)
        known = self.others.get(item.sender.name)
        told = known if known is not None and known.supersedes(item.sender) else None
        updates = self._updates(told)
        self._peers.send_to(
            source, wire.Ack(item.number, self.me, self.sequence, updates)
        )

    def receive_ack(self, now_ms: int, item: wire.Ack) -> None:
        """Take the answer to a heartbeat."""
        relayed = self._probes.record_ack(item.number, item.sender.name)
        if relayed is not None:
            self._peers.send_to(relayed.requester, item._replace(number=relayed.number))
        self._contact.record_ack(item.number)
        self._hear(now_ms, item.sender, item.sequence, item.updates)
        self._clear_suspicion(now_ms, item.sender)

    def receive_indirect_ping(
        self, source: packet.Address, item: wire.IndirectPingRequest
    ) -> None:
        """Ping a VM for another one that got no Ack from it."""
        suspect = self.others.get(item.suspect)
        if suspect is None:
            return
        relayed = probe.Relayed(item.number, source, item.suspect)
        number = self._probes.relay(relayed)
        self._send_ping(number, peer.address_of(suspect), suspect)

    def announce(self, count: int) -> None:
        """Ping some VMs at once, because there is a new configuration."""
        names = [item.name for item in self.others.values() if not item.gone]
        for name in self._rng.sample(names, min(count, len(names))):
            self._ping_known(self.others[name])

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
        for item in updates:
            self._merge(now_ms, item)

    def _merge(self, now_ms: int, news: member.Member) -> None:
        if news.name == self.me.name:
            self._refute(news)
            return
        known = self.others.get(news.name)
        if known is not None and not news.supersedes(known):
            return
        if known is None and news.gone:
            return
        if not news.gone and not self._take_address(now_ms, news):
            if known is None:
                return
            news = news._replace(state=member.MemberState.DEAD)
        self._set(now_ms, news)

    def _take_address(self, now_ms: int, news: member.Member) -> bool:
        # A VM can be replaced by another under the same address. Kept as alive,
        # the old name would share the address and be the home of flows that
        # the new VM does not know. The VM that started later has the address.
        address = peer.address_of(news)
        own = address == peer.address_of(self.me)
        holder = self.me if own else self.others.get(self._holders.get(address, ""))
        if holder is None or holder.name == news.name or holder.gone:
            return True
        if peer.address_of(holder) != address:
            return True
        if holder.incarnation > news.incarnation:
            return False
        if holder.name != self.me.name:
            self._set(now_ms, holder._replace(state=member.MemberState.DEAD))
        return True

    def _set(self, now_ms: int, news: member.Member) -> None:
        known = self.others.get(news.name)
        self.others[news.name] = news
        self._news.add(news.name)
        if news.gone:
            self._unheard.add_gone(now_ms, news.name)
        else:
            self._unheard.discard_gone(news.name)
            self._holders[peer.address_of(news)] = news.name
        if news.state is member.MemberState.SUSPECT:
            self._suspects.setdefault(news.name, now_ms + SUSPICION_TIMEOUT_MS)
        else:
            self._suspects.pop(news.name, None)
        if known is None or known.state != news.state:
            self._log(news)
        if known is None or known._replace(incarnation=news.incarnation) != news:
            self.changed = True

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
            # It answers, so the way there and back is open; its pings alone
            # would prove one way only. Its own higher incarnation, told by it
            # when it hears of the suspicion, makes the others follow.
            self._set(now_ms, known._replace(state=sender.state))
        elif known.state is not member.MemberState.SUSPECT:
            self._suspects.pop(sender.name, None)

    def _refute(self, news: member.Member) -> None:
        mine = self.me
        if news.incarnation < mine.incarnation or mine.gone:
            return
        if news.state <= mine.state and news.incarnation == mine.incarnation:
            return
        self.me = mine._replace(incarnation=news.incarnation + 1)
        self._news.add(mine.name)

    # This VM's own state.

    def _become(self, state: member.MemberState) -> None:
        self.me = self.me._replace(state=state, incarnation=self.me.incarnation + 1)
        self._news.add(self.me.name)
        self.changed = True
        self._log(self.me)

    def check_pause(self, now_ms: int) -> int:
        """Find out whether this process was paused before the present event.

        Args:
            now_ms: Present time in milliseconds.

        Returns:
            Length of the pause in milliseconds; 0 when there was none. After a
            pause this VM is no home any more until it has joined.
        """
        last = self._last_ms
        self._last_ms = now_ms
        if last is None or now_ms - last < PAUSE_THRESHOLD_MS:
            return 0
        # The process did not run for a while and does not know what the others
        # agreed meanwhile. It notices by the gap between two events, stops to
        # be a home, and joins anew once another VM has answered. Answers that
        # waited in its socket meanwhile do not count.
        self._outbox.put(message.log("vm_paused", pause_ms=now_ms - last))
        self._probes.clear()
        self._suspects = dict.fromkeys(self._suspects, now_ms + SUSPICION_TIMEOUT_MS)
        if self.me.serves:
            self._contact.restart(self._probes.last_number)
            self._become(member.MemberState.JOINING)
        return now_ms - last

    def _check_own_state(self, now_ms: int, ready: bool) -> None:
        state = self.me.state
        may_join = self._contact.may_join(now_ms, self._caught_up())
        if state is member.MemberState.JOINING and ready and may_join:
            self._become(member.MemberState.ALIVE)
        if state is member.MemberState.LEAVING:
            assert self._leaving_ms is not None
            if now_ms - self._leaving_ms >= LEAVING_DURATION_MS:
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
                self._ping_known(other)

    # Heartbeats.

    def _ping_next(self, now_ms: int) -> None:
        here = [item.name for item in self.others.values() if not item.gone]
        name = self._turn.next(here)
        if name is None:
            return
        number = self._ping_known(self.others[name])
        self._probes.expect_ack(now_ms, number, name)

    def _ping_unheard(self) -> None:
        here = [self.me, *self.others.values()]
        known = {peer.address_of(item) for item in here if not item.gone}
        found = self._unheard.addresses(self.others)
        strange = sorted(found.keys() - known)
        for address in self._rng.sample(strange, min(RECONNECT_COUNT, len(strange))):
            self._send_ping(self._probes.take_number(), address, found[address])

    def _forget(self, name: str) -> None:
        place = peer.address_of(self.others.pop(name))
        if self._holders.get(place) == name:
            del self._holders[place]
        self._unheard.discard_gone(name)
        self.sequences.pop(name, None)
        self._news.discard(name)
        self.changed = True

    def _check_probes(self, now_ms: int) -> None:
        for item in self._probes.overdue(now_ms):
            if item.final:
                self._suspect(now_ms, item.name)
            else:
                self._ask_others(item.number, item.name)

    def _ask_others(self, number: int, suspect: str) -> None:
        serving = [item.name for item in self.others.values() if item.serves]
        names = [name for name in serving if name != suspect]
        for name in self._rng.sample(names, min(INDIRECT_PROBE_COUNT, len(names))):
            self._peers.send(name, wire.IndirectPingRequest(number, suspect))

    def _suspect(self, now_ms: int, name: str) -> None:
        known = self.others.get(name)
        if known is None or known.gone:
            return
        if known.state is member.MemberState.ALIVE:
            self._set(now_ms, known._replace(state=member.MemberState.SUSPECT))
        else:
            self._suspects.setdefault(name, now_ms + SUSPICION_TIMEOUT_MS)

    def _check_suspects(self, now_ms: int) -> None:
        for name, due_ms in list(self._suspects.items()):
            if due_ms <= now_ms:
                known = self.others[name]
                self._set(now_ms, known._replace(state=member.MemberState.DEAD))

    def _updates(self, told: member.Member | None) -> tuple[member.Member, ...]:
        """Return the news for one heartbeat.

        Args:
            told: What the receiver must hear about itself, if anything. The
                news of a death is passed on for some seconds only. A VM that
                is cut off for longer would never hear that the others take it
                for dead, never refute it, and stay apart after the cut heals.
        """
        names = self._news.next_updates(len(self.others) + 1)
        known = [self.me if n == self.me.name else self.others.get(n) for n in names]
        chosen = [item for item in known if item is not None]
        if told is not None and told not in chosen:
            chosen.insert(0, told)
        return tuple(chosen)

    def _ping_known(self, known: member.Member) -> int:
        number = self._probes.take_number()
        self._send_ping(number, peer.address_of(known), known)
        return number

    def _send_ping(
        self, number: int, destination: packet.Address, receiver: member.Member | None
    ) -> None:
        doubted = receiver is not None and receiver.state in _DOUBTED
        updates = self._updates(receiver if doubted else None)
        self._peers.send_to(
            destination, wire.Ping(number, self.me, self.sequence, updates)
        )
