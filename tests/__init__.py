"""Tests and the demo that starts processes."""
