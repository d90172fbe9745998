"""Updates the cold state of owned engines from the list of backend servers."""

from typing import TYPE_CHECKING

from myrtlehook_core.process.actions import ColdEngineDetected
from myrtlehook_core.process.cold_engines import mark_cold, update_cold_engines

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def mark_cold_engines(core: "RouterCore", now_s: float) -> None:
    """Mark the engines as cold that a new list of backend servers shows to be cold."""
    if core.configuration is core.cold_engines.last_configuration:
        return
    zones = core.discovery.evacuated_zones
    for change in update_cold_engines(core.cold_engines, core.configuration, zones, now_s):
        load = core.engine_queues.loads.get(change.backend_server)
        if load is not None and mark_cold(load.pace, change.until_s, now_s):
            core.actions.add(
                ColdEngineDetected(change.backend_server, change.until_s, change.reason)
            )
