"""What lives as long as the router process: membership, leases, ledgers, the core itself."""
