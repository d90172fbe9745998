"""Computes the slots of each pool that a workspace is entitled to."""

from dataclasses import dataclass

from myrtlehook_core import PartDocument

LARGE_LOSS_FRACTION = 0.5
"""Warn about a pool that loses more than this fraction of its slots."""


@dataclass(frozen=True, slots=True)
class Entitlement:
    """The slots of a pool that a workspace gets while all workspaces have requests waiting."""

    workspace: str
    pool: str
    slots_before: float
    slots_after: float


def find_entitlements(before: PartDocument, after: PartDocument) -> list[Entitlement]:
    """Return every entitlement that changes."""
    old = _compute_entitled_slots(before)
    new = _compute_entitled_slots(after)
    changed = []
    for key in sorted(old.keys() | new.keys()):
        slots_before, slots_after = old.get(key, 0.0), new.get(key, 0.0)
        if abs(slots_before - slots_after) > 1e-9:
            changed.append(Entitlement(key[0], key[1], slots_before, slots_after))
    return changed


def find_warnings(before: PartDocument, after: PartDocument) -> list[str]:
    """Return warnings about changes that may be mistakes."""
    slots = _sum_pool_slots(after)
    warnings = []
    for workspace in after.workspaces:
        if not any(slots.get(pool, 0) > 0 for pool in workspace.pools):
            warnings.append(f"workspace {workspace.name} is left with no backend server")
        if not workspace.key_digests:
            warnings.append(f"workspace {workspace.name} has no API key")
    kept = {workspace.name for workspace in after.workspaces}
    for workspace in before.workspaces:
        if workspace.name not in kept:
            warnings.append(f"workspace {workspace.name} is removed; what it queued is refused")
    for pool, before_slots in _sum_pool_slots(before).items():
        after_slots = slots.get(pool, 0)
        if after_slots < before_slots * (1.0 - LARGE_LOSS_FRACTION):
            warnings.append(f"pool {pool} shrinks from {before_slots} to {after_slots} slots")
    return warnings


def _sum_pool_slots(part: PartDocument) -> dict[str, int]:
    slots = {pool.name: 0 for pool in part.pools}
    for server in part.backend_servers:
        if not server.leaving:
            slots[server.pool] = slots.get(server.pool, 0) + server.slots
    return slots


def _compute_entitled_slots(part: PartDocument) -> dict[tuple[str, str], float]:
    slots = _sum_pool_slots(part)
    shares: dict[str, float] = {}
    for workspace in part.workspaces:
        for pool in workspace.pools:
            shares[pool] = shares.get(pool, 0.0) + workspace.share
    return {
        (workspace.name, pool): slots.get(pool, 0) * workspace.share / shares[pool]
        for workspace in part.workspaces
        for pool in workspace.pools
    }
