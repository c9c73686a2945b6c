"""Keeps the accepted configuration in force, and spreads it.

Two VMs of each zone watch the platform's store, so that the number of calls
grows with the zones and not with the fleet. Who gets a newer configuration
announces it to a few others with a ping; who hears of a newer one, by any
ping, asks for it. The push makes it fast, the pull repairs what was lost.
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
_COUNT: typing.Final = message.Counter
_STAYING: typing.Final = member.SERVING | {member.MemberState.JOINING}


class ConfigSync:
    """The configuration in force at one VM; its sequence never goes back."""

    def __init__(self, name: str, peers: peer.Peers, outbox: message.Outbox) -> None:
        """Start without a configuration."""
        self._name = name
        self._peers = peers
        self._outbox = outbox
        self.current: config.Config | None = None
        self.changed = False
        self.watching = False
        self._value = b""
        self._begun_ms: int | None = None
        self._want_ms = 0
        self._report_ms = 0
        self._reported: tuple[message.InForce, ...] = ()

    @property
    def sequence(self) -> int:
        """Sequence in force; 0 for none."""
        return self.current.sequence if self.current is not None else 0

    def offer(self, now_ms: int, value: bytes, source: str) -> None:
        """Take a document from the store or a peer, if it is newer.

        Args:
            now_ms: Present time in milliseconds.
            value: Encoded document, or anything else.
            source: Where it came from, for the log.
        """
        try:
            document = config.decode(value)
            if document.sequence <= self.sequence:
                self._refuse_old(document, source)
                return
            candidate = config.Config(document)
        except errors.RulesInvalidError as error:
            # A malformed value in the store reaches every VM. Put in force it
            # would stop the fleet; refused, the last good one goes on.
            self._outbox.count(_COUNT.CONFIG_REFUSED)
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
            # A VM that starts does not know yet who reports for its zone. Did
            # each report with its first configuration, the start of a fleet
            # would bring two calls from every VM.
            self._report_ms = min(self._report_ms, now_ms + REPORT_AFTER_CHANGE_MS)
        self.current = candidate
        self.changed = True
        self._value = value
        self._outbox.count(_COUNT.CONFIG_ACCEPTED)
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
        self._outbox.count(_COUNT.CONFIG_REFUSED)
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
        """Take what a read or watch of the store returned."""
        if value is not None:
            self.offer(now_ms, value, "store")
        if self.current is None or value == self._value:
            return
        document = _document(value)
        if document is None or document.sequence < self.sequence:
            # The store was restored from an older copy. Left so, the next
            # change would get a sequence that all VMs refuse; the operator
            # would see it accepted and never in force.
            self._outbox.put(message.RepairStore(self._value, self.sequence))
        elif document.sequence == self.sequence:
            self._repair_twin(document)

    def _repair_twin(self, document: config.Document) -> None:
        # After a restore an operator's change can get the sequence of one that
        # is in force already. VMs that start would take it, the others refuse
        # it, and the fleet would be divided. What is in force stays and gets a
        # higher sequence; the operator's next plan shows that it won.
        assert self.current is not None
        mine = self.current.document
        if document == mine:
            return
        raised = mine._replace(sequence=mine.sequence + 1)
        self._outbox.put(message.RepairStore(config.encode(raised), raised.sequence))

    def request_if_newer(self, now_ms: int, name: str, sequence: int) -> None:
        """Ask a VM for its configuration when it is newer."""
        if sequence > self.sequence and now_ms >= self._want_ms:
            self._want_ms = now_ms + REQUEST_INTERVAL_MS
            self._peers.send_link(name, wire.ConfigRequest(self.sequence))

    def send_if_newer(self, sender: str, item: wire.ConfigRequest) -> None:
        """Send the document to a VM that has an older one."""
        if self.sequence > item.sequence:
            self._peers.send_link(sender, wire.ConfigResponse(self._value))

    def tick(
        self,
        now_ms: int,
        me: member.Member,
        members: typing.Sequence[member.Member],
        sequences: dict[str, int],
    ) -> None:
        """Take up or lay down the watch, and report what is in force."""
        if self._begun_ms is None:
            self._begun_ms = now_ms
            self._report_ms = now_ms + REPORT_INTERVAL_MS
        zone = [item for item in members if item.zone == me.zone]
        order = _watch_order(zone)
        # When all VMs start at once each knows itself only. Did each watch at
        # once, the platform would get a call from every VM of the fleet.
        others_serve = any(item.serves and item.name != me.name for item in zone)
        known = others_serve or now_ms - self._begun_ms >= PEER_DISCOVERY_MS
        active = known and me.name in order[:WATCHERS_PER_ZONE]
        if active != self.watching:
            self.watching = active
            self._outbox.put(message.WatchStore(active))
        if order[:1] == [me.name] and now_ms >= self._report_ms:
            self._report_ms = now_ms + REPORT_INTERVAL_MS
            self._report(me, members, sequences)

    def _report(
        self,
        me: member.Member,
        members: typing.Sequence[member.Member],
        sequences: dict[str, int],
    ) -> None:
        present = {**sequences, me.name: self.sequence}
        entries = tuple(
            message.InForce(item.name, present.get(item.name, 0))
            for item in sorted(members)
            if item.zone == me.zone and not item.gone
        )
        self._outbox.put(message.ReportInForce(entries))


def _document(value: bytes | None) -> config.Document | None:
    if value is None:
        return None
    try:
        return config.decode(value)
    except errors.RulesInvalidError:
        return None


def _watch_order(zone: typing.Sequence[member.Member]) -> list[str]:
    # VMs that are joining count as well. When all start at once, each would
    # else take itself for the only one that serves, and watch.
    staying = [item for item in zone if item.state in _STAYING]
    present = staying or [item for item in zone if not item.gone]
    candidates = [rendezvous.candidate(item.name, 1.0) for item in present]
    return rendezvous.ranked(b"watch", candidates)
