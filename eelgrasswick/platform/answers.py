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
DECODE_ERRORS: typing.Final = (ValueError, TypeError, LookupError, RecursionError)
Body = dict[str, typing.Any]


class HttpResponse(typing.NamedTuple):
    """An HTTP response: its status and body."""

    status: int
    body: bytes


class Rows(typing.NamedTuple):
    """The rows of an answer of the store.

    Attributes:
        rows: The rows whose keys can be used.
        refused: Reasons why the other items are not among them.
    """

    rows: tuple[source.Row, ...]
    refused: tuple[str, ...]


class Listing:
    """All rows of the store, read page by page.

    Attributes:
        query: Query of the next page; None when all pages are read.
    """

    def __init__(self) -> None:
        """Create a listing without rows, with the query of the first page."""
        self.query: dict[str, str] | None = {"prefix": ""}
        self._rows: list[source.Row] = []
        self._refused: list[str] = []
        self._revision = 0

    def add(self, body: Body) -> None:
        """Append a page.

        Raises:
            errors.StoreError: The body is not a page of rows.
        """
        try:
            items = body["items"]
            page = rows(items)
            # Pages are not one snapshot. Changes after the first page are read again
            # from the revision of the first page.
            self._revision = self._revision or whole_number(body["store_revision"])
            more = bool(body["has_more"])
            # The next page starts after the last key even if that item is refused.
            last = _string(items[-1]["key"]) if more and items else None
        except DECODE_ERRORS as error:
            raise errors.StoreError(f"{names.RANGE_PATH}: {error!r}") from error
        self._rows += page.rows
        self._refused += page.refused
        self.query = None if last is None else {"prefix": "", "after": last}

    def changes(self) -> source.Changes:
        """Return the rows that were read."""
        return source.Changes(
            tuple(self._rows), self._revision, 0, tuple(self._refused)
        )


def request_target(path: str, query: dict[str, str]) -> str:
    """Return the request target of a call: its path and query."""
    # The store may list keys that are not valid Unicode, and the next page starts after
    # such a key.
    return f"{path}?{urllib.parse.urlencode(query, errors='surrogatepass')}"


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
    except DECODE_ERRORS as error:
        raise errors.StoreError(f"{name}: {error}") from error
    if not isinstance(body, dict):
        raise errors.StoreError(f"{name}: the body is not a JSON object")
    return body


def rows(items: typing.Iterable[object]) -> Rows:
    """Return the rows of listed items or watch events.

    Any writer may have chosen the key of an item. An item whose key can't be used is
    left out, so that the other rows take effect without it.
    """
    decoded: list[source.Row] = []
    refused: list[str] = []
    for item in items:
        row = _row(item)
        fault = _key_fault(row.key)
        if fault:
            refused.append(f"key {row.key!r}: {fault}")
        else:
            decoded.append(row)
    return Rows(tuple(decoded), tuple(refused))


def _row(item: object) -> source.Row:
    if not isinstance(item, dict):
        raise TypeError("an item is not a JSON object")
    value = None
    if not item.get("deleted"):
        value = base64.b64decode(item["value"], validate=True)
    return source.Row(_string(item["key"]), value, whole_number(item["revision"]))


def _key_fault(key: str) -> str:
    # Messages to other VMs carry the key. A message that can't be encoded, or that the
    # receivers refuse, would hold up the other rows.
    if len(key) > source.MAX_KEY_CHARACTERS:
        return f"{len(key)} characters"
    try:
        key.encode()
    except UnicodeEncodeError as error:
        return error.reason
    return ""


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("a key is not a string")
    return value


def whole_number(value: object) -> int:
    """Return a value after checking that it is a whole number below 2**63."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    if not 0 <= value <= source.MAX_REVISION:
        raise ValueError(f"{value!r} is out of range")
    return value
