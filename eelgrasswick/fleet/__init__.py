"""Fleet membership, and the configuration in force at its VMs."""
