"""Back-offs that backend servers have requested from this router.

A server that rejects a request may say for how long the router should send it no more requests.
The back-off applies to this router only: other routers learn of theirs from their own answers.
Until it ends, the server is left out for new requests, retries and resumed streams; no
prompts are handed over to or from it, and its load is not polled.

The end of a back-off causes no burst: the server's owner grants only as many requests as fill its
slots or keep an engine reading, as at any other time.
"""

from collections.abc import Callable
from dataclasses import dataclass

from myrtlehook_core.version.configurations import BackendServer, Configuration


@dataclass(frozen=True, slots=True)
class Backoff:
    """The back-off that one server has requested."""

    pool: str
    """Empty if the server was unknown when it requested the back-off."""
    until_s: float


Backoffs = dict[str, Backoff]
"""By backend server."""


def record_backoff(backoffs: Backoffs, backend_server: str, pool: str, until_s: float) -> bool:
    """Record when a server's back-off ends; return True if that is later than recorded before."""
    known = backoffs.get(backend_server)
    if known is not None and known.until_s >= until_s:
        return False
    backoffs[backend_server] = Backoff(pool, until_s)
    return True


def is_backing_off(backoffs: Backoffs, backend_server: str, now_s: float) -> bool:
    """Return whether a server is backing off from this router now."""
    known = backoffs.get(backend_server)
    return known is not None and now_s < known.until_s


def list_backed_off(backoffs: Backoffs, pool: str, now_s: float) -> tuple[str, ...]:
    """Return the servers of a pool that are backing off from this router now."""
    return tuple(
        name
        for name, backoff in backoffs.items()
        if backoff.pool == pool and now_s < backoff.until_s
    )


def find_pool_backoff_s(
    backoffs: Backoffs,
    configuration: Configuration,
    pool: str,
    now_s: float,
    may_serve: Callable[[BackendServer], bool] = lambda server: True,
) -> float:
    """Return the time until the first server of a pool ends its back-off.

    0 if a server accepts requests now, or if all servers of the pool are leaving.

    :param may_serve: whether a server counts; all do if it is not given.
    """
    backed_off = set(list_backed_off(backoffs, pool, now_s))
    if not backed_off:
        return 0.0
    soonest_s = 0.0
    for name, server in configuration.backend_servers.items():
        if server.pool != pool or server.leaving or not may_serve(server):
            continue
        if name not in backed_off:
            return 0.0
        remaining_s = backoffs[name].until_s - now_s
        soonest_s = min(soonest_s, remaining_s) if soonest_s else remaining_s
    return soonest_s


def drop_ended_backoffs(backoffs: Backoffs, now_s: float) -> None:
    """Drop back-offs that have ended."""
    for name in [name for name, backoff in backoffs.items() if now_s >= backoff.until_s]:
        del backoffs[name]
