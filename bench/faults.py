"""Faults that a benchmark injects while it measures."""

import signal
import threading
import time
from collections.abc import Callable

from standins.fleets import Fleet

Step = Callable[[Fleet], None]


def make_fault(name: str, fleet: Fleet, at_s: float, for_s: float) -> threading.Thread:
    """Start a thread that injects a fault and ends it again.

    :param at_s: seconds from now until the fault begins.
    :param for_s: how long the fault lasts, in seconds.
    """
    begin, end = FAULTS[name]

    def run() -> None:
        time.sleep(at_s)
        begin(fleet)
        time.sleep(for_s)
        end(fleet)

    thread = threading.Thread(target=run if name != "none" else _do_nothing, daemon=True)
    thread.start()
    return thread


def find_largest_owner(fleet: Fleet) -> str:
    """Return the router that owns the most backend servers, other than the first router.

    The first router receives the small workspace's requests, whose latency is measured.
    """
    names = list(fleet.routers)
    status = fleet.status(names[0])
    owners = [server["owner"] for server in status["servers"]]
    return max(names[1:], key=owners.count)


def _do_nothing(*_: Fleet) -> None:
    pass


def _partition_routers(fleet: Fleet) -> None:
    names = list(fleet.routers)
    half = len(names) // 2
    fleet.cut([names[:half], names[half:]])


def _end_partition(fleet: Fleet) -> None:
    fleet.cut([list(fleet.routers)])


def _kill_owner(fleet: Fleet) -> None:
    fleet.kill(fleet.routers[find_largest_owner(fleet)])


def _restart_dead(fleet: Fleet) -> None:
    for name, program in list(fleet.routers.items()):
        if program.process.poll() is not None:
            fleet.restart_router(name)


def _suspend_owner(fleet: Fleet) -> None:
    fleet.routers[find_largest_owner(fleet)].process.send_signal(signal.SIGSTOP)


def _resume_routers(fleet: Fleet) -> None:
    for program in fleet.routers.values():
        program.process.send_signal(signal.SIGCONT)


def _stop_platform_answers(fleet: Fleet) -> None:
    fleet.set_platform_mode(down=True)


def _restore_platform_answers(fleet: Fleet) -> None:
    fleet.set_platform_mode()


FAULTS: dict[str, tuple[Step, Step]] = {
    "none": (_do_nothing, _do_nothing),
    "cut": (_partition_routers, _end_partition),
    "kill-owner": (_kill_owner, _restart_dead),
    "freeze": (_suspend_owner, _resume_routers),
    "platform-down": (_stop_platform_answers, _restore_platform_answers),
}
