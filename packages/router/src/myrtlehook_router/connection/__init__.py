"""What lives for one connection: towards callers, backend servers and the platform."""
