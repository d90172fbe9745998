"""Backend servers that have asked this router to be left alone for a time.

A server that turns a request away may say for how long it wants nothing more of the router that
sent it. That binds this router alone: others were not asked, and their own answers tell them.
Until then the server counts as not there for new requests, second attempts and resumed streams;
it takes no part in handing prompts over, and is not asked for its load.

At the end of that time no rush follows: a server's owner grants no more than fills its slots, or
keeps an engine reading, as at any other time.
"""

from dataclasses import dataclass

from myrtlehook_core.version.configurations import Configuration


@dataclass(frozen=True, slots=True)
class Backoff:
    """What one server has asked for."""

    pool: str
    """Empty where the server was not known when it said so."""
    until_s: float


Backoffs = dict[str, Backoff]
"""By backend server."""


def note_backoff(backoffs: Backoffs, backend_server: str, pool: str, until_s: float) -> bool:
    """Note until when a server wants nothing; True when that is later than was known."""
    known = backoffs.get(backend_server)
    if known is not None and known.until_s >= until_s:
        return False
    backoffs[backend_server] = Backoff(pool, until_s)
    return True


def backs_off(backoffs: Backoffs, backend_server: str, now_s: float) -> bool:
    """Tell whether a server wants nothing of this router now."""
    known = backoffs.get(backend_server)
    return known is not None and now_s < known.until_s


def list_backed_off(backoffs: Backoffs, pool: str, now_s: float) -> tuple[str, ...]:
    """Return the servers of a pool that want nothing of this router now."""
    return tuple(
        name
        for name, backoff in backoffs.items()
        if backoff.pool == pool and now_s < backoff.until_s
    )


def find_pool_wait_s(
    backoffs: Backoffs, configuration: Configuration, pool: str, now_s: float
) -> float:
    """Return how long no server of a pool takes a request of this router.

    0 where one does, or where none is known that will.
    """
    barred = set(list_backed_off(backoffs, pool, now_s))
    if not barred:
        return 0.0
    soonest_s = 0.0
    for name, server in configuration.backend_servers.items():
        if server.pool != pool or server.leaving:
            continue
        if name not in barred:
            return 0.0
        left_s = backoffs[name].until_s - now_s
        soonest_s = min(soonest_s, left_s) if soonest_s else left_s
    return soonest_s


def forget_passed(backoffs: Backoffs, now_s: float) -> None:
    """Forget what is over."""
    for name in [name for name, backoff in backoffs.items() if now_s >= backoff.until_s]:
        del backoffs[name]
