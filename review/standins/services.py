"""A small configuration: one plain service with one route, open to all clients."""

from typing import Any

HOST = "crews.example"
PATH = "/setpoints/4"
SERVICE = "field-ops"


def make_configuration() -> dict[str, Any]:
    """Return the configuration as the operator writes it."""
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "setpoint-query",
                "Host": HOST,
                "PathPrefix": "/setpoints/",
                "Kind": "idempotent",
                "TimeoutMs": 1500,
                "TargetLatencyMs": 125,
                "Priority": 1,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "AnonymousAccess": True,
            }
        ],
        "Services": [{"Name": SERVICE, "MaxConnections": 96}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1048576,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            "TokensPerS": 0,
        },
        "Tenants": [],
    }
