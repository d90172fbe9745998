"""The router daemon ``myrtlehookd``; its public surface."""

import os

# All addresses are numeric, so eventlet's resolver is not needed; loading it would take a
# quarter of the start-up time.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

__all__ = ["main", "patch_standard_library"]


def patch_standard_library() -> None:
    """Make sockets and sleeps cooperative; call it before libraries that use them are imported.

    Locks remain those of the operating system: pynng calls back from its own threads, where a
    cooperative lock would start an event loop that never ends, and the connection that is being
    accepted would hang in it.
    """
    eventlet.monkey_patch(thread=False)


def main() -> None:
    """Run the router until it receives a stop signal."""
    patch_standard_library()
    from myrtlehook_router.process.commands import run_command

    run_command()
