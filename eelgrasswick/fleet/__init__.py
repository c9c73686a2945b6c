"""Which VMs there are, and what is in force at them."""
