"""Rendezvous hashing: routers agree on the owner of a key without exchanging messages."""

from collections.abc import Iterable

import xxhash

Weight = tuple[int, str]
"""A router's weight for a key: the hash, and the router's name to break ties."""


def weigh_router(key: str, router: str) -> Weight:
    """Return a router's weight for a key; the router with the highest weight owns the key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{router}".encode()), router


def rank_weights(key: str, routers: Iterable[str], count: int) -> tuple[Weight, ...]:
    """Return the ``count`` highest weights for ``key``, highest first."""
    weights = [weigh_router(key, router) for router in routers]
    if count == 1:
        return (max(weights),) if weights else ()
    return tuple(sorted(weights, reverse=True)[:count])


def rank_routers(key: str, routers: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the ``count`` routers with the highest weights for ``key``, highest first."""
    return tuple(router for _, router in rank_weights(key, routers, count))
