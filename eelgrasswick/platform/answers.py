"""Answers of the platform's store, decoded once for all that call it."""

import base64
import json
import typing
import urllib.parse

import h11

from eelgrasswick import errors
from eelgrasswick.cookie import source
from eelgrasswick.platform import names

MAX_BODY_BYTES: typing.Final = 16_000_000
_OK: typing.Final = 200
_GONE: typing.Final = 410
DECODE_ERRORS: typing.Final = (ValueError, TypeError, LookupError)
Body = dict[str, typing.Any]


class HttpResponse(typing.NamedTuple):
    """An HTTP answer: its status and body."""

    status: int
    body: bytes


class Listing:
    """All rows of the store, page by page.

    Attributes:
        query: What to ask for next; None when all pages are read.
    """

    def __init__(self) -> None:
        """Begin with the first page."""
        self.query: dict[str, str] | None = {"prefix": ""}
        self._rows: list[source.Row] = []
        self._revision = 0

    def add(self, body: Body) -> None:
        """Take a page.

        Raises:
            errors.StoreError: It holds something else.
        """
        try:
            page = [row(item) for item in body["items"]]
            # Pages are no snapshot. What changes after the first one is asked for
            # again from its revision.
            self._revision = self._revision or whole_number(body["store_revision"])
            more = bool(body["has_more"])
        except DECODE_ERRORS as fault:
            raise errors.StoreError(f"{names.RANGE_PATH}: {fault!r}") from fault
        self._rows += page
        last = {"prefix": "", "after": page[-1].key} if page else None
        self.query = last if more else None

    def changes(self) -> source.Changes:
        """Return the rows that were read."""
        return source.Changes(tuple(self._rows), self._revision, 0)


def request_target(path: str, query: dict[str, str]) -> str:
    """Return what a call asks for: its path and query."""
    return f"{path}?{urllib.parse.urlencode(query)}"


def encode_request(http: h11.Connection, host: str, asked: str) -> bytes:
    """Return a call's bytes."""
    head = h11.Request(method="GET", target=asked, headers=[("Host", host)])
    return (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")


def decode_body(name: str, answer: HttpResponse) -> Body:
    """Return the body of an answer.

    Raises:
        errors.HistoryGoneError: The store has forgotten what was asked for.
        errors.StoreError: It refuses, or its answer can't be read.
    """
    if answer.status == _GONE:
        raise errors.HistoryGoneError(f"{name}: history gone")
    if answer.status != _OK:
        raise errors.StoreError(f"{name}: HTTP status {answer.status}")
    try:
        body = json.loads(answer.body)
    except ValueError as fault:
        raise errors.StoreError(f"{name}: {fault}") from fault
    if not isinstance(body, dict):
        raise errors.StoreError(f"{name}: the body is no object")
    return body


def row(item: Body) -> source.Row:
    """Return the row that an item or event stands for."""
    value = None
    if not item.get("deleted"):
        value = base64.b64decode(item["value"], validate=True)
    key = item["key"]
    if not isinstance(key, str):
        raise TypeError("a key is no text")
    return source.Row(key, value, whole_number(item["revision"]))


def whole_number(value: object) -> int:
    """Return a value that must be a whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is no whole number")
    return value
