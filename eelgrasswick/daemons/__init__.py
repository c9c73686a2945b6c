"""Sockets, links, settings and logs around an engine."""
