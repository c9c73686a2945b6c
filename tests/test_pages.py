"""Comparison of the documentation pages with the code."""

import pathlib
import re

import pytest

from eelgrasswick import (
    errors,
    message,
    rule,
)
from eelgrasswick.daemons import (
    metric,
    setting,
)

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = re.compile(
    r"(?P<test>\S+::\S+) command: (?P<command>[^;]+); seed: (?P<seed>[^;]+);"
    r" seen: (?P<seen>.+); issue (?P<issue>\d+)"
)
SIZE_TO_DESIGN_FOR = (
    "2,800 nodes",
    "19,000 servers",
    "8,100 addresses",
    "63 million open flows",
    "130,000 new ones",
    "2 regions with 5 availability zones",
    "13,000 changes",
    "within 3 s",
    "4.8% of a core",
    "128 MB",
    "17 KB",
)


@pytest.fixture
def operating() -> str:
    """Text of the operating page."""
    return (ROOT / "docs" / "OPERATING.md").read_text()


def rows(page: str, header: str) -> list[list[str]]:
    """Return the cells of the table whose first column has a given header."""
    lines = page.splitlines()
    start = next(n for n, line in enumerate(lines) if line.startswith(f"| {header} |"))
    cells = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cells.append([cell.strip() for cell in line.strip("|").split("|")])
    return cells


def test_operating_page_lists_settings_with_default_and_meaning(operating: str) -> None:
    """Guards against settings that the page omits or describes wrongly."""
    expected = []
    for entry in setting.ENTRIES:
        default = f"`{entry.default}`" if entry.default else "empty"
        if entry.default is None:
            default = "required"
        expected.append(
            [f"`{entry.section}`", f"`{entry.key}`", default, entry.meaning]
        )
    assert rows(operating, "Section") == expected


def test_operating_page_lists_every_error_kind_with_its_handling(
    operating: str,
) -> None:
    """Guards against error kinds that the page omits or describes wrongly."""
    table = {row[0]: row for row in rows(operating, "Kind")}
    assert set(table) == {f"`{kind.value}`" for kind in errors.ErrorKind}
    for kind, handling in errors.ERROR_HANDLING.items():
        row = table[f"`{kind.value}`"]
        not_run = "yes" if handling.not_run else "no"
        assert row[1:4] == [handling.reply.value, not_run, str(handling.exit_code)]
        assert row[4]
        assert row[5] == handling.remedy


def test_every_error_kind_has_a_handling() -> None:
    """Guards against an error kind without reply, exit code and remedy."""
    assert set(errors.ERROR_HANDLING) == set(errors.ErrorKind)


def test_operating_page_lists_every_metric_with_a_meaning(operating: str) -> None:
    """Guards against metrics that the page omits or does not explain."""
    names = [counter.value for counter in message.Counter] + ["flows_open", "hints"]
    table = rows(operating, "Metric")
    assert [row[0] for row in table] == [f"`{metric.PREFIX}{n}`" for n in names]
    assert all(row[1] for row in table)


def test_operating_page_names_every_logged_event(operating: str) -> None:
    """Guards against log events that an operator can't look up."""
    pattern = re.compile(
        r"(?:message\.log\(|message_type=|_log_guess\()\s*\"([a-z_]+)\""
    )
    logged = set()
    for path in (ROOT / "eelgrasswick").rglob("*.py"):
        logged.update(pattern.findall(path.read_text()))
    assert logged
    missing = [name for name in sorted(logged) if f"`{name}`" not in operating]
    assert missing == []


def test_example_settings_of_the_operating_page_are_accepted(operating: str) -> None:
    """Guards against an example that the settings parser refuses."""
    start = operating.index("    [vm]")
    end = operating.index("\n\n", start)
    text = "\n".join(line.strip() for line in operating[start:end].splitlines())
    assert setting.read(text).vm.name == "vm1"


def test_example_rules_of_the_readme_have_no_faults() -> None:
    """Guards against an example that the rules parser refuses."""
    page = (ROOT / "README.md").read_text()
    lines = [line[4:] for line in page.splitlines() if "  # asked by" in line]
    assert len(lines) == 5
    assert rule.parse("\n".join(lines)).faults == ()


def test_links_between_pages_lead_to_existing_files() -> None:
    """Guards against links to pages that were moved or removed."""
    for page in (*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")):
        for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
            assert (page.parent / link).exists(), f"{page.name}: {link}"


def test_developers_page_states_the_size_to_design_for() -> None:
    """Guards against the loss of a number that the design must meet."""
    page = (ROOT / "DEVELOPERS.md").read_text()
    missing = [text for text in SIZE_TO_DESIGN_FOR if text not in page]
    assert missing == []


def _known_red_faults(lines: list[str]) -> list[str]:
    """Return the entries that lack the test, command, seed, observation or issue."""
    faults = []
    tests = set()
    for line in lines:
        entry = KNOWN_RED.fullmatch(line)
        if entry is None or entry["test"] in tests:
            faults.append(line)
            continue
        tests.add(entry["test"])
        seeds = re.findall(r"\d+", entry["seed"])
        if not seeds and entry["seed"] != "none":
            faults.append(line)
        program = entry["command"].split()[0]
        if "/" in program and not (ROOT / program).exists():
            faults.append(line)
    return faults


def test_known_red_entries_say_how_to_repeat_what_was_seen() -> None:
    """Guards against a failing test without command, seed, observation or issue."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    assert _known_red_faults(lines) == []


@pytest.mark.parametrize(
    "line",
    [
        "",
        "a::b",
        "a::b fails at times; issue 3",
        "a::b command: make soak; seed: 3; issue 3",
        "a::b command: make soak; seed: 3; seen: ; issue 3",
        "a::b command: make soak; seen: a reset, 1 of 5; issue 3",
        "a::b command: make soak; seed: some; seen: a reset, 1 of 5; issue 3",
        "a::b command: make soak; seed: 3; seen: a reset, 1 of 5",
        "a::b command: make soak; seed: 3; seen: a reset, 1 of 5; issue open",
        "a::b command: none/run.sh; seed: none; seen: a reset, 1 of 5; issue 3",
        "ab command: make soak; seed: 3; seen: a reset, 1 of 5; issue 3",
    ],
)
def test_incomplete_known_red_entry_is_found(line: str) -> None:
    """Guards against a check that accepts entries that nobody can repeat."""
    assert _known_red_faults([line]) == [line]


def test_second_known_red_entry_of_a_test_is_found() -> None:
    """Guards against entries of which only one is removed with the fix."""
    line = "a::b command: make soak; seed: 3, 4; seen: a reset, 1 of 5; issue 3"
    assert _known_red_faults([line]) == []
    assert _known_red_faults([line, line]) == [line]
