"""Reads of what the platform and routers answer."""
