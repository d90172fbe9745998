"""State of one request: its specification, admission, queue, charge and outcome."""
