"""Tests of the memory of refused callers."""

from eelgrasswick.decisions import refused_callers


def test_table_of_refused_callers_is_bounded() -> None:
    """Guards against memory that grows with the number of refused callers."""
    table = refused_callers.RefusedCallers()
    for number in range(3 * refused_callers.MAX_CALLERS):
        table.add(number // 100, number.to_bytes(4, "big"))
    known = sum(
        table.has(31, number.to_bytes(4, "big"))
        for number in range(3 * refused_callers.MAX_CALLERS)
    )
    assert known == refused_callers.MAX_CALLERS
