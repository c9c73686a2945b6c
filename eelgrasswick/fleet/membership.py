"""Fleet membership by a failure detector and the platform's lagging listing.

The protocol follows Das, Gupta and Motivala, "SWIM" (2002). Each VM pings one
other per period, in a shuffled round-robin order. When no Ack arrives, it requests
indirect pings from a few others, then suspects the VM, and only after a further
timeout marks it as dead. Updates are carried by pings and Acks. The cost per VM
does not grow with the fleet.
"""

import random
import typing

from eelgrasswick import (
    message,
    packet,
    wire,
)
from eelgrasswick.fleet import (
    gossip,
    join_condition,
    member,
    peer,
    probe,
    reconnect,
    round_robin,
)

PROBE_PERIOD_MS: typing.Final = 200
SUSPICION_TIMEOUT_MS: typing.Final = 900
PAUSE_THRESHOLD_MS: typing.Final = 1000
RECONNECT_PERIOD_MS: typing.Final = 1000
INDIRECT_PROBE_COUNT: typing.Final = 2
LEAVING_DURATION_MS: typing.Final = 4000
RECONNECT_COUNT: typing.Final = 3


_SUSPECT_OR_GONE: typing.Final = member.GONE | {member.MemberState.SUSPECT}


class Membership:
    """One VM's records of the fleet's members, kept up to date by heartbeats.

    Attributes:
        me: This VM.
        others: All other known VMs by name, including those that are gone.
        sequences: Sequences in force by VM name, as received with heartbeats.
        changed: True after members have changed; the owner resets it.
        sequence: Sequence in force at this VM; the owner sets it.
    """

    def __init__(
        self,
        me: member.Member,
        seeds: typing.Iterable[packet.Address],
        peers: peer.Peers,
        outbox: message.Outbox,
        rng: random.Random,
    ) -> None:
        """Create the membership of a joining VM.

        Args:
            me: This VM, in state JOINING.
            seeds: Peer addresses to ping while no VM is known there.
            peers: Sends messages to other VMs.
            outbox: Collects log events.
            rng: Source of randomness, seeded by the caller.
        """
        self.me = me
        self.others: dict[str, member.Member] = {}
        self.sequences: dict[str, int] = {}
        self.changed = True
        self.sequence = 0
        self._candidates = reconnect.ReconnectCandidates(seeds)
        self._peers = peers
        self._outbox = outbox
        self._rng = rng
        self._ping_order = round_robin.ShuffledRoundRobin(rng)
        self._probes = probe.Probes()
        self._suspicion_ends_ms: dict[str, int] = {}
        self._names_by_address: dict[packet.Address, str] = {}
        self._gossip = gossip.Gossip()
        self._next_ping_ms = 0
        self._next_reconnect_ms = 0
        self._last_event_ms: int | None = None
        self._join_condition = join_condition.JoinCondition()
        self._leaving_since_ms: int | None = None

    @property
    def members(self) -> list[member.Member]:
        """All known VMs, including this one and those that are gone."""
        return [self.me, *self.others.values()]

    @property
    def left(self) -> bool:
        """True when this VM has left and may stop."""
        return self.me.state is member.MemberState.LEFT

    def update_listing(self, members: typing.Iterable[member.Member]) -> None:
        """Replace the platform's listing of VMs.

        The listing may lack VMs that run and contain VMs that are gone, so it only
        provides addresses to ping. The state of a VM comes from its own heartbeats.
        """
        self._candidates.update_listing(members)

    def leave(self, now_ms: int) -> None:
        """Begin to leave: the VM stops being a home, and forwards for a while."""
        if self._leaving_since_ms is None:
            self._leaving_since_ms = now_ms
            self._set_state(member.MemberState.LEAVING)

    def tick(self, now_ms: int, ready: bool) -> None:
        """Send the pings that are due and process missing Acks.

        Args:
            now_ms: Present time in milliseconds.
            ready: True when this VM has a configuration in force.
        """
        self._check_probes(now_ms)
        self._check_suspects(now_ms)
        self._check_own_state(now_ms, ready)
        if now_ms >= self._next_ping_ms:
            self._next_ping_ms = now_ms + PROBE_PERIOD_MS
            self._ping_next(now_ms)
        if now_ms >= self._next_reconnect_ms:
            self._next_reconnect_ms = now_ms + RECONNECT_PERIOD_MS
            self._ping_candidates()
            for name in self._candidates.expired(now_ms):
                self._remove(name)

    def receive_ping(
        self, now_ms: int, source: packet.Address, item: wire.Ping
    ) -> None:
        """Process a Ping and send its Ack."""
        self._merge_all(now_ms, item.sender, item.sequence, item.updates)
        known = self.others.get(item.sender.name)
        about_sender = (
            known if known is not None and known.supersedes(item.sender) else None
        )
        updates = self._updates(about_sender)
        self._peers.send_to(
            source, wire.Ack(item.number, self.me, self.sequence, updates)
        )

    def receive_ack(self, now_ms: int, item: wire.Ack) -> None:
        """Process an Ack, and pass it on if the Ping was sent for another VM."""
        relayed = self._probes.record_ack(item.number, item.sender.name)
        if relayed is not None:
            self._peers.send_to(relayed.requester, item._replace(number=relayed.number))
        self._join_condition.record_ack(item.number)
        self._merge_all(now_ms, item.sender, item.sequence, item.updates)
        self._clear_suspicion(now_ms, item.sender)

    def receive_indirect_ping(
        self, source: packet.Address, item: wire.IndirectPingRequest
    ) -> None:
        """Ping a VM on behalf of the sender, which got no Ack from it."""
        suspect = self.others.get(item.suspect)
        if suspect is None:
            return
        relayed = probe.Relayed(item.number, source, item.suspect)
        number = self._probes.relay(relayed)
        self._send_ping(number, peer.address_of(suspect), suspect)

    def announce(self, count: int) -> None:
        """Ping up to ``count`` VMs at once to announce a new configuration."""
        names = [item.name for item in self.others.values() if not item.gone]
        for name in self._rng.sample(names, min(count, len(names))):
            self._ping_member(self.others[name])

    # The methods below process updates about other VMs.

    def _merge_all(
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

    def _merge(self, now_ms: int, update: member.Member) -> None:
        if update.name == self.me.name:
            self._refute(update)
            return
        known = self.others.get(update.name)
        if known is not None and not update.supersedes(known):
            return
        if known is None and update.gone:
            return
        if not update.gone and not self._claim_address(now_ms, update):
            if known is None:
                return
            update = update._replace(state=member.MemberState.DEAD)
        self._set(now_ms, update)

    def _claim_address(self, now_ms: int, update: member.Member) -> bool:
        # A VM can be replaced by another one with the same address. If the old
        # name stayed alive, it would share the address and be the home of flows
        # that the new VM has no record of. The VM that started later gets the
        # address.
        address = peer.address_of(update)
        own = address == peer.address_of(self.me)
        holder = (
            self.me if own else self.others.get(self._names_by_address.get(address, ""))
        )
        if holder is None or holder.name == update.name or holder.gone:
            return True
        if peer.address_of(holder) != address:
            return True
        if holder.incarnation > update.incarnation:
            return False
        if holder.name != self.me.name:
            self._set(now_ms, holder._replace(state=member.MemberState.DEAD))
        return True

    def _set(self, now_ms: int, update: member.Member) -> None:
        known = self.others.get(update.name)
        self.others[update.name] = update
        self._gossip.add(update.name)
        if update.gone:
            self._candidates.add_gone(now_ms, update.name)
        else:
            self._candidates.discard_gone(update.name)
            self._names_by_address[peer.address_of(update)] = update.name
        if update.state is member.MemberState.SUSPECT:
            self._suspicion_ends_ms.setdefault(
                update.name, now_ms + SUSPICION_TIMEOUT_MS
            )
        else:
            self._suspicion_ends_ms.pop(update.name, None)
        if known is None or known.state != update.state:
            self._log(update)
        if known is None or known._replace(incarnation=update.incarnation) != update:
            self.changed = True

    def _log(self, update: member.Member) -> None:
        self._outbox.put(
            message.log(
                "member_changed",
                member=update.name,
                zone=update.zone,
                state=update.state.name.lower(),
                incarnation=update.incarnation,
            )
        )

    def _clear_suspicion(self, now_ms: int, sender: member.Member) -> None:
        known = self.others.get(sender.name)
        if known is None or known.incarnation != sender.incarnation:
            return
        if known.state is member.MemberState.SUSPECT and sender.serves:
            # An Ack proves that packets pass in both directions, while a ping from
            # the VM proves only one. The other VMs clear their suspicion when the
            # suspected VM has received it and refutes it by a higher incarnation.
            self._set(now_ms, known._replace(state=sender.state))
        elif known.state is not member.MemberState.SUSPECT:
            self._suspicion_ends_ms.pop(sender.name, None)

    def _refute(self, update: member.Member) -> None:
        mine = self.me
        if update.incarnation < mine.incarnation or mine.gone:
            return
        if update.state <= mine.state and update.incarnation == mine.incarnation:
            return
        self.me = mine._replace(incarnation=update.incarnation + 1)
        self._gossip.add(mine.name)

    # The methods below change the state of this VM.

    def _set_state(self, state: member.MemberState) -> None:
        self.me = self.me._replace(state=state, incarnation=self.me.incarnation + 1)
        self._gossip.add(self.me.name)
        self.changed = True
        self._log(self.me)

    def check_pause(self, now_ms: int) -> int:
        """Detect whether this process was paused before the present event.

        Args:
            now_ms: Present time in milliseconds.

        Returns:
            Length of the pause in milliseconds; 0 when there was none. After a
            pause this VM is no home any more until it has joined.
        """
        last = self._last_event_ms
        self._last_event_ms = now_ms
        if last is None or now_ms - last < PAUSE_THRESHOLD_MS:
            return 0
        # A gap between two events shows that the process did not run for a while,
        # so it may have missed updates of the other VMs. The VM stops being a home
        # and joins again once a peer has sent an Ack. Acks that waited in the
        # socket during the pause don't count.
        self._outbox.put(message.log("vm_paused", pause_ms=now_ms - last))
        self._probes.clear()
        self._suspicion_ends_ms = dict.fromkeys(
            self._suspicion_ends_ms, now_ms + SUSPICION_TIMEOUT_MS
        )
        if self.me.serves:
            self._join_condition.restart(self._probes.last_number)
            self._set_state(member.MemberState.JOINING)
        return now_ms - last

    def _check_own_state(self, now_ms: int, ready: bool) -> None:
        state = self.me.state
        may_join = self._join_condition.may_join(now_ms, self._config_is_newest())
        if state is member.MemberState.JOINING and ready and may_join:
            self._set_state(member.MemberState.ALIVE)
        if state is member.MemberState.LEAVING:
            assert self._leaving_since_ms is not None
            if now_ms - self._leaving_since_ms >= LEAVING_DURATION_MS:
                self._set_state(member.MemberState.LEFT)
                self._ping_all()

    def _config_is_newest(self) -> bool:
        known = [
            self.sequences.get(item.name, 0)
            for item in self.others.values()
            if item.serves
        ]
        return self.sequence >= max(known, default=0)

    def _ping_all(self) -> None:
        for other in self.others.values():
            if not other.gone:
                self._ping_member(other)

    # The methods below send heartbeats and handle missing Acks.

    def _ping_next(self, now_ms: int) -> None:
        present = [item.name for item in self.others.values() if not item.gone]
        name = self._ping_order.next(present)
        if name is None:
            return
        number = self._ping_member(self.others[name])
        self._probes.expect_ack(now_ms, number, name)

    def _ping_candidates(self) -> None:
        present = [self.me, *self.others.values()]
        known = {peer.address_of(item) for item in present if not item.gone}
        found = self._candidates.addresses(self.others)
        addresses = sorted(found.keys() - known)
        for address in self._rng.sample(
            addresses, min(RECONNECT_COUNT, len(addresses))
        ):
            self._send_ping(self._probes.take_number(), address, found[address])

    def _remove(self, name: str) -> None:
        address = peer.address_of(self.others.pop(name))
        if self._names_by_address.get(address) == name:
            del self._names_by_address[address]
        self._candidates.discard_gone(name)
        self.sequences.pop(name, None)
        self._gossip.discard(name)
        self.changed = True

    def _check_probes(self, now_ms: int) -> None:
        for item in self._probes.overdue(now_ms):
            if item.final:
                self._suspect(now_ms, item.name)
            else:
                self._request_indirect_pings(item.number, item.name)

    def _request_indirect_pings(self, number: int, suspect: str) -> None:
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
            self._suspicion_ends_ms.setdefault(name, now_ms + SUSPICION_TIMEOUT_MS)

    def _check_suspects(self, now_ms: int) -> None:
        for name, due_ms in list(self._suspicion_ends_ms.items()):
            if due_ms <= now_ms:
                known = self.others[name]
                self._set(now_ms, known._replace(state=member.MemberState.DEAD))

    def _updates(
        self, about_receiver: member.Member | None
    ) -> tuple[member.Member, ...]:
        """Return the updates for one heartbeat.

        Args:
            about_receiver: The record of the receiver that it must receive, if
                any. The update about a death is disseminated for some seconds
                only. Without this record, a VM that was cut off for longer would
                never receive that the others mark it as dead, never refute it,
                and stay separated after the partition heals.
        """
        names = self._gossip.next_updates(len(self.others) + 1)
        known = [self.me if n == self.me.name else self.others.get(n) for n in names]
        chosen = [item for item in known if item is not None]
        if about_receiver is not None and about_receiver not in chosen:
            chosen.insert(0, about_receiver)
        return tuple(chosen)

    def _ping_member(self, known: member.Member) -> int:
        number = self._probes.take_number()
        self._send_ping(number, peer.address_of(known), known)
        return number

    def _send_ping(
        self, number: int, destination: packet.Address, receiver: member.Member | None
    ) -> None:
        suspect_or_gone = receiver is not None and receiver.state in _SUSPECT_OR_GONE
        updates = self._updates(receiver if suspect_or_gone else None)
        self._peers.send_to(
            destination, wire.Ping(number, self.me, self.sequence, updates)
        )
