"""Soak runs: the real programs as processes, with faults from outside them.

A seed decides every fault. What must always hold is checked from what callers
and targets saw, never from what the programs say of themselves.
"""
