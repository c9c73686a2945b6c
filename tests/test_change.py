"""From a rules text to a document that every VM can put in force."""

import pytest

from eelgrasswick import config, store
from tests import world


def without(text: str, *names: str) -> str:
    """Return rules without the lines of some services, targets or drains."""
    lines = [line for line in text.splitlines() if line.split()[1] not in names]
    return "\n".join(lines) + "\n"


def accepted(made: world.World) -> config.Document:
    """Return the document that the store holds."""
    return config.decode(made.platform.rows(store.RULES_KEY)[0].value)


@pytest.fixture
def empty_world() -> world.World:
    """A platform without VMs."""
    return world.World(seed=3)


def test_removed_target_is_kept_as_retired(
    empty_world: world.World, rules_text: str
) -> None:
    # An operator removes a target's line while flows are open to it. Were the
    # document refused by the VMs, the change would be accepted and never in
    # force, and all later changes with it.
    empty_world.apply(rules_text)
    empty_world.apply(without(rules_text, "d1"))
    compiled = config.Config(accepted(empty_world))
    assert compiled.targets["d1"].retired
    assert not compiled.targets["d1"].accepts
    assert compiled.targets["d2"].accepts


def test_removed_service_keeps_its_targets(
    empty_world: world.World, rules_text: str
) -> None:
    empty_world.apply(rules_text)
    empty_world.apply(without(rules_text, "vault", "v1", "v2", "v3"))
    compiled = config.Config(accepted(empty_world))
    assert compiled.services["vault"].retired
    assert [item.retired for item in compiled.services["vault"].targets] == [True] * 3


def test_line_that_comes_back_is_no_longer_retired(
    empty_world: world.World, rules_text: str
) -> None:
    empty_world.apply(rules_text)
    empty_world.apply(without(rules_text, "d1"))
    empty_world.apply(rules_text)
    assert accepted(empty_world).retired == ""
    assert config.Config(accepted(empty_world)).targets["d1"].accepts
