"""Handling of a single request: its ticket, its attempts at backend servers and its response."""
