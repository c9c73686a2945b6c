"""A VM's fraction of the fleet, by which fleet-wide limits are divided."""

from eelgrasswick import config
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.fleet import member
from eelgrasswick.homes import epoch


def epoch_of(*sizes: int) -> epoch.Epoch:
    """Return an epoch of serving VMs with these sizes."""
    text = virtual_fleet.rules_text(1, 3, ("z1",))
    members = [
        member.Member(
            f"vm{n}", "z1", f"10.0.0.{n + 1}", 1, 2, size, 1, member.MemberState.ALIVE
        )
        for n, size in enumerate(sizes)
    ]
    return epoch.Epoch(config.Config(virtual_fleet.document(1, text)), members)


def test_fractions_are_proportional_to_sizes() -> None:
    """A VM must not get a part of a limit that its size does not justify."""
    current = epoch_of(1, 3)
    assert current.share("vm0") == 0.25
    assert current.share("vm1") == 0.75


def test_vm_outside_the_epoch_has_fraction_0() -> None:
    """A VM that does not serve must not admit flows by the fleet's limits."""
    assert epoch_of(1, 3).share("vm9") == 0.0


def test_vm_without_serving_peers_has_fraction_1() -> None:
    """A VM without any record of a serving VM must not refuse all flows."""
    assert epoch_of().share("vm0") == 1.0
