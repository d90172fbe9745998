"""Lets ``python -m myrtlehook_router`` run the daemon."""

from myrtlehook_router import main

main()
