"""The accepted configuration, as a stored document and in compiled form."""

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
    """The value that the platform's store has under the rules key.

    Attributes:
        sequence: Increases by one with each accepted change and never decreases.
        change_id: Identifier of one submission, made by the operator's command.
        author: Name of the submitter.
        at_ms: Wall-clock time of the submission, milliseconds since 1970.
        text: The rules file as submitted.
        retired: Service and target lines that were removed from the rules while
            flows may still be open, in the form of the rules file.
        reused: Service addresses, as ``protocol a.b.c.d:port``, that belonged
            to another service earlier.
    """

    sequence: int
    change_id: str
    author: str
    at_ms: int
    text: str
    retired: str
    reused: tuple[str, ...]


def encode(document: Document) -> bytes:
    """Return the stored form of a document, which is Base64 of compressed JSON."""
    return base64.b64encode(zlib.compress(msgspec.json.encode(document), 6))


def decode(value: bytes) -> Document:
    """Decode a stored document.

    Args:
        value: The result of ``encode``, or any other bytes.

    Returns:
        The document.

    Raises:
        errors.RulesInvalidError: The bytes are not a valid document.
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
        raise errors.RulesInvalidError(
            f"value is not a configuration document: {error}"
        ) from error
    if document.sequence < 1:
        raise errors.RulesInvalidError("document has a sequence below 1")
    return document


class Config:
    """One document, compiled into look-up tables for packets.

    Attributes:
        document: The document that it was compiled from.
        digest: Hexadecimal digest of the encoded document.
        services: All services by name, including retired ones.
        targets: All targets by name, including retired ones.
    """

    def __init__(self, document: Document) -> None:
        """Compile a document.

        Args:
            document: As read from the store or a peer.

        Raises:
            errors.RulesInvalidError: The rules of the document have faults.
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
        """The zones that have targets."""
        return frozenset(item.zone for item in self.targets.values())

    def service_at(self, protocol: int, ip: bytes, port: int) -> service.Service | None:
        """Return the service that has this address, if any."""
        return self._by_key.get(service.ServiceKey(protocol, ip, port))

    def serves_ip(self, ip: bytes) -> bool:
        """Return whether any service has this IP address, on any port."""
        return ip in self._service_ips

    def target_at(self, endpoint: packet.Address) -> target.Target | None:
        """Return the target that sends datagrams from this outer address, if any."""
        return self._by_endpoint.get(endpoint)


def _digest(document: Document) -> str:
    return hashlib.blake2b(msgspec.json.encode(document), digest_size=16).hexdigest()


def _services(document: Document) -> dict[str, service.Service]:
    # The service of a retired target may still be in the rules. If the retired
    # lines were parsed on their own, they would refer to services without a line,
    # and every VM would refuse a document that the store has accepted. Both parts
    # are therefore parsed together.
    rules = rule.read(f"{document.text}\n{document.retired}")
    last_line = document.text.count("\n") + 1
    reused = frozenset(document.reused)
    drains = {item.target for item in rules.drains}
    limits = {item.service: item.limit for item in rules.limits}
    targets: dict[str, list[target.Target]] = {}
    for line in rules.targets:
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
        for line in rules.services
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
    return {item.name: item for parent in services.values() for item in parent.targets}
