"""Decisions under load, without network, clock or randomness."""
