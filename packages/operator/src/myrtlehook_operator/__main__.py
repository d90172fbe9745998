"""Runs the operator's tool: ``python -m myrtlehook_operator``."""

from myrtlehook_operator import main

main()
