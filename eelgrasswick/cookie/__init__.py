"""Carrying flows whose packets name their target, without state for flows.

A VM writes a hash of the target into the packet that opens a flow. Both ends
send it back in every later packet, so any VM that knows the targets forwards
any packet (Barbette et al., "A High-Speed Load-Balancer Design with Guaranteed
Per-Connection-Consistency", NSDI 2020).
"""
