"""Stand-ins of the platform, of plain servers and of clients, and a small fleet of routers."""
