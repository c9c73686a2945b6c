"""Weighted rendezvous hashing over names.

All VMs that have the same names and weights rank them in the same order for a
flow, so that placement needs no message. When a name is added or removed, only
the flows that rank it first move. The score ``-weight / ln(u)`` follows
Schindelhauer and Schomaker, "Weighted distributed hash tables" (2005).
"""

import math
import typing

import xxhash

_SPAN: typing.Final = float(2**64)


class Candidate(typing.NamedTuple):
    """A name that can be chosen, with the hash seed made from it.

    Attributes:
        name: Name of a target or VM.
        seed: Seed of the hash for this name.
        weight: Relative share of the keys that the name should get; above zero.
    """

    name: str
    seed: int
    weight: float


def candidate(name: str, weight: float) -> Candidate:
    """Return a candidate with the seed computed from its name."""
    return Candidate(name, digest(name.encode()), weight)


def digest(key: bytes) -> int:
    """Return the 64-bit hash that spreads keys over slots."""
    return xxhash.xxh64_intdigest(key)


def score(key: bytes, item: Candidate) -> float:
    """Return the score of a candidate for a key; the highest score ranks first."""
    fraction = (xxhash.xxh3_64_intdigest(key, item.seed) + 1) / (_SPAN + 1.0)
    if fraction >= 1.0:
        return math.inf
    return -item.weight / math.log(fraction)


def best(key: bytes, items: typing.Sequence[Candidate]) -> str | None:
    """Return the name that ranks first for a key, or None without candidates."""
    chosen = None
    highest = -1.0
    for item in items:
        value = score(key, item)
        if value > highest:
            highest = value
            chosen = item.name
    return chosen


def ranked(key: bytes, items: typing.Sequence[Candidate]) -> list[str]:
    """Return all names by rank for a key, the first choice first."""
    order = sorted(items, key=lambda item: score(key, item), reverse=True)
    return [item.name for item in order]
