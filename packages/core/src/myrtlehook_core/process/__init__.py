"""State with the lifetime of the router process: membership, leases, ledgers, the core itself."""
