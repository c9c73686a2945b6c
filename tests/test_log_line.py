"""Tests of log lines."""

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick import log_line

# The default alphabet of texts leaves out surrogates.
ANY_TEXT = strategies.text(strategies.characters())


@hypothesis.given(event=ANY_TEXT, value=ANY_TEXT)
def test_any_text_is_rendered_as_one_printable_line(event: str, value: str) -> None:
    """Guards against a field that ends the process or changes another log line."""
    line = log_line.render(0.0, event, {"field": value})
    assert line.isprintable()
    assert line.encode().decode() == line


@pytest.mark.parametrize("value", ["x" * 1_000_000, "\ud83d" * 1_000_000])
def test_long_value_is_cut_off(value: str) -> None:
    """Guards against one entry of the store that fills the log."""
    line = log_line.render(0.0, "entry_refused", {"detail": value})
    assert len(line) < 10 * log_line.MAX_VALUE_CHARACTERS


def test_plain_words_are_not_quoted() -> None:
    """Guards against lines that a search for ``key=value`` no longer finds."""
    line = log_line.render(0.0, "target_gone", {"zone": "zürich-1", "detail": "a b"})
    assert line.endswith('event=target_gone zone=zürich-1 detail="a b"')
