"""Connections to clients, backend servers, neighbouring routers and the platform."""
