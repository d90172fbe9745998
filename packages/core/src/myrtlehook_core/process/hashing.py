"""Rendezvous hashing: routers agree on the owner of a key without exchanging messages."""

from collections.abc import Collection, Iterable

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


def update_weights(
    key: str,
    weights: tuple[Weight, ...],
    routers: Collection[str],
    joined: Collection[str],
    count: int,
) -> tuple[Weight, ...]:
    """Return the ``count`` highest weights for ``key`` after some routers departed or joined.

    Weighs the joined routers only, unless one of those with the highest weights departed.

    :param weights: the highest weights before.
    :param routers: all present routers.
    """
    if not weights or any(router not in routers for _, router in weights):
        return rank_weights(key, routers, count)
    claimants = [weigh_router(key, router) for router in joined]
    return tuple(sorted([*weights, *claimants], reverse=True)[:count])
