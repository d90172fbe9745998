"""The operator's tool ``myrtlehook``; its public surface is the ``main`` function."""

from myrtlehook_operator.process.commands import main

__all__ = ["main"]
