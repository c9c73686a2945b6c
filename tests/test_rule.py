"""The rules file."""

import pytest
from hypothesis import given, strategies

from eelgrasswick import (
    errors,
    rule,
)


def test_example_has_no_faults(rules_text: str) -> None:
    parsed = rule.parse(rules_text)
    assert parsed.faults == ()
    assert len(parsed.rules.targets) == 10


def test_line_without_asker_is_refused() -> None:
    # Nobody can tell later whom to ask about a rule without a name.
    faults = rule.parse("drain d1").faults
    assert (faults[0].line, faults[0].column) == (1, 9)
    assert "who asked" in faults[0].problem


def test_every_fault_is_named() -> None:
    text = (
        "service a 10.0.0.1:99999 tcp shutdown=2030-01-01 # asked by A\n"
        "target t nowhere 10.0.0.2:1 zone=z1 slots=x # asked by A\n"
        "bogus # asked by A\n"
    )
    faults = rule.parse(text).faults
    assert [(item.line, item.column) for item in faults] == [(1, 11), (2, 43), (3, 1)]
    with pytest.raises(errors.RulesInvalidError):
        rule.read(text)


def test_line_separator_inside_of_a_line_is_refused() -> None:
    # An editor or a web page puts a Unicode line separator into a comment.
    # The difference that an operator is shown would hold a drain that is not in
    # force, or a retired line would come back as two.
    faults = rule.parse("limit a flows=1 # asked by A\u2028drain b # asked by B").faults
    assert (faults[0].line, faults[0].column) == (1, 29)


def test_limit_that_limits_nothing_is_refused() -> None:
    faults = rule.parse("limit a # asked by A").faults
    assert "flows= is missing" in faults[0].problem


def test_lines_keep_their_numbers_when_read_again() -> None:
    first = rule.parse("drain a # asked by A")
    second = rule.parse("\n\ndrain a # asked by A\nbogus # x")
    assert first.rules.drains[0].line == 1
    assert second.rules.drains[0].line == 3
    assert [item.line for item in second.faults] == [3, 4]


@given(strategies.text(max_size=300))
def test_any_text_gives_rules_or_faults(text: str) -> None:
    rule.parse(text)


@given(
    strategies.lists(
        strategies.sampled_from(
            [
                "service",
                "target",
                "drain",
                "limit",
                "a",
                "b",
                "10.0.0.1:1",
                "tcp",
                "udp",
                "shutdown=2030-01-01",
                "zone=z1",
                "slots=2",
                "weight=nan",
                "wait_ms=1",
                "#",
                "\n",
                "=",
            ]
        )
    )
)
def test_any_words_give_rules_or_faults(words: list[str]) -> None:
    rule.parse(" ".join(words))
