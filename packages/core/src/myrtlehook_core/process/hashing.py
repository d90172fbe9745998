"""Rendezvous hashing: who owns what, agreed on without a message."""

from collections.abc import Iterable

import xxhash

Weight = tuple[int, str]
"""A router's claim to a key: its hash, and its name to break a tie."""


def weigh_router(key: str, router: str) -> Weight:
    """Return a router's claim to a key; the highest claim owns it."""
    return xxhash.xxh3_64_intdigest(f"{key}|{router}".encode()), router


def rank_weights(key: str, routers: Iterable[str], count: int) -> tuple[Weight, ...]:
    """Return the ``count`` highest claims to ``key``, highest first."""
    weights = [weigh_router(key, router) for router in routers]
    if count == 1:
        return (max(weights),) if weights else ()
    return tuple(sorted(weights, reverse=True)[:count])


def rank_routers(key: str, routers: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` routers with the highest claim to ``key``, highest first."""
    return tuple(router for _, router in rank_weights(key, routers, count))
