"""A layer-4 load balancer fleet that keeps every open flow whole."""
