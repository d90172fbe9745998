"""Benchmarks of myrtlehook; run as ``python -m bench``."""
