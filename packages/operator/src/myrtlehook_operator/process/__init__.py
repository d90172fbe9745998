"""What lives for one run of the tool: its commands and what they print."""
