"""The record of a case: what was sent, answered and run, and when."""

import pathlib
import time


class Record:
    """Lines with the time since the start of the case, in a file."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create the file."""
        self._file = path.open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Append a line."""
        at_s = time.monotonic() - self._begun_s
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at_s:8.3f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
