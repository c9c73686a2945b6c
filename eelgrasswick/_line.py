"""Parser for the words and options of one line of the rules file."""

import re
import typing

from eelgrasswick import packet

NAME_PATTERN: typing.Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
WORD_PATTERN: typing.Final = re.compile(r"\S+")
MAX_DIGITS: typing.Final = 12


class Token(typing.NamedTuple):
    """One word of a line, and its column, counted from 1."""

    text: str
    column: int


class LineError(Exception):
    """A fault in a line, with its column and a remedy."""

    def __init__(self, column: int, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.column = column
        self.problem = problem
        self.remedy = remedy


class Reader:
    """Consumes the words of one line in order and raises ``LineError`` for faults."""

    def __init__(self, words: list[Token], end_column: int) -> None:
        self._words = words
        self._end_column = end_column
        self._options: dict[str, Token] = {}

    def word(self, meaning: str) -> Token:
        """Consume the next word, which must not be an option."""
        if not self._words or "=" in self._words[0].text:
            column = self._words[0].column if self._words else self._end_column
            raise LineError(column, f"{meaning} is missing", f"add the {meaning}")
        return self._words.pop(0)

    def name(self, meaning: str) -> str:
        """Consume the next word, which must be a name."""
        word = self.word(meaning)
        check_name(word, meaning)
        return word.text

    def address(self, meaning: str) -> packet.Address:
        """Consume the next word, which must be an address."""
        word = self.word(meaning)
        try:
            return packet.address(word.text)
        except ValueError as error:
            raise LineError(
                word.column, str(error), "write it like 10.0.0.1:443"
            ) from error

    def options(self, *known: str) -> None:
        """Consume the rest of the line, which must be known ``key=value`` pairs."""
        for word in self._words:
            key, separator, value = word.text.partition("=")
            if not separator or key not in known:
                raise LineError(
                    word.column,
                    f"{word.text!r} is not a known option here",
                    f"use only {', '.join(known) or 'the words shown in the manual'}",
                )
            if key in self._options:
                raise LineError(
                    word.column, f"{key}= is given twice", "remove one of them"
                )
            self._options[key] = Token(value, word.column + len(key) + 1)

    def option(self, key: str) -> Token | None:
        """Return the value of an option, or None when it is absent."""
        return self._options.get(key)

    def required(self, key: str) -> Token:
        """Return the value of a mandatory option."""
        word = self._options.get(key)
        if word is None:
            raise LineError(self._end_column, f"{key}= is missing", f"add {key}=")
        return word

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Return an option as a whole number within bounds."""
        word = self._options.get(key)
        if word is None:
            return default
        remedy = f"give a whole number from {low} to {high}"
        digits = word.text.isascii() and word.text.isdigit()
        if not digits or len(word.text) > MAX_DIGITS:
            raise LineError(word.column, f"{key}={word.text!r} is not a number", remedy)
        value = int(word.text)
        if not low <= value <= high:
            raise LineError(word.column, f"{key}={value} is out of range", remedy)
        return value


def check_name(word: Token, meaning: str) -> None:
    """Raise ``LineError`` for a word that is not a valid name."""
    if not NAME_PATTERN.fullmatch(word.text):
        raise LineError(
            word.column,
            f"{word.text!r} is not a valid {meaning}",
            "use a-z, 0-9, dot, dash and underscore, at most 63",
        )
