"""The daemon of an entry VM: sockets, links, settings, logs and metrics."""
