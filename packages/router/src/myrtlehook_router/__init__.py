"""The router daemon ``myrtlehookd``; its public surface is the ``main`` function."""

import eventlet

__all__ = ["main"]


def main() -> None:
    """Run the router until it is told to stop."""
    # Sockets, sleeps and locks must be patched before any library takes hold of them.
    eventlet.monkey_patch()
    from myrtlehook_router.process.commands import run_command

    run_command()
