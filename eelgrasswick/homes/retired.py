"""Lines and addresses that a document retains after they left the rules."""

import typing

from eelgrasswick import (
    config,
    rule,
)

RETIRED_LINES: typing.Final = 2000
REUSED_ADDRESSES: typing.Final = 2000


def lines(before: config.Document, rules: rule.Rules) -> str:
    """Return the lines that were removed from the rules but may have open flows.

    Args:
        before: The document that was in force until now.
        rules: The new rules.

    Returns:
        The newest ``RETIRED_LINES`` removed lines, without those whose address
        or endpoint the new rules use again.
    """
    former = before.retired.splitlines() + before.text.splitlines()
    services = {item.name for item in rules.services}
    addresses = {config.address_label(item) for item in rules.services}
    targets = {item.name for item in rules.targets}
    endpoints = {item.endpoint for item in rules.targets}
    removed: dict[tuple[str, str], str] = {}
    for line in former:
        parsed = rule.parse(line).rules
        for service in parsed.services:
            label = config.address_label(service)
            if service.name not in services and label not in addresses:
                removed[("service", service.name)] = line
        for target in parsed.targets:
            if target.name not in targets and target.endpoint not in endpoints:
                removed[("target", target.name)] = line
    return "\n".join(
        _without_orphans(list(removed.values())[-RETIRED_LINES:], services)
    )


def _without_orphans(lines: list[str], present: set[str]) -> list[str]:
    # A service can be missing while its targets are still listed, because its
    # line was cut off at RETIRED_LINES or its address is used again. No VM
    # could read a document with such targets, so they are left out.
    parsed = {line: rule.parse(line).rules for line in lines}
    retired = {item.name for rules in parsed.values() for item in rules.services}
    known = present | retired
    return [
        line
        for line, rules in parsed.items()
        if all(item.service in known for item in rules.targets)
    ]


def reused_addresses(before: config.Document, rules: rule.Rules) -> tuple[str, ...]:
    """Return the addresses of services that belonged to another service before.

    Args:
        before: The document that was in force until now.
        rules: The new rules.

    Returns:
        The labels of the newest ``REUSED_ADDRESSES`` such addresses.
    """
    former = rule.parse(before.text + "\n" + before.retired).rules.services
    owner = {config.address_label(item): item.name for item in former}
    labels = dict.fromkeys(before.reused)
    for item in rules.services:
        label = config.address_label(item)
        if owner.get(label, item.name) != item.name:
            labels[label] = None
    return tuple(labels)[-REUSED_ADDRESSES:]
