"""Small stand-ins for the outside, started as programs by demo, bench and tests."""
