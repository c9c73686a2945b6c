"""Fault soak: runs the real programs as processes and injects faults from outside.

A seed decides all faults. The invariants are checked against what callers, targets
and the operator observed, never against what the programs report about themselves.
"""
