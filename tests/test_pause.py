"""A VM that was paused and resumes with an outdated view."""

from tests import flow_steps


def test_resumed_vm_drops_queued_datagrams(bench: flow_steps.FlowBench) -> None:
    """A request that waited in the sockets of a paused VM must not run again.

    While the VM is paused for half a minute, callers retransmit the requests
    that were forwarded to it. Another VM takes over and, after a change of
    rules, places them on a new target. If the resumed VM sent the old copies
    out, each request would run twice.
    """
    port = bench.find_port("ratio", lambda place: place.home == "vm2")
    bench.world.pause("vm2", 30_000)
    bench.world.call("ratio", caller=0, port=port)
    bench.world.run(100)
    bench.submit_rules(bench.text + flow_steps.ADDED_TARGETS.replace("=4", "=9000"))
    bench.world.run(40_000)
    assert bench.world.count_ends() == {"whole": 1}
    assert bench.world.violations() == []


def test_resumed_vm_drops_its_records(bench: flow_steps.FlowBench) -> None:
    """A record from before a pause must not send packets to an old target.

    Half a minute is longer than the peers keep the records of closed flows. A
    caller may have reused its port on another target meanwhile, and the old
    record would send the new flow's packets to the old target.
    """
    port = bench.find_port("desk", lambda place: place.home == "vm2")
    bench.world.call("desk", parts=400, every_ms=250, caller=0, port=port)
    bench.world.run(1000)
    bench.world.pause("vm2", 30_000)
    bench.world.run(29_999)
    vm = bench.world.vms["vm2"].engine
    before = len(vm.tables.flows)
    bench.world.run(60)
    assert before > 0
    assert len(vm.tables.flows) == 0
