"""What lives for one request: its ticket, its answer, and the handling of its kind."""
