"""Mutual TLS on the links between VMs, through Twisted and pyOpenSSL."""

import pathlib
import typing

from cryptography import x509
from OpenSSL import crypto
from twisted.internet import ssl

from eelgrasswick import errors
from eelgrasswick.daemons import setting


class Identity(typing.NamedTuple):
    """A VM's certificate and key, and the authority that must sign its peers'.

    Attributes:
        options: TLS options for both ends of a link. They require a certificate of
            the other end and accept only those that the authority has signed.
    """

    options: typing.Any


def load(settings: setting.TlsSettings) -> Identity | None:
    """Load the PEM files that section ``tls`` specifies.

    Args:
        settings: Paths of the three PEM files, or three empty strings.

    Returns:
        The identity; None when no file is specified and links are plain TCP.

    Raises:
        errors.SettingsInvalidError: A path or a file is missing, or a file is not
            readable or not in PEM format.
    """
    if not any(settings):
        return None
    if not all(settings):
        raise errors.SettingsInvalidError(
            "[tls]: set certificate, key and authority, or none of them"
        )
    try:
        own_certificate = crypto.load_certificate(
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
        certificate=own_certificate,
        trustRoot=ssl.trustRootFromCertificates([authority]),
    )
    return Identity(options)


def peer_dns_names(transport: typing.Any) -> frozenset[str]:
    """Return the DNS names in the certificate of a connection's other end.

    Args:
        transport: TLS transport of the connection.

    Returns:
        The names; empty when there is no certificate or it has none.
    """
    certificate = transport.getPeerCertificate()
    if certificate is None:
        return frozenset()
    try:
        subject_names = (
            certificate.to_cryptography().extensions.get_extension_for_class(
                x509.SubjectAlternativeName
            )
        )
    except (x509.ExtensionNotFound, ValueError):
        return frozenset()
    return frozenset(subject_names.value.get_values_for_type(x509.DNSName))
