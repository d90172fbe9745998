"""Rendezvous hashing: routers agree on the owner of a key without exchanging messages."""

import math
from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType

import xxhash

Weight = tuple[float, str]
"""A router's weight for a key: the hash, and the router's name to break ties."""

Capacities = Mapping[str, int]
"""By router; empty if all routers count as equal."""

EQUAL_CAPACITIES: Capacities = MappingProxyType({})

HASH_SPAN = 2.0**64
LARGEST_FRACTION = 1.0 - 2.0**-53
"""The largest float below 1, whose logarithm is not 0."""


def weigh_router(key: str, router: str, capacities: Capacities = EQUAL_CAPACITIES) -> Weight:
    """Return a router's weight for a key; the router with the highest weight owns the key.

    With capacities, a router owns keys in proportion to its own (weighted rendezvous hashing).
    Routers of one capacity are in the same order as without.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}|{router}".encode())
    if not capacities:
        return digest, router
    fraction = min((digest + 1) / HASH_SPAN, LARGEST_FRACTION)
    return capacities[router] / -math.log(fraction), router


def rank_weights(
    key: str, routers: Iterable[str], count: int, capacities: Capacities = EQUAL_CAPACITIES
) -> tuple[Weight, ...]:
    """Return the ``count`` highest weights for ``key``, highest first."""
    weights = [weigh_router(key, router, capacities) for router in routers]
    if count == 1:
        return (max(weights),) if weights else ()
    return tuple(sorted(weights, reverse=True)[:count])


def rank_routers(
    key: str, routers: Iterable[str], count: int, capacities: Capacities = EQUAL_CAPACITIES
) -> tuple[str, ...]:
    """Return the ``count`` routers with the highest weights for ``key``, highest first."""
    return tuple(router for _, router in rank_weights(key, routers, count, capacities))


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
