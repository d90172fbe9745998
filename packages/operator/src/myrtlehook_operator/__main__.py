"""Lets ``python -m myrtlehook_operator`` run the tool."""

from myrtlehook_operator import main

main()
