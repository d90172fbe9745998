"""Small stand-ins for external systems, run as programs by the demos, the bench and the tests."""
