"""What the core does with news of engines that are cold."""

from typing import TYPE_CHECKING

from myrtlehook_core.process.actions import ColdEngineNoted
from myrtlehook_core.process.cold_engines import start_cold, take_news

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore


def follow_servers(core: "RouterCore", now_s: float) -> None:
    """Hold engines to be cold that a new list of backend servers shows as such."""
    if core.configuration is core.cold.followed:
        return
    zones = core.discovery.evacuated_zones
    for news in take_news(core.cold, core.configuration, zones, now_s):
        load = core.queues.loads.get(news.backend_server)
        if load is not None and start_cold(load.pace, news.until_s, now_s):
            core.out.add(ColdEngineNoted(news.backend_server, news.until_s, news.reason))
