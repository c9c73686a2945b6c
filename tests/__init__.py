"""Tests, what they share, and the demo that runs a fleet of processes."""
