"""A VM that stood still and wakes with old views."""

from tests import flow_steps


def test_woken_vm_starts_no_old_datagram(bench: flow_steps.Bench) -> None:
    # A VM stands still for half a minute. Requests that had been forwarded to
    # it wait in its sockets. Their callers repeated them, another VM has taken
    # over and, after a change of rules, placed them on a new target. If the
    # woken VM sends the old copies out, each check-in is counted twice.
    port = bench.port("ratio", lambda place: place.home == "vm2")
    bench.world.pause("vm2", 30_000)
    bench.world.call("ratio", caller=0, port=port)
    bench.world.run(100)
    bench.edit(bench.text + flow_steps.MORE_TARGETS.replace("=4", "=9000"))
    bench.world.run(40_000)
    assert bench.world.ends() == {"whole": 1}
    assert bench.world.breaches() == []


def test_woken_vm_forgets_what_it_knew(bench: flow_steps.Bench) -> None:
    # Half a minute is longer than the others keep what has ended. A port may
    # have been used again on another target meanwhile, and a VM that acts on
    # its old record would send the new flow's packets to the old target.
    port = bench.port("desk", lambda place: place.home == "vm2")
    bench.world.call("desk", parts=400, every_ms=250, caller=0, port=port)
    bench.world.run(1000)
    bench.world.pause("vm2", 30_000)
    bench.world.run(29_999)
    vm = bench.world.vms["vm2"].engine
    before = len(vm.tables.flows)
    bench.world.run(60)
    assert before > 0
    assert len(vm.tables.flows) == 0
