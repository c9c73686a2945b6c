"""Commands that measure the load balancer in virtual time or on sockets."""
