"""Stand-ins for platform, fabric, targets and callers, and models of load."""
