"""What lives for one request: its story, told from logs."""
