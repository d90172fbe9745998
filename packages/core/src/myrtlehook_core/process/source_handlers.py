"""What the core does with what the source publishes, read here or told by peers."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import (
    BackendServersChanged,
    ConfigurationChanged,
    ConfigurationRejected,
    FetchPart,
    ReadSource,
)
from myrtlehook_core.process.leaving_servers import note_leaving
from myrtlehook_core.process.members import count_news
from myrtlehook_core.process.membership_messages import LeavingRow, News
from myrtlehook_core.process.messages import ConfigurationQuery
from myrtlehook_core.process.probing import announce, announce_near
from myrtlehook_core.process.source_messages import ServerRow, ServersQuery, ServersReply
from myrtlehook_core.process.source_readers import (
    knows_outage,
    note_answer,
    note_failure,
    readers_before,
    take_readers,
    tick_readers,
)
from myrtlehook_core.version.configurations import BackendServer, ConfigurationVersion
from myrtlehook_core.version.discovery import (
    ServerChanges,
    collect_changes,
    expire_lapsed,
    take_changes,
    take_servers,
)
from myrtlehook_core.version.exchange import (
    Accepted,
    Rejected,
    hear_version,
    missing_digests,
    missing_parts,
    take_document,
)

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

PLATFORM = "platform"

DOCUMENT_QUERY_INTERVAL_S = 0.5
"""Documents that have not come are asked for again this often."""

SERVERS_QUERY_INTERVAL_S = 0.1
"""A peer that knows more of the backend servers is asked at most this often."""


def on_configuration(core: "RouterCore", event: events.ConfigurationRead, now_s: float) -> None:
    """Take a whole configuration as the source publishes it, and tell of a new one."""
    result = take_document(core.exchange, event.text, PLATFORM)
    take_configuration(core, result)
    if isinstance(result, Accepted):
        _announce(core)


def on_servers(core: "RouterCore", event: events.BackendServersRead, now_s: float) -> None:
    """Take the source's list of backend servers, and tell of changes."""
    after_outage = event.after_outage or knows_outage(core.source_readers, now_s)
    zones = event.evacuated_zones
    if take_servers(core.discovery, event.servers, after_outage, now_s, event.source_order, zones):
        tell_servers(core, PLATFORM)
        _announce(core)


def on_source_answered(core: "RouterCore", event: events.SourceAnswered, now_s: float) -> None:
    """Note that the source answers this router."""
    note_answer(core.source_readers, now_s)


def on_source_failed(core: "RouterCore", event: events.SourceFailed, now_s: float) -> None:
    """Note that the source does not answer this router."""
    note_failure(core.source_readers)


def tick_source(core: "RouterCore", now_s: float) -> None:
    """Decide whether this router reads the source."""
    if tick_readers(core.source_readers, core.table, core.options, now_s):
        before = readers_before(core.source_readers, core.table, core.options, now_s)
        core.actions.add(ReadSource(core.source_readers.reading, before))


def sweep_source(core: "RouterCore", now_s: float) -> None:
    """Ask again for what has not come, and drop servers whose entries did not return."""
    query_documents(core, now_s)
    if expire_lapsed(core.discovery, now_s):
        tell_servers(core, PLATFORM)


def hear_source(core: "RouterCore", sender: str, news: News, now_s: float) -> None:
    """Take a peer's news of the source, and ask for what it knows that this router lacks."""
    version = ConfigurationVersion(news.configuration_number, news.configuration_digest)
    if hear_version(core.exchange, version, sender):
        query_documents(core, now_s)
    take_readers(core.source_readers, core.identity.router_id, news.readers, now_s)
    lacking = news.servers_order > core.discovery.source_order
    if lacking and now_s >= core.source_readers.next_query_s:
        core.source_readers.next_query_s = now_s + SERVERS_QUERY_INTERVAL_S
        core.outbox.add(sender, ServersQuery(core.discovery.source_order))


def take_servers_query(
    core: "RouterCore", sender: str, message: ServersQuery, now_s: float
) -> None:
    """Tell a peer what changed among the backend servers."""
    changes = collect_changes(core.discovery, message.known_order)
    rows = tuple(_make_row(server, changes.lapsed) for server in changes.servers)
    zones = tuple(sorted(changes.evacuated_zones))
    reply = ServersReply(changes.order, changes.whole, rows, changes.gone, zones)
    core.outbox.add(sender, reply)


def take_servers_reply(
    core: "RouterCore", sender: str, message: ServersReply, now_s: float
) -> None:
    """Take what a peer knows of the backend servers."""
    core.source_readers.next_query_s = now_s
    changes = ServerChanges(
        order=message.order,
        whole=message.whole,
        servers=tuple(_read_row(row) for row in message.rows),
        lapsed=frozenset(row.name for row in message.rows if row.lapsed),
        gone=message.gone,
        evacuated_zones=frozenset(message.evacuated_zones),
    )
    if take_changes(core.discovery, changes, knows_outage(core.source_readers, now_s), now_s):
        tell_servers(core, sender)
        _pass_on_news(core, sender)


def tell_servers(core: "RouterCore", source: str) -> None:
    """Tell the shell of changed backend servers, and let the leaving ones ride on probes."""
    known = core.discovery.known
    leaving = tuple(sorted(name for name, server in known.items() if server.leaving))
    for name in leaving:
        note_leaving(core.leaving_servers, LeavingRow(name, 0), count_news(core.table))
    order = core.discovery.source_order
    zones = tuple(sorted(core.discovery.evacuated_zones))
    core.actions.add(BackendServersChanged(tuple(known), leaving, order, source, zones))


def take_configuration(core: "RouterCore", result: Accepted | Rejected | None) -> None:
    """Tell the shell what became of a configuration."""
    if isinstance(result, Accepted):
        core.actions.add(ConfigurationChanged(result.configuration, result.source))
        if result.source != PLATFORM:
            _pass_on_news(core, result.source)
    if isinstance(result, Rejected):
        core.actions.add(ConfigurationRejected(result.number, result.findings))


def query_documents(core: "RouterCore", now_s: float) -> None:
    """Ask who offered a configuration, again and again, for what is missing of it."""
    offer = core.exchange.offer
    if offer is None or now_s < offer.next_query_s:
        return
    offer.next_query_s = now_s + DOCUMENT_QUERY_INTERVAL_S
    if offer.source == PLATFORM:
        for part in missing_parts(core.exchange):
            core.actions.add(FetchPart(part.key, part.digest))
        return
    core.outbox.add(offer.source, ConfigurationQuery(missing_digests(core.exchange)))


def _announce(core: "RouterCore") -> None:
    """Tell all routers at once where few read the source; elsewhere all read it anyway."""
    if core.options.source_readers:
        announce(core.probe_context())


def _pass_on_news(core: "RouterCore", source: str) -> None:
    """Tell the own zone what a router of another one has told, which told only a few here."""
    if core.options.source_readers and not core.is_in_own_zone(source):
        announce_near(core.probe_context())


def _make_row(server: BackendServer, lapsed: frozenset[str]) -> ServerRow:
    return ServerRow(
        name=server.name,
        pool=server.pool,
        address=server.address,
        availability_zone=server.availability_zone,
        slots=server.slots,
        checks_orders=server.checks_orders,
        leaving=server.leaving,
        instance=server.instance,
        lapsed=server.name in lapsed,
        cold_ms=server.cold_ms,
    )


def _read_row(row: ServerRow) -> BackendServer:
    return BackendServer(
        name=row.name,
        pool=row.pool,
        address=row.address,
        availability_zone=row.availability_zone,
        slots=row.slots,
        checks_orders=row.checks_orders,
        leaving=row.leaving,
        instance=row.instance,
        cold_ms=row.cold_ms,
    )
