"""Mutual TLS on the links between VMs, through Twisted and pyOpenSSL."""

import pathlib
import typing

from cryptography import x509
from OpenSSL import crypto
from twisted.internet import ssl

from eelgrasswick import errors
from eelgrasswick.daemons import setting


class Identity(typing.NamedTuple):
    """What a VM shows to others, and by whom theirs must be signed.

    Attributes:
        options: Context for either end of a link; it asks the other end for a
            certificate and accepts those of the authority only.
    """

    options: typing.Any


def load(settings: setting.TlsSettings) -> Identity | None:
    """Read the files that section ``tls`` names.

    Args:
        settings: Paths of three PEM files, or three empty texts.

    Returns:
        The identity; None when no file is named and links are plain TCP.

    Raises:
        errors.SettingsInvalidError: A file is missing, unreadable or no PEM.
    """
    if not any(settings):
        return None
    if not all(settings):
        raise errors.SettingsInvalidError(
            "[tls]: give certificate, key and authority, or none of them"
        )
    try:
        own = crypto.load_certificate(
            crypto.FILETYPE_PEM, pathlib.Path(settings.certificate).read_bytes()
        )
        key = crypto.load_privatekey(
            crypto.FILETYPE_PEM, pathlib.Path(settings.key).read_bytes()
        )
        authority = ssl.Certificate.loadPEM(
            pathlib.Path(settings.authority).read_bytes()
        )
    except (OSError, crypto.Error, ValueError, TypeError) as error:
        raise errors.SettingsInvalidError(f"[tls]: {error}") from error
    options = ssl.CertificateOptions(
        privateKey=key,
        certificate=own,
        trustRoot=ssl.trustRootFromCertificates([authority]),
    )
    return Identity(options)


def peer_dns_names(transport: typing.Any) -> frozenset[str]:
    """Return the DNS names in the certificate of a connection's other end."""
    certificate = transport.getPeerCertificate()
    if certificate is None:
        return frozenset()
    try:
        found = certificate.to_cryptography().extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
    except (x509.ExtensionNotFound, ValueError):
        return frozenset()
    return frozenset(found.value.get_values_for_type(x509.DNSName))
