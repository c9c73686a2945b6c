"""Runs the program of an entry VM with a time of day that a run steps.

    python -m eelgrasswick.soak.stepped_vm OFFSET_FILE

The file has the offset of the time of day in seconds. Only this process reads it; the
clock of the machine stays as it is.
"""

import mmap
import pathlib
import runpy
import struct
import sys
import time
import typing

_OFFSET: typing.Final = struct.Struct("<d")


def write_offset(path: pathlib.Path, offset_s: float) -> None:
    """Set the offset of the time of day of the process that reads a file."""
    # The process has mapped the file, so the bytes are replaced in place.
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(_OFFSET.pack(offset_s))


def _replace_time_of_day(path: pathlib.Path) -> None:
    # Libraries bind the functions of ``time`` when they are imported, so this precedes
    # the import of any of them.
    with path.open("rb") as file:
        offset = mmap.mmap(file.fileno(), _OFFSET.size, access=mmap.ACCESS_READ)
    real_time, real_time_ns = time.time, time.time_ns

    def stepped_time() -> float:
        return float(real_time() + _OFFSET.unpack_from(offset)[0])

    def stepped_time_ns() -> int:
        return real_time_ns() + int(1e9 * _OFFSET.unpack_from(offset)[0])

    time.time = stepped_time
    time.time_ns = stepped_time_ns


def main() -> None:
    """Run the program with the time of day whose offset is in a file."""
    _replace_time_of_day(pathlib.Path(sys.argv[1]))
    runpy.run_module("eelgrasswick.platform", run_name="__main__")


if __name__ == "__main__":
    main()
