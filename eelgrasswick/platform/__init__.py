"""Translation between the users' platform and the load balancer.

Names and formats of the platform occur in this package only. The package makes no
load-balancing decisions.
"""
