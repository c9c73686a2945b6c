"""Seeds that failed once are kept, and the page names them."""

import pathlib
import re

from eelgrasswick.soak import faults, kept

# The first four faults that were drawn when seed 12 failed.
DRAWN_BY_12 = [
    (9.88, "store_reset"),
    (11.59, "route_add"),
    (13.62, "link_reset"),
    (19.95, "link_one_way"),
]
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "SOAK.md"


def test_page_names_each_seed_that_failed() -> None:
    findings = PAGE.read_text().partition("## Findings")[2].partition("## Runs")[0]
    rows = [row.split("|")[1] for row in findings.splitlines() if row.startswith("| ")]
    named = {int(number) for row in rows for number in re.findall(r"\d+", row)}
    assert named == {item.seed for item in kept.SEEDS}
    assert all(item.cause for item in kept.SEEDS)


def test_kept_seed_draws_what_it_drew_when_it_failed() -> None:
    """A new kind of fault must not turn a kept seed into another run."""
    drawn = faults.draw(12, 24.0, 4, faults.ORIGINAL_KINDS)
    assert [(item.at_s, item.kind) for item in drawn] == DRAWN_BY_12
