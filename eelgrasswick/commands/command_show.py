"""The command ``show``: what is in force, and why a flow or target is there."""

import dataclasses
import json
import sys
import typing

import cappa
from twisted.internet import defer, protocol

from eelgrasswick import (
    errors,
    packet,
    store,
    wire,
)
from eelgrasswick.commands import console
from eelgrasswick.daemons import gateway
from eelgrasswick.homes import explain

RESPONSE_TIMEOUT_S: typing.Final = 1.0
MAX_ATTEMPTS: typing.Final = 3
MAX_QUERIED_VMS: typing.Final = 5
_GONE: typing.Final = "gone"

Query = wire.ExplainFlowRequest | wire.ExplainTargetRequest
Flow = typing.Annotated[str, cappa.Arg(long="--flow", help="explain a flow")]
Target = typing.Annotated[str, cappa.Arg(long="--target", help="explain a target")]
Vm = typing.Annotated[str, cappa.Arg(long="--vm", help="peer address of a VM to ask")]
Source = typing.Annotated[str, cappa.Arg(long="--from", help="address to ask from")]


@cappa.command(name="show", help="show what is in force, or explain a flow or target")
@dataclasses.dataclass
class Show:
    """Arguments of ``show``."""

    platform: console.Platform = ""
    flow: Flow = ""
    target: Target = ""
    vm: Vm = ""
    source: Source = ""
    as_json: console.Json = False

    def __call__(self) -> None:
        """Print one line per VM."""
        try:
            question = self._question()
            first = [packet.address(self.vm)] if self.vm else []
        except ValueError as error:
            _usage(str(error))
        if not self.platform and not (question and first):
            _usage("give --platform, or a question with --vm")
        if question is None:
            console.run(self._in_force)
        else:
            console.run(lambda reactor: self._explain(reactor, question, first))

    def _question(self) -> Query | None:
        if self.flow:
            return wire.ExplainFlowRequest(explain.parse_flow(self.flow).packed)
        return wire.ExplainTargetRequest(self.target) if self.target else None

    async def _in_force(self, reactor: typing.Any) -> None:
        rows = await self._store(reactor).read_prefix(store.IN_FORCE_PREFIX)
        found = [item for row in rows for item in _sequences(row)]
        console.print_table(found, self.as_json)

    async def _explain(
        self, reactor: typing.Any, question: Query, first: list[packet.Address]
    ) -> None:
        if not first:
            rows = await self._store(reactor).read_prefix(store.VMS_PREFIX)
            first = [item for row in rows for item in _peer_addresses(row)]
        asker = ExplainClient(reactor, self.source)
        try:
            answers = await _ask_around(asker, question, first)
        finally:
            await asker.close()
        console.print_table(answers, self.as_json)

    def _store(self, reactor: typing.Any) -> store.Store:
        return gateway.Gateway(reactor, self.platform, console.STORE_TIMEOUT_MS)


class ExplainClient(protocol.DatagramProtocol):
    """Asks entry VMs from a socket of its own, one question at a time."""

    def __init__(self, reactor: typing.Any, source: str) -> None:
        """Ask from an address; an empty text lets the system choose it."""
        self._reactor = reactor
        self._answers: dict[packet.Address, defer.Deferred[wire.ExplainResponse]] = {}
        self._port = reactor.listenUDP(0, self, source)

    async def query(self, vm: packet.Address, question: Query) -> wire.ExplainResponse:
        """Return a VM's answer.

        Raises:
            errors.VmSilentError: No answer came, after several tries.
        """
        host, _, port = str(vm).rpartition(":")
        for _ in range(MAX_ATTEMPTS):
            answer: defer.Deferred[wire.ExplainResponse] = defer.Deferred()
            self._answers[vm] = answer
            transport = typing.cast(typing.Any, self.transport)
            transport.write(wire.encode(question), (host, int(port)))
            try:
                return await answer.addTimeout(RESPONSE_TIMEOUT_S, self._reactor)
            except defer.TimeoutError:
                continue
        raise errors.VmSilentError(f"no answer from {vm}")

    async def close(self) -> None:
        """Close the socket."""
        await defer.maybeDeferred(self._port.stopListening)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Take an answer; anything else is left aside."""
        vm = packet.address(f"{addr[0]}:{addr[1]}")
        answer = self._answers.get(vm)
        try:
            item = wire.decode(datagram)
        except errors.MessageInvalidError:
            return
        if isinstance(item, wire.ExplainResponse) and answer is not None:
            del self._answers[vm]
            answer.callback(item)


async def _ask_around(
    asker: ExplainClient, question: Query, first: list[packet.Address]
) -> list[dict[str, str]]:
    """Ask one VM, then the home and the backup that it names."""
    answers: dict[packet.Address, dict[str, str]] = {}
    waiting = first[:MAX_QUERIED_VMS]
    silent: errors.VmSilentError | None = None
    while waiting and len(answers) < MAX_QUERIED_VMS:
        vm = waiting.pop(0)
        if vm in answers:
            continue
        try:
            answer = await asker.query(vm, question)
        except errors.VmSilentError as error:
            print(error.detail, file=sys.stderr)
            silent = error
            continue
        facts = {fact.key: fact.value for fact in answer.facts}
        answers[vm] = facts
        waiting = _named(facts)
    if not answers:
        raise silent or errors.VmSilentError("the platform lists no live VM")
    return list(answers.values())


def _named(facts: dict[str, str]) -> list[packet.Address]:
    if facts.get("home") == facts.get("vm"):
        return [packet.address(facts["backup_at"])] if "backup_at" in facts else []
    return [packet.address(facts["home_at"])] if "home_at" in facts else []


def _peer_addresses(row: store.Row) -> list[packet.Address]:
    try:
        plain = json.loads(row.value)
        if plain["state"] == _GONE:
            return []
        return [packet.address(f"{plain['ip']}:{plain['peer_port']}")]
    except (ValueError, KeyError, TypeError) as error:
        print(f"{row.key}: {error!r}", file=sys.stderr)
        return []


def _sequences(row: store.Row) -> list[console.Row]:
    zone = row.key.removeprefix(store.IN_FORCE_PREFIX)
    try:
        sequences = sorted(json.loads(row.value).items())
    except (ValueError, AttributeError) as error:
        print(f"{row.key}: {error}", file=sys.stderr)
        return []
    return [{"zone": zone, "vm": vm, "sequence": number} for vm, number in sequences]


def _usage(problem: str) -> typing.NoReturn:
    print(f"show: {problem}", file=sys.stderr)
    raise cappa.Exit(code=console.USAGE_EXIT_CODE)
