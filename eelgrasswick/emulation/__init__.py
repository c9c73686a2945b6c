"""Emulated platform, fabric, targets and callers, and simulations of load."""
