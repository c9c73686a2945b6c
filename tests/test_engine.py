"""A fleet of engines with callers and targets, in virtual time."""

from tests import world


def test_requests_are_served_whole(small_world: world.World) -> None:
    """Each request must be answered completely and run exactly once."""
    for _ in range(40):
        small_world.call("desk")
        small_world.call("vault")
        small_world.run(20)
    small_world.run(3000)
    assert small_world.count_ends() == {"whole": 80}
    assert set(small_world.executed().values()) == {1}


def test_killed_vm_breaks_no_flow(small_world: world.World) -> None:
    """The failure of a flow's home must neither stall nor reset the flow."""
    for _ in range(60):
        small_world.call("desk", parts=60, every_ms=100)
    small_world.run(1000)
    small_world.kill("vm3")
    small_world.run(15_000)
    assert small_world.count_ends() == {"whole": 60}
