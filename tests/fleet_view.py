"""What the VMs of a fleet in virtual time believe of each other."""

from tests import world


def serving(made: world.World, vm: world.Vm) -> frozenset[str]:
    """Return the VMs that one VM takes for serving."""
    return frozenset(item.name for item in vm.engine.membership.members if item.serves)


def running_vms(made: world.World) -> list[world.Vm]:
    """Return the VMs that are neither dead nor paused."""
    return [vm for vm in made.vms.values() if vm.alive and not vm.paused]


def views_agree(made: world.World) -> bool:
    """Tell whether each running VM serves and knows exactly those that do."""
    present = running_vms(made)
    names = frozenset(vm.me.name for vm in present)
    return all(serving(made, vm) == names for vm in present)


def sequences_in_force(made: world.World) -> set[int]:
    """Return the sequences in force at running VMs."""
    return {vm.engine.keeper.sequence for vm in running_vms(made)}


def run_until_views_agree(made: world.World, limit_ms: int) -> int:
    """Run until all views agree; return how long it took."""
    begun_ms = made.now_ms
    made.run_until(lambda: views_agree(made), limit_ms)
    return made.now_ms - begun_ms


def sequences_never_decrease(made: world.World) -> bool:
    """Tell whether no VM's sequence ever went back."""
    return all(
        vm.sequences_in_force == sorted(set(vm.sequences_in_force))
        for vm in made.vms.values()
    )
