"""Decoding of the platform store's responses, for all modules that call it."""

import base64
import json
import typing
import urllib.parse

import h11

from eelgrasswick import errors
from eelgrasswick.cookie import source
from eelgrasswick.platform import names

MAX_BODY_BYTES: typing.Final = 16_000_000
_HTTP_OK: typing.Final = 200
_HTTP_GONE: typing.Final = 410
DECODE_ERRORS: typing.Final = (ValueError, TypeError, LookupError)
Body = dict[str, typing.Any]


class HttpResponse(typing.NamedTuple):
    """An HTTP response: its status and body."""

    status: int
    body: bytes


class Listing:
    """All rows of the store, read page by page.

    Attributes:
        query: Query of the next page; None when all pages are read.
    """

    def __init__(self) -> None:
        """Create a listing without rows, with the query of the first page."""
        self.query: dict[str, str] | None = {"prefix": ""}
        self._rows: list[source.Row] = []
        self._revision = 0

    def add(self, body: Body) -> None:
        """Append a page.

        Raises:
            errors.StoreError: The body is not a page of rows.
        """
        try:
            page = [row(item) for item in body["items"]]
            # Pages are not one snapshot. Changes after the first page are read again
            # from the revision of the first page.
            self._revision = self._revision or whole_number(body["store_revision"])
            more = bool(body["has_more"])
        except DECODE_ERRORS as error:
            raise errors.StoreError(f"{names.RANGE_PATH}: {error!r}") from error
        self._rows += page
        last = {"prefix": "", "after": page[-1].key} if page else None
        self.query = last if more else None

    def changes(self) -> source.Changes:
        """Return the rows that were read."""
        return source.Changes(tuple(self._rows), self._revision, 0)


def request_target(path: str, query: dict[str, str]) -> str:
    """Return the request target of a call: its path and query."""
    return f"{path}?{urllib.parse.urlencode(query)}"


def encode_request(http: h11.Connection, host: str, target: str) -> bytes:
    """Return the bytes of a GET request."""
    head = h11.Request(method="GET", target=target, headers=[("Host", host)])
    return (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")


def decode_body(name: str, response: HttpResponse) -> Body:
    """Return the JSON body of a response.

    Raises:
        errors.HistoryGoneError: The store has deleted the requested revisions.
        errors.StoreError: The store refuses the call, or its response can't be decoded.
    """
    if response.status == _HTTP_GONE:
        raise errors.HistoryGoneError(f"{name}: history gone")
    if response.status != _HTTP_OK:
        raise errors.StoreError(f"{name}: HTTP status {response.status}")
    try:
        body = json.loads(response.body)
    except ValueError as error:
        raise errors.StoreError(f"{name}: {error}") from error
    if not isinstance(body, dict):
        raise errors.StoreError(f"{name}: the body is not a JSON object")
    return body


def row(item: Body) -> source.Row:
    """Return the row of a listed item or a watch event."""
    value = None
    if not item.get("deleted"):
        value = base64.b64decode(item["value"], validate=True)
    key = item["key"]
    if not isinstance(key, str):
        raise TypeError("a key is not a string")
    return source.Row(key, value, whole_number(item["revision"]))


def whole_number(value: object) -> int:
    """Return a value after checking that it is a whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    return value
