"""Dissemination of the accepted configuration within the fleet.

Two VMs of each zone watch the platform's store, so that the number of calls
grows with the number of zones and not with the size of the fleet. A VM that gets
a newer configuration announces its sequence to a few others with a ping. A VM
that receives a ping with a newer sequence requests the document from the sender.
The announcement makes dissemination fast, and the request from any later ping
repairs lost announcements.
"""

import typing

from eelgrasswick import (
    config,
    errors,
    message,
    wire,
)
from eelgrasswick.fleet import (
    member,
    peer,
)
from eelgrasswick.homes import rendezvous

WATCHERS_PER_ZONE: typing.Final = 2
REQUEST_INTERVAL_MS: typing.Final = 250
REPORT_INTERVAL_MS: typing.Final = 5000
REPORT_AFTER_CHANGE_MS: typing.Final = 300
PEER_DISCOVERY_MS: typing.Final = 1500
_COUNTER: typing.Final = message.Counter
_WATCH_CANDIDATE_STATES: typing.Final = member.SERVING | {member.MemberState.JOINING}


class ConfigSync:
    """The configuration in force at one VM; its sequence never decreases.

    Attributes:
        current: The configuration in force; None before the first one.
        changed: True after a configuration was put in force; the owner resets it.
        watching: True while this VM watches the store.
    """

    def __init__(self, name: str, peers: peer.Peers, outbox: message.Outbox) -> None:
        """Create the state of a VM without a configuration in force."""
        self._name = name
        self._peers = peers
        self._outbox = outbox
        self.current: config.Config | None = None
        self.changed = False
        self.watching = False
        self._value = b""
        self._started_ms: int | None = None
        self._next_request_ms = 0
        self._next_report_ms = 0
        self._reported: tuple[message.InForce, ...] = ()

    @property
    def sequence(self) -> int:
        """Sequence of the configuration in force; 0 for none."""
        return self.current.sequence if self.current is not None else 0

    def offer(self, now_ms: int, value: bytes, source: str) -> None:
        """Put a document from the store or a peer in force if it is newer.

        Args:
            now_ms: Present time in milliseconds.
            value: Encoded document, or any other bytes.
            source: Origin of the value, for the log.
        """
        try:
            document = config.decode(value)
            if document.sequence <= self.sequence:
                self._refuse_old(document, source)
                return
            candidate = config.Config(document)
        except errors.RulesInvalidError as error:
            # A malformed value in the store reaches every VM. If VMs put it in
            # force, the whole fleet would stop serving. Each VM refuses it and
            # goes on with the last valid configuration.
            self._outbox.count(_COUNTER.CONFIG_REFUSED)
            self._outbox.put(
                message.log(
                    "config_refused",
                    kind=errors.ErrorKind.CONFIG_INVALID.value,
                    source=source,
                    detail=error.detail,
                )
            )
            return
        self._accept(now_ms, candidate, value, source)

    def _accept(
        self, now_ms: int, candidate: config.Config, value: bytes, source: str
    ) -> None:
        if self.current is not None:
            # A VM that starts has no record yet of the VM that reports for its zone. If
            # each VM reported after its first configuration, the start of a fleet would
            # cause two calls from every VM.
            self._next_report_ms = min(
                self._next_report_ms, now_ms + REPORT_AFTER_CHANGE_MS
            )
        self.current = candidate
        self.changed = True
        self._value = value
        self._outbox.count(_COUNTER.CONFIG_ACCEPTED)
        self._outbox.put(
            message.log(
                "config_in_force",
                sequence=candidate.sequence,
                change_id=candidate.document.change_id,
                source=source,
                accepted_ms_ago=max(0, now_ms - candidate.document.at_ms),
            )
        )

    def _refuse_old(self, document: config.Document, source: str) -> None:
        assert self.current is not None
        same = document.sequence == self.sequence
        if same and document == self.current.document:
            return
        self._outbox.count(_COUNTER.CONFIG_REFUSED)
        self._outbox.put(
            message.log(
                "config_refused",
                kind=errors.ErrorKind.CONFIG_STALE.value,
                source=source,
                offered=document.sequence,
                in_force=self.sequence,
            )
        )

    def store_read(self, now_ms: int, value: bytes | None) -> None:
        """Process the value that a read or watch of the store returned."""
        if value is not None:
            self.offer(now_ms, value, "store")
        if self.current is None or value == self._value:
            return
        document = _decode_or_none(value)
        if document is None or document.sequence < self.sequence:
            # The store was restored from an older copy or holds an invalid value.
            # Without a repair the next change would get a sequence that all VMs
            # refuse, and the operator would see it accepted but never in force.
            self._outbox.put(message.RepairStore(self._value, self.sequence))
        elif document.sequence == self.sequence:
            self._repair_duplicate_sequence(document)

    def _repair_duplicate_sequence(self, document: config.Document) -> None:
        # After a restore an operator's change can get the sequence of a document
        # that is in force already. VMs that start would accept it, the others
        # would refuse it, and the fleet would be divided. The document in force
        # stays and is written back with a higher sequence; the operator's next
        # plan shows that it prevailed.
        assert self.current is not None
        mine = self.current.document
        if document == mine:
            return
        raised = mine._replace(sequence=mine.sequence + 1)
        self._outbox.put(message.RepairStore(config.encode(raised), raised.sequence))

    def request_if_newer(self, now_ms: int, name: str, sequence: int) -> None:
        """Request the configuration of a VM if its sequence is newer."""
        if sequence > self.sequence and now_ms >= self._next_request_ms:
            self._next_request_ms = now_ms + REQUEST_INTERVAL_MS
            self._peers.send_link(name, wire.ConfigRequest(self.sequence))

    def send_if_newer(self, sender: str, item: wire.ConfigRequest) -> None:
        """Respond to a request if the requesting VM has an older document."""
        if self.sequence > item.sequence:
            self._peers.send_link(sender, wire.ConfigResponse(self._value))

    def tick(
        self,
        now_ms: int,
        me: member.Member,
        members: typing.Sequence[member.Member],
        sequences: dict[str, int],
    ) -> None:
        """Start or stop the watch, and report which sequences are in force."""
        if self._started_ms is None:
            self._started_ms = now_ms
            self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        zone = [item for item in members if item.zone == me.zone]
        order = _watch_order(zone)
        # When all VMs start at the same time, each has only itself as a member. If
        # each started to watch immediately, the platform would get a call from
        # every VM of the fleet.
        others_serve = any(item.serves and item.name != me.name for item in zone)
        discovered = others_serve or now_ms - self._started_ms >= PEER_DISCOVERY_MS
        active = discovered and me.name in order[:WATCHERS_PER_ZONE]
        if active != self.watching:
            self.watching = active
            self._outbox.put(message.WatchStore(active))
        if order[:1] == [me.name] and now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + REPORT_INTERVAL_MS
            self._report(me, members, sequences)

    def _report(
        self,
        me: member.Member,
        members: typing.Sequence[member.Member],
        sequences: dict[str, int],
    ) -> None:
        in_force = {**sequences, me.name: self.sequence}
        entries = tuple(
            message.InForce(item.name, in_force.get(item.name, 0))
            for item in sorted(members)
            if item.zone == me.zone and not item.gone
        )
        self._outbox.put(message.ReportInForce(entries))


def _decode_or_none(value: bytes | None) -> config.Document | None:
    if value is None:
        return None
    try:
        return config.decode(value)
    except errors.RulesInvalidError:
        return None


def _watch_order(zone: typing.Sequence[member.Member]) -> list[str]:
    # Joining VMs are candidates as well. If only serving VMs were, each VM of a
    # fleet that starts at the same time would have itself as the only candidate,
    # and all of them would watch.
    eligible = [item for item in zone if item.state in _WATCH_CANDIDATE_STATES]
    present = eligible or [item for item in zone if not item.gone]
    candidates = [rendezvous.candidate(item.name, 1.0) for item in present]
    return rendezvous.ranked(b"watch", candidates)
