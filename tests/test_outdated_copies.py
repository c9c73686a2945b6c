"""Copies of exceptions that outlive their flows."""

from tests import flow_steps


def test_outdated_copy_sends_no_new_flow_to_a_drained_target(
    bench: flow_steps.FlowBench,
) -> None:
    """A copy that outlives its flow must not place a new flow on a drained target.

    The message that removes the copy was lost, so the backup keeps the copy for
    an hour. The target drains, the backup becomes the home, and the caller
    reuses its port. A new flow that followed the copy would be cut when the
    target stops.
    """
    port = bench.find_port("desk", lambda place: place.home == "vm2")
    bench.submit_rules(bench.text + flow_steps.DRAINS)
    bench.world.run(6000)
    tables = bench.world.vms["vm2"].engine.tables
    assert tables.epochs.current is not None
    config = tables.epochs.current.config
    key = flow_steps.flow_key(config.services["desk"], port)
    tables.replicator.copies.record(bench.world.now_ms, key, config.targets["d6"])
    bench.world.call("desk", caller=0, port=port)
    bench.world.run(5000)
    assert bench.world.count_ends() == {"whole": 1}
    assert bench.world.histories()[0].target not in ("d6", "d7")
