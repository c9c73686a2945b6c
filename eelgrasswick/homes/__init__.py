"""Forwarding of flows through their homes, for packets without cookies."""
