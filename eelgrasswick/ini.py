"""INI settings whose entries are all checked, so that one start reports every fault."""

import configparser
import ipaddress
import pathlib
import re
import typing

from eelgrasswick import errors

_NAME: typing.Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


class Entry(typing.NamedTuple):
    """One key that a settings file may hold.

    Attributes:
        section: INI section.
        key: INI key.
        meaning: What the entry is, with its unit.
        read: Converts the text to a value; raises ValueError.
        default: Text used when the key is absent; None when it is required.
    """

    section: str
    key: str
    meaning: str
    read: typing.Callable[[str], typing.Any]
    default: str | None


def name(text: str) -> str:
    """Return a name of a VM, zone or similar after a check.

    Raises:
        ValueError: The name has other characters or is too long.
    """
    if not _NAME.fullmatch(text):
        raise ValueError("use a-z, 0-9, dot, dash and underscore, at most 63")
    return text


def ip(text: str) -> str:
    """Return an IPv4 address after a check.

    Raises:
        ValueError: The text is not an IPv4 address.
    """
    return str(ipaddress.IPv4Address(text))


def integer(low: int, high: int) -> typing.Callable[[str], int]:
    """Return a converter to whole numbers between two inclusive bounds."""

    def read_integer(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"must be from {low} to {high}")
        return value

    return read_integer


def items(text: str) -> list[str]:
    """Return the parts of a comma-separated list."""
    return [item.strip() for item in text.split(",") if item.strip()]


def text(path: pathlib.Path) -> str:
    """Return the text of a settings file.

    Raises:
        errors.SettingsInvalidError: The file can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsInvalidError(f"{path}: {error}") from error


def read(
    content: str, entries: typing.Sequence[Entry]
) -> dict[str, dict[str, typing.Any]]:
    """Return the values of a settings text after a check.

    Args:
        content: The whole text of the file.
        entries: The entries that the file may hold.

    Returns:
        The values by section and key.

    Raises:
        errors.SettingsInvalidError: The detail lists every fault, one per line.
    """
    parser = configparser.ConfigParser(
        # Without this setting, keys under [DEFAULT] would apply to all sections,
        # including sections that do not list them.
        interpolation=None,
        default_section="",
    )
    try:
        parser.read_string(content)
    except configparser.Error as error:
        raise errors.SettingsInvalidError(str(error)) from error
    faults = _unknown_entries(parser, entries)
    values: dict[str, dict[str, typing.Any]] = {}
    for entry in entries:
        section = values.setdefault(entry.section, {})
        section[entry.key] = _value(parser, entry, faults)
    if faults:
        raise errors.SettingsInvalidError("\n".join(faults))
    return values


def _unknown_entries(
    parser: configparser.ConfigParser, entries: typing.Sequence[Entry]
) -> list[str]:
    known = {(entry.section, entry.key) for entry in entries}
    sections = {entry.section for entry in entries}
    faults = []
    for section in parser.sections():
        if section not in sections:
            faults.append(f"[{section}]: unknown section")
            continue
        for key in parser[section]:
            if (section, key) not in known:
                faults.append(f"[{section}] {key}: unknown key")
    return faults


def _value(
    parser: configparser.ConfigParser, entry: Entry, faults: list[str]
) -> typing.Any:
    found = parser.get(entry.section, entry.key, fallback=entry.default)
    if found is None:
        faults.append(f"[{entry.section}] {entry.key}: missing; {entry.meaning}")
        return None
    try:
        return entry.read(found)
    except ValueError as error:
        faults.append(f"[{entry.section}] {entry.key}: {found!r}: {error}")
        return None
