"""Benchmarks of myrtlehook; run with ``python -m bench``."""
