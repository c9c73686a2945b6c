"""Copies of exceptions that outlive their flows."""

from tests import flow_steps


def test_old_copy_sends_no_new_flow_to_a_leaving_target(
    bench: flow_steps.Bench,
) -> None:
    # The message that a flow has ended was lost, so its backup keeps the copy
    # for an hour. Its target drains, the backup becomes the home, and the
    # caller uses its port again. Sent by the copy, the new flow would land on
    # the leaving target and be cut when that one stops.
    port = bench.port("desk", lambda place: place.home == "vm2")
    bench.edit(bench.text + flow_steps.DRAINS)
    bench.world.run(6000)
    tables = bench.world.vms["vm2"].engine.tables
    assert tables.epochs.current is not None
    config = tables.epochs.current.config
    key = flow_steps.flow_key(config.services["desk"], port)
    tables.replicator.copies.learn(bench.world.now_ms, key, config.targets["d6"])
    bench.world.call("desk", caller=0, port=port)
    bench.world.run(5000)
    assert bench.world.ends() == {"whole": 1}
    assert bench.world.histories()[0].target not in ("d6", "d7")
