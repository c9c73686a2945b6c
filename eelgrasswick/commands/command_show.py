"""The command ``show``: configurations in force, and explanations by VMs."""

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

ExplainRequest = wire.ExplainFlowRequest | wire.ExplainTargetRequest
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
        """Print one line per VM, with its sequence in force or its explanation."""
        try:
            request = self._request()
            addresses = [packet.address(self.vm)] if self.vm else []
        except ValueError as error:
            _exit_with_usage_error(str(error))
        if not self.platform and not (request and addresses):
            _exit_with_usage_error("give --platform, or --vm with --flow or --target")
        if request is None:
            console.run(self._in_force)
        else:
            console.run(lambda reactor: self._explain(reactor, request, addresses))

    def _request(self) -> ExplainRequest | None:
        if self.flow:
            return wire.ExplainFlowRequest(explain.parse_flow(self.flow).packed)
        return wire.ExplainTargetRequest(self.target) if self.target else None

    async def _in_force(self, reactor: typing.Any) -> None:
        rows = await self._store(reactor).read_prefix(store.IN_FORCE_PREFIX)
        table = [item for row in rows for item in _sequences(row)]
        console.print_table(table, self.as_json)

    async def _explain(
        self,
        reactor: typing.Any,
        request: ExplainRequest,
        addresses: list[packet.Address],
    ) -> None:
        if not addresses:
            rows = await self._store(reactor).read_prefix(store.VMS_PREFIX)
            addresses = [item for row in rows for item in _peer_addresses(row)]
        client = ExplainClient(reactor, self.source)
        try:
            responses = await _query_homes(client, request, addresses)
        finally:
            await client.close()
        console.print_table(responses, self.as_json)

    def _store(self, reactor: typing.Any) -> store.Store:
        return gateway.Gateway(reactor, self.platform, console.STORE_TIMEOUT_MS)


class ExplainClient(protocol.DatagramProtocol):
    """Sends explain requests to entry VMs over UDP, one to each VM at a time."""

    def __init__(self, reactor: typing.Any, source: str) -> None:
        """Bind a UDP socket.

        Args:
            reactor: Twisted's reactor.
            source: Local IPv4 address; empty for any.
        """
        self._reactor = reactor
        self._pending: dict[packet.Address, defer.Deferred[wire.ExplainResponse]] = {}
        self._port = reactor.listenUDP(0, self, source)

    async def query(
        self, vm: packet.Address, request: ExplainRequest
    ) -> wire.ExplainResponse:
        """Send a request to a VM and return its response.

        Args:
            vm: Peer address of the VM.
            request: The explain request.

        Raises:
            errors.VmSilentError: None of ``MAX_ATTEMPTS`` requests got a response.
        """
        host, _, port = str(vm).rpartition(":")
        for _ in range(MAX_ATTEMPTS):
            response: defer.Deferred[wire.ExplainResponse] = defer.Deferred()
            self._pending[vm] = response
            transport = typing.cast(typing.Any, self.transport)
            transport.write(wire.encode(request), (host, int(port)))
            try:
                return await response.addTimeout(RESPONSE_TIMEOUT_S, self._reactor)
            except defer.TimeoutError:
                continue
        raise errors.VmSilentError(f"no response from {vm}")

    async def close(self) -> None:
        """Close the socket."""
        await defer.maybeDeferred(self._port.stopListening)

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:  # noqa: N802
        """Pass a response on; ignore all other datagrams."""
        vm = packet.address(f"{addr[0]}:{addr[1]}")
        response = self._pending.get(vm)
        try:
            item = wire.decode(datagram)
        except errors.MessageInvalidError:
            return
        if isinstance(item, wire.ExplainResponse) and response is not None:
            del self._pending[vm]
            response.callback(item)


async def _query_homes(
    client: ExplainClient, request: ExplainRequest, addresses: list[packet.Address]
) -> list[dict[str, str]]:
    """Query one VM, then the home and the backup that the responses name.

    Args:
        client: Client that sends the requests.
        request: The explain request.
        addresses: Peer addresses of VMs; the first one that responds is used.

    Returns:
        The facts of each response, by key.

    Raises:
        errors.VmSilentError: No VM responded.
    """
    responses: dict[packet.Address, dict[str, str]] = {}
    queue = addresses[:MAX_QUERIED_VMS]
    last_error: errors.VmSilentError | None = None
    while queue and len(responses) < MAX_QUERIED_VMS:
        vm = queue.pop(0)
        if vm in responses:
            continue
        try:
            response = await client.query(vm, request)
        except errors.VmSilentError as error:
            print(error.detail, file=sys.stderr)
            last_error = error
            continue
        facts = {fact.key: fact.value for fact in response.facts}
        responses[vm] = facts
        queue = _next_addresses(facts)
    if not responses:
        raise last_error or errors.VmSilentError("the platform lists no running VM")
    return list(responses.values())


def _next_addresses(facts: dict[str, str]) -> list[packet.Address]:
    if facts.get("home") == facts.get("vm"):
        return [packet.address(facts["backup_at"])] if "backup_at" in facts else []
    return [packet.address(facts["home_at"])] if "home_at" in facts else []


def _peer_addresses(row: store.Row) -> list[packet.Address]:
    try:
        fields = json.loads(row.value)
        if fields["state"] == _GONE:
            return []
        return [packet.address(f"{fields['ip']}:{fields['peer_port']}")]
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


def _exit_with_usage_error(detail: str) -> typing.NoReturn:
    print(f"show: {detail}", file=sys.stderr)
    raise cappa.Exit(code=console.USAGE_EXIT_CODE)
