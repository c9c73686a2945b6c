"""The record of a run: what was sent, answered and run, line by line."""

import pathlib
import time
import typing


class Record:
    """Writes lines with the time since the start of the run.

    Attributes:
        start_s: Monotonic time of the start.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Create an empty record in a file."""
        self.start_s = time.monotonic()
        self._file = path.open("w")

    def elapsed_s(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.start_s

    def write(self, event: str, **fields: typing.Any) -> None:
        """Append a line."""
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.elapsed_s():9.3f} {event} {words}".rstrip() + "\n")
        self._file.flush()

    def say(self, event: str, **fields: typing.Any) -> None:
        """Append a line and print it."""
        self.write(event, **fields)
        print(event, *(f"{key}={value}" for key, value in fields.items()), flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
