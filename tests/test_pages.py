"""The pages say what the code does."""

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
MAX_KNOWN_RED = 3
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
    return (ROOT / "docs" / "OPERATING.md").read_text()


def rows(page: str, first: str) -> list[list[str]]:
    """Return the cells of the table whose header begins with a word."""
    lines = page.splitlines()
    begin = next(n for n, line in enumerate(lines) if line.startswith(f"| {first} |"))
    found = []
    for line in lines[begin + 2 :]:
        if not line.startswith("|"):
            break
        found.append([cell.strip() for cell in line.strip("|").split("|")])
    return found


def test_every_setting_stands_with_its_default(operating: str) -> None:
    expected = []
    for entry in setting.ENTRIES:
        default = f"`{entry.default}`" if entry.default else "empty"
        if entry.default is None:
            default = "required"
        expected.append(
            [f"`{entry.section}`", f"`{entry.key}`", default, entry.meaning]
        )
    assert rows(operating, "Section") == expected


def test_every_error_kind_stands_with_its_answer(operating: str) -> None:
    table = {row[0]: row for row in rows(operating, "Kind")}
    assert set(table) == {f"`{kind.value}`" for kind in errors.ErrorKind}
    for kind, answer in errors.ERROR_HANDLING.items():
        row = table[f"`{kind.value}`"]
        not_run = "yes" if answer.not_run else "no"
        assert row[1:4] == [answer.reply.value, not_run, str(answer.exit_code)]
        assert row[4]
        assert row[5] == answer.remedy


def test_every_kind_has_an_answer() -> None:
    assert set(errors.ERROR_HANDLING) == set(errors.ErrorKind)


def test_every_metric_stands_with_its_meaning(operating: str) -> None:
    names = [counter.value for counter in message.Counter] + ["flows_open", "hints"]
    table = rows(operating, "Metric")
    assert [row[0] for row in table] == [f"`{metric.PREFIX}{n}`" for n in names]
    assert all(row[1] for row in table)


def test_every_logged_event_is_named(operating: str) -> None:
    pattern = re.compile(
        r"(?:message\.log\(|message_type=|_log_guess\()\s*\"([a-z_]+)\""
    )
    logged = set()
    for path in (ROOT / "eelgrasswick").rglob("*.py"):
        logged.update(pattern.findall(path.read_text()))
    assert logged
    missing = [name for name in sorted(logged) if f"`{name}`" not in operating]
    assert missing == []


def test_settings_of_the_page_are_accepted(operating: str) -> None:
    begin = operating.index("    [vm]")
    end = operating.index("\n\n", begin)
    text = "\n".join(line.strip() for line in operating[begin:end].splitlines())
    assert setting.read(text).vm.name == "vm1"


def test_rules_of_the_readme_have_no_faults() -> None:
    page = (ROOT / "README.md").read_text()
    lines = [line[4:] for line in page.splitlines() if "  # asked by" in line]
    assert len(lines) == 5
    assert rule.parse("\n".join(lines)).faults == ()


def test_links_between_pages_lead_somewhere() -> None:
    for page in (*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")):
        for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
            assert (page.parent / link).exists(), f"{page.name}: {link}"


def test_developers_page_gives_the_size_to_design_for() -> None:
    page = (ROOT / "DEVELOPERS.md").read_text()
    missing = [text for text in SIZE_TO_DESIGN_FOR if text not in page]
    assert missing == []


def test_known_red_tests_are_few_and_explained() -> None:
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    assert len(lines) <= MAX_KNOWN_RED
    for line in lines:
        name, _, reason = line.partition(" ")
        assert "::" in name
        assert reason.strip()
