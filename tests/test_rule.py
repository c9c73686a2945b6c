"""Parsing of the rules file."""

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


def test_line_without_a_comment_is_refused() -> None:
    # Without a name in the comment, nobody can find out later who asked for a rule.
    faults = rule.parse("drain d1").faults
    assert (faults[0].line, faults[0].column) == (1, 9)
    assert "who asked" in faults[0].problem


def test_every_fault_is_listed_with_its_position() -> None:
    text = (
        "service a 10.0.0.1:99999 tcp shutdown=2030-01-01 # asked by A\n"
        "target t nowhere 10.0.0.2:1 zone=z1 slots=x # asked by A\n"
        "bogus # asked by A\n"
    )
    faults = rule.parse(text).faults
    assert [(item.line, item.column) for item in faults] == [(1, 11), (2, 43), (3, 1)]
    with pytest.raises(errors.RulesInvalidError):
        rule.read(text)


def test_unicode_line_separator_in_a_line_is_refused() -> None:
    # An editor or a web page inserts a Unicode line separator into a comment. The
    # difference shown to an operator would contain a drain that is not in force, or
    # a retired line would be parsed as two lines later.
    faults = rule.parse("limit a flows=1 # asked by A\u2028drain b # asked by B").faults
    assert (faults[0].line, faults[0].column) == (1, 29)


def test_limit_without_options_is_refused() -> None:
    faults = rule.parse("limit a # asked by A").faults
    assert "flows= is missing" in faults[0].problem


def test_cached_lines_get_their_present_line_numbers() -> None:
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
