"""Settings of an entry VM that concern reservations."""

import os
import random

import pytest
from twisted.internet import task

from eelgrasswick import errors
from eelgrasswick.cookie import carrying, entry, settings
from eelgrasswick.platform import entries, segments
from tests import entry_parts

TEXT = """[vm]
name = vm-1
zone = z1
data = 127.0.0.1:1
ready = 127.0.0.1:2
peer = 127.0.0.1:3
metrics = 127.0.0.1:4
[store]
address = 127.0.0.1:5
"""


@pytest.mark.parametrize(
    ("section", "reserve"),
    [
        ("", True),
        ("[policy]\nreserve = auto\n", True),
        ("[policy]\nreserve = no\n", False),
    ],
)
def test_reservations_are_used_unless_they_are_switched_off(
    section: str, reserve: bool
) -> None:
    """Guards against a default that leaves reservations unused."""
    assert settings.read(TEXT + section).policy.reserve is reserve


@pytest.mark.parametrize("value", ["yes", "off", "", "Auto"])
def test_other_values_of_reserve_are_refused_with_the_key(value: str) -> None:
    """Guards against a typing error that silently switches reservations."""
    with pytest.raises(errors.SettingsInvalidError) as caught:
        settings.read(TEXT + f"[policy]\nreserve = {value}\n")
    assert "[policy] reserve" in caught.value.detail
    assert "auto or no" in caught.value.detail


def test_a_reload_switches_reservations() -> None:
    """Guards against a setting that needs a restart."""
    loaded = settings.read(TEXT)
    descriptor = os.open(os.devnull, os.O_WRONLY)
    carrier = carrying.build_carrier(
        loaded, segments.Codec(), entries.Reader(), descriptor
    )
    parts = entry.Parts(carrier, entry_parts.MemoryStore(), "/ready")
    vm = entry.EntryVm(task.Clock(), loaded, parts, random.Random(1))
    assert vm._reservations.enabled
    vm.reload(settings.read(TEXT + "[policy]\nreserve = no\n"))
    assert not vm._reservations.enabled
    assert carrier.steering.holder is vm._reservations
    vm.reload(loaded)
    assert vm._reservations.enabled
    os.close(descriptor)


@pytest.mark.parametrize("name", ["", " ", "z" * 257], ids=["empty", "blank", "long"])
def test_zone_that_other_vms_refuse_is_refused_with_the_key(name: str) -> None:
    """Guards against a VM whose messages no other VM accepts."""
    with pytest.raises(errors.SettingsInvalidError) as caught:
        settings.read(TEXT.replace("zone = z1", f"zone = {name}"))
    assert "[vm] zone" in caught.value.detail
