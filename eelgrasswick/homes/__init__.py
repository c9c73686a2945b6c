"""Carrying flows through homes: what a VM decides for packets without cookies."""
