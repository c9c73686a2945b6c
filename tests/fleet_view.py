"""The views that the VMs of a fleet in virtual time have of each other."""

from tests import world


def serving(made: world.World, vm: world.Vm) -> frozenset[str]:
    """Return the names of the VMs that one VM lists as serving."""
    return frozenset(item.name for item in vm.engine.membership.members if item.serves)


def running_vms(made: world.World) -> list[world.Vm]:
    """Return the VMs that are alive and not paused."""
    return [vm for vm in made.vms.values() if vm.alive and not vm.paused]


def views_agree(made: world.World) -> bool:
    """Return whether each running VM lists exactly the running VMs as serving."""
    present = running_vms(made)
    names = frozenset(vm.me.name for vm in present)
    return all(serving(made, vm) == names for vm in present)


def sequences_in_force(made: world.World) -> set[int]:
    """Return the sequences of the configurations in force at running VMs."""
    return {vm.engine.config_sync.sequence for vm in running_vms(made)}


def run_until_views_agree(made: world.World, limit_ms: int) -> int:
    """Run until all views agree; return the virtual time taken in ms."""
    started_ms = made.now_ms
    made.run_until(lambda: views_agree(made), limit_ms)
    return made.now_ms - started_ms


def sequences_never_decrease(made: world.World) -> bool:
    """Return whether every VM has put in force increasing sequences only."""
    return all(
        vm.sequences_in_force == sorted(set(vm.sequences_in_force))
        for vm in made.vms.values()
    )
