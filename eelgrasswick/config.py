"""The accepted configuration: the document in the store and its compiled form."""

import base64
import binascii
import hashlib
import typing
import zlib

import msgspec

from eelgrasswick import (
    errors,
    packet,
    rule,
    service,
    target,
)

MAX_VALUE_BYTES: typing.Final = 1_000_000
_MAX_TEXT_BYTES: typing.Final = 16_000_000


class Document(typing.NamedTuple):
    """What the platform's store holds under the rules key.

    Attributes:
        sequence: Grows by one with each accepted change; never goes back.
        change_id: Made by the operator's command; identifies one submission.
        author: Who submitted it.
        at_ms: Wall-clock time of the submission, milliseconds since 1970.
        text: The rules file as submitted.
        retired: Service and target lines that left the rules while flows may
            still be open, in the form of the rules file.
        reused: Service addresses, as ``protocol a.b.c.d:port``, that belonged
            to another service before.
    """

    sequence: int
    change_id: str
    author: str
    at_ms: int
    text: str
    retired: str
    reused: tuple[str, ...]


def encode(document: Document) -> bytes:
    """Return the bytes kept in the store; they are compressed JSON."""
    return base64.b64encode(zlib.compress(msgspec.json.encode(document), 6))


def decode(value: bytes) -> Document:
    """Read the bytes kept in the store.

    Args:
        value: What ``encode`` returned, or anything else.

    Returns:
        The document.

    Raises:
        errors.RulesInvalidError: The bytes are not a document.
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(
            base64.b64decode(value, validate=True), _MAX_TEXT_BYTES
        )
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise errors.RulesInvalidError("document is truncated or too large")
        document = msgspec.json.decode(plain, type=Document)
    except (binascii.Error, zlib.error, msgspec.MsgspecError, ValueError) as error:
        raise errors.RulesInvalidError(f"value is no document: {error}") from error
    if document.sequence < 1:
        raise errors.RulesInvalidError("sequence is below 1")
    return document


class Config:
    """One document, compiled for look-ups by packets.

    Attributes:
        document: What it was compiled from.
        digest: Hex digest over the encoded document.
        services: All services by name, the retired ones included.
        targets: All targets by name, the retired ones included.
    """

    def __init__(self, document: Document) -> None:
        """Compile a document.

        Args:
            document: As read from the store or a peer.

        Raises:
            errors.RulesInvalidError: Its text has faults.
        """
        self.document = document
        self.digest = _digest(document)
        self.services = _services(document)
        self.targets = _by_name(self.services)
        self._by_key = {item.key: item for item in self.services.values()}
        self._service_ips = {item.address.ip for item in self.services.values()}
        self._by_endpoint = {item.endpoint: item for item in self.targets.values()}

    @property
    def sequence(self) -> int:
        """The document's sequence number."""
        return self.document.sequence

    @property
    def zones(self) -> frozenset[str]:
        """The zones in which targets run."""
        return frozenset(item.zone for item in self.targets.values())

    def service_at(self, protocol: int, ip: bytes, port: int) -> service.Service | None:
        """Return the service that has this address, if any."""
        return self._by_key.get(service.ServiceKey(protocol, ip, port))

    def serves_ip(self, ip: bytes) -> bool:
        """Tell whether any service has this IP address, on whatever port."""
        return ip in self._service_ips

    def target_at(self, endpoint: packet.Address) -> target.Target | None:
        """Return the target whose datagrams come from this outer address."""
        return self._by_endpoint.get(endpoint)


def _digest(document: Document) -> str:
    return hashlib.blake2b(msgspec.json.encode(document), digest_size=16).hexdigest()


def _services(document: Document) -> dict[str, service.Service]:
    # A retired target's service may still be in the rules. Read on its own, the
    # retired part would name services without a line, and every VM would refuse
    # a document that the store has accepted; so both parts are read together.
    whole = rule.read(f"{document.text}\n{document.retired}")
    last_line = document.text.count("\n") + 1
    reused = frozenset(document.reused)
    drains = {item.target for item in whole.drains}
    limits = {item.service: item.limit for item in whole.limits}
    targets: dict[str, list[target.Target]] = {}
    for line in whole.targets:
        retired = line.line > last_line
        built = _target(line, retired or line.name in drains, retired)
        targets.setdefault(line.service, []).append(built)
    return {
        line.name: service.Service(
            line.name,
            line.address,
            line.protocol,
            line.shutdown,
            line.wait_ms,
            line.idle_s,
            limits.get(line.name, service.NO_LIMIT),
            tuple(sorted(targets.get(line.name, ()))),
            line.line > last_line,
            address_label(line) in reused,
        )
        for line in whole.services
    }


def address_label(line: rule.ServiceRule) -> str:
    """Return the form in which a document lists reused addresses."""
    return f"{line.protocol.name.lower()} {line.address}"


def _target(line: rule.TargetRule, draining: bool, retired: bool) -> target.Target:
    return target.Target(
        line.name,
        line.service,
        line.endpoint,
        line.zone,
        line.slots,
        line.connections,
        line.weight,
        draining,
        retired,
    )


def _by_name(services: dict[str, service.Service]) -> dict[str, target.Target]:
    return {item.name: item for owner in services.values() for item in owner.targets}
