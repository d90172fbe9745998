"""What lives for one request: its specification, queue place, charge and outcome."""
