"""Forwarding of flows whose packets name their target, without per-flow state.

A VM writes a hash of the target, the cookie, into the packet that opens a flow.
Both ends repeat the cookie in every later packet, so any VM that has the list of
targets can forward any packet
(Barbette et al., "A High-Speed Load-Balancer Design with Guaranteed
Per-Connection-Consistency", NSDI 2020).
"""
