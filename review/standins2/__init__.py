"""Stand-ins of the second review: store, servers, routers and consumers."""
