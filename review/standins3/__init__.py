"""Stand-ins for the third review: store, servers, consumers and routers."""
