"""A fleet of layer-4 load balancers that keeps each open flow on its target."""
