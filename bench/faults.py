"""Faults that a bench brings about while it measures."""

import signal
import threading
import time
from collections.abc import Callable

from standins.fleets import Fleet

Step = Callable[[Fleet], None]


def make_fault(name: str, fleet: Fleet, at_s: float, for_s: float) -> threading.Thread:
    """Start a thread that brings a fault about and ends it again.

    :param at_s: seconds from now until the fault.
    """
    begin, end = FAULTS[name]

    def run() -> None:
        time.sleep(at_s)
        begin(fleet)
        time.sleep(for_s)
        end(fleet)

    thread = threading.Thread(target=run if name != "none" else _nothing, daemon=True)
    thread.start()
    return thread


def owner_of_most(fleet: Fleet) -> str:
    """Return the router that owns the most backend servers and is not the first.

    The first one takes the small workspace's calls, which the bench measures.
    """
    names = list(fleet.routers)
    status = fleet.status(names[0])
    owners = [server["owner"] for server in status["servers"]]
    return max(names[1:], key=owners.count)


def _nothing(*_: Fleet) -> None:
    pass


def _cut(fleet: Fleet) -> None:
    names = list(fleet.routers)
    half = len(names) // 2
    fleet.cut([names[:half], names[half:]])


def _heal(fleet: Fleet) -> None:
    fleet.cut([list(fleet.routers)])


def _kill_owner(fleet: Fleet) -> None:
    fleet.kill(fleet.routers[owner_of_most(fleet)])


def _restart_dead(fleet: Fleet) -> None:
    for name, program in list(fleet.routers.items()):
        if program.process.poll() is not None:
            fleet.restart_router(name)


def _freeze(fleet: Fleet) -> None:
    fleet.routers[owner_of_most(fleet)].process.send_signal(signal.SIGSTOP)


def _wake(fleet: Fleet) -> None:
    for program in fleet.routers.values():
        program.process.send_signal(signal.SIGCONT)


def _platform_down(fleet: Fleet) -> None:
    fleet.set_platform_mode(down=True)


def _platform_up(fleet: Fleet) -> None:
    fleet.set_platform_mode()


FAULTS: dict[str, tuple[Step, Step]] = {
    "none": (_nothing, _nothing),
    "cut": (_cut, _heal),
    "kill-owner": (_kill_owner, _restart_dead),
    "freeze": (_freeze, _wake),
    "platform-down": (_platform_down, _platform_up),
}
