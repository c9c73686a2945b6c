"""A VM's part of the fleet-wide limits."""

from eelgrasswick import config
from eelgrasswick.emulation import virtual_fleet
from eelgrasswick.fleet import member
from eelgrasswick.homes import epoch


def made(*sizes: int) -> epoch.Epoch:
    text = virtual_fleet.rules_text(1, 3, ("z1",))
    members = [
        member.Member(
            f"vm{n}", "z1", f"10.0.0.{n + 1}", 1, 2, size, 1, member.MemberState.ALIVE
        )
        for n, size in enumerate(sizes)
    ]
    return epoch.Epoch(config.Config(virtual_fleet.document(1, text)), members)


def test_shares_follow_sizes() -> None:
    current = made(1, 3)
    assert current.share("vm0") == 0.25
    assert current.share("vm1") == 0.75


def test_vm_outside_the_epoch_has_no_share() -> None:
    assert made(1, 3).share("vm9") == 0.0


def test_vm_alone_has_the_whole() -> None:
    assert made().share("vm0") == 1.0
