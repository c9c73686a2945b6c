"""Tests of the records of routes that were removed from the configuration."""

from eelgrasswick.cookie import dropped_routes, model

_SHARES = (model.Share("desk", 1.0),)


def _config(version: int, *ports: int) -> model.Config:
    routes = {
        (b"\xc6\x12\x00\x01", port): model.Route(f"r{port}", _SHARES, 0, 0)
        for port in ports
    }
    return model.Config(version, routes, {})


def test_route_that_is_added_again_is_not_dropped() -> None:
    """Guards against resets of the flows of a route that is in force again."""
    dropped = dropped_routes.DroppedRoutes()
    dropped.record(_config(1, 1, 2), _config(2, 1))
    assert (b"\xc6\x12\x00\x01", 2) in dropped
    assert (b"\xc6\x12\x00\x01", 1) not in dropped
    dropped.record(_config(2, 1), _config(3, 1, 2))
    assert (b"\xc6\x12\x00\x01", 2) not in dropped


def test_oldest_dropped_routes_are_evicted_at_the_bound() -> None:
    """Guards against records that grow with each change of the configuration."""
    dropped = dropped_routes.DroppedRoutes()
    count = dropped_routes.MAX_DROPPED_ROUTES + 5
    for port in range(1, count + 1):
        dropped.record(_config(port, port), _config(port + 1))
    kept = [p for p in range(1, count + 1) if (b"\xc6\x12\x00\x01", p) in dropped]
    assert kept == list(range(6, count + 1))
