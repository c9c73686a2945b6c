"""Regression seeds of the soak, and their list in the documentation."""

import pathlib
import re

from eelgrasswick.soak import faults, regression_seeds

# The first four faults that seed 12 drew when it failed.
FAULTS_OF_SEED_12 = [
    (9.88, "store_reset"),
    (11.59, "route_add"),
    (13.62, "link_reset"),
    (19.95, "link_one_way"),
]
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "SOAK.md"


def test_page_lists_exactly_the_regression_seeds() -> None:
    findings = PAGE.read_text().partition("## Findings")[2].partition("## Runs")[0]
    rows = [row.split("|")[1] for row in findings.splitlines() if row.startswith("| ")]
    listed = {int(number) for row in rows for number in re.findall(r"\d+", row)}
    assert listed == {item.seed for item in regression_seeds.SEEDS}
    assert all(item.cause for item in regression_seeds.SEEDS)


def test_regression_seed_draws_the_same_faults_as_when_it_failed() -> None:
    """A new kind of fault must not turn a regression seed into a different run."""
    drawn = faults.draw(12, 24.0, 4, faults.ORIGINAL_KINDS)
    assert [(item.at_s, item.kind) for item in drawn] == FAULTS_OF_SEED_12
