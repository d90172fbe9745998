"""Handlers for what the configuration source publishes, read here or received from peers."""

from typing import TYPE_CHECKING

from myrtlehook_core.process import events
from myrtlehook_core.process.actions import (
    BackendServersChanged,
    ConfigurationChanged,
    ConfigurationHeard,
    ConfigurationRejected,
    FetchPart,
    ReadSource,
    SourceReaderChanged,
)
from myrtlehook_core.process.held_off_servers import announce_new_holdoffs, apply_holdoff_rows
from myrtlehook_core.process.leaving_servers import record_leaving
from myrtlehook_core.process.members import compute_news_sends
from myrtlehook_core.process.membership_messages import LeavingRow, News
from myrtlehook_core.process.messages import ConfigurationQuery
from myrtlehook_core.process.probing import announce_news, announce_news_in_zone
from myrtlehook_core.process.server_beliefs import LearnedBy, update_beliefs
from myrtlehook_core.process.source_messages import ServerRow, ServersQuery, ServersReply
from myrtlehook_core.process.source_outages import (
    apply_proof,
    find_return_deadline_s,
    record_failed_call,
    record_own_proof,
)
from myrtlehook_core.process.source_readers import (
    apply_reader_rows,
    find_readers_before,
    record_answer,
    update_reading,
    withdraw_if_silent,
)
from myrtlehook_core.version.configurations import BackendServer, ConfigurationVersion
from myrtlehook_core.version.discovery import (
    RETURN_GRACE_S,
    ServerChanges,
    apply_server_changes,
    apply_server_list,
    collect_server_changes,
    expire_deadlines,
)
from myrtlehook_core.version.exchange import (
    Accepted,
    Rejected,
    handle_document,
    list_missing_digests,
    list_missing_parts,
    record_advertised_version,
)

if TYPE_CHECKING:
    from myrtlehook_core.process.routers import RouterCore

PLATFORM = "platform"

DOCUMENT_QUERY_INTERVAL_S = 0.5
"""How often missing documents of a configuration are asked for."""

SERVERS_QUERY_INTERVAL_S = 0.1
"""The shortest interval between queries to peers that know newer backend servers."""


def on_configuration(core: "RouterCore", event: events.ConfigurationRead, now_s: float) -> None:
    """Apply a whole configuration as the source publishes it, and announce it if it is new."""
    result = handle_document(core.exchange, event.text, PLATFORM)
    report_configuration(core, result)
    if isinstance(result, Accepted):
        _announce_source_news(core)


def on_servers(core: "RouterCore", event: events.BackendServersRead, now_s: float) -> None:
    """Apply the source's list of backend servers, and announce changes."""
    _record_covered_notices(core, event)
    return_deadline_s = find_return_deadline_s(core.source_outages, now_s)
    zones = event.evacuated_zones
    if apply_server_list(
        core.discovery, event.servers, return_deadline_s, now_s, event.source_order, zones
    ):
        report_servers(core, PLATFORM)
        announce_new_holdoffs(core, PLATFORM)
        _announce_source_news(core)
        update_beliefs(core, LearnedBy.ENTRY, PLATFORM, now_s)


def on_source_answered(core: "RouterCore", event: events.SourceAnswered, now_s: float) -> None:
    """Record that the source answers this router; announce it after reports were withdrawn."""
    if record_answer(core.source_readers, now_s):
        _announce_own_reading(core, is_answered=True)
    asked_at_s = now_s if event.asked_at_s is None else event.asked_at_s
    record_own_proof(core.source_outages, asked_at_s, core.options.lapse_after_s)


def on_source_failed(core: "RouterCore", event: events.SourceFailed, now_s: float) -> None:
    """Record that the source does not answer this router."""
    if event.asked_at_s is None or event.asked_at_s >= core.resumed_at_s:
        # A call from before a pause of this process may have failed because of the pause.
        record_failed_call(core.source_outages)


def tick_source(core: "RouterCore", now_s: float) -> None:
    """Withdraw reports if the source is silent, and decide whether this router reads it."""
    if withdraw_if_silent(core.source_readers, core.options, now_s):
        _announce_own_reading(core, is_answered=False)
    if update_reading(core.source_readers, core.table, core.options, now_s):
        before = find_readers_before(core.source_readers, core.table, core.options, now_s)
        core.actions.add(ReadSource(core.source_readers.reading, before))


def sweep_source(core: "RouterCore", now_s: float) -> None:
    """Ask again for missing documents, and drop servers whose lapsed entries did not return."""
    query_missing_documents(core, now_s)
    if expire_deadlines(core.discovery, now_s):
        report_servers(core, PLATFORM)
        update_beliefs(core, LearnedBy.DEADLINE, PLATFORM, now_s)


def apply_source_news(core: "RouterCore", sender: str, news: News, now_s: float) -> None:
    """Apply a peer's news of the source, and ask the peer for what this router lacks."""
    version = ConfigurationVersion(news.configuration_number, news.configuration_digest)
    heard_before = core.exchange.offer is not None and core.exchange.offer.version == version
    if record_advertised_version(core.exchange, version, sender):
        if not heard_before:
            current_number = core.exchange.current.version.number
            core.actions.add(ConfigurationHeard(version, sender, current_number))
        query_missing_documents(core, now_s)
    apply_holdoff_rows(core, sender, news.held_off, now_s)
    apply_proof(core.source_outages, news.proof, core.options.lapse_after_s, now_s)
    own_id = core.identity.router_id
    for reader in apply_reader_rows(core.source_readers, own_id, sender, news.readers, now_s):
        core.actions.add(SourceReaderChanged(reader, sender, is_answered=False))
    lacking = news.servers_order > core.discovery.source_order
    if lacking and now_s >= core.source_readers.next_query_s:
        core.source_readers.next_query_s = now_s + SERVERS_QUERY_INTERVAL_S
        core.outbox.add(sender, ServersQuery(core.discovery.source_order))


def handle_servers_query(
    core: "RouterCore", sender: str, message: ServersQuery, now_s: float
) -> None:
    """Send a peer the changes of backend servers that it asks for."""
    changes = collect_server_changes(core.discovery, message.known_order)
    deadlines_s = changes.lapsed_deadlines_s
    rows = tuple(
        _make_server_row(server, deadlines_s.get(server.name), now_s) for server in changes.servers
    )
    zones = tuple(sorted(changes.evacuated_zones))
    reply = ServersReply(changes.order, changes.whole, rows, changes.gone, zones)
    core.outbox.add(sender, reply)


def handle_servers_reply(
    core: "RouterCore", sender: str, message: ServersReply, now_s: float
) -> None:
    """Apply the changes of backend servers that a peer knows."""
    core.source_readers.next_query_s = now_s
    changes = ServerChanges(
        order=message.order,
        whole=message.whole,
        servers=tuple(_parse_server_row(row) for row in message.rows),
        lapsed_deadlines_s={
            row.name: now_s + _find_time_to_return_s(row) for row in message.rows if row.lapsed
        },
        gone=message.gone,
        evacuated_zones=frozenset(message.evacuated_zones),
    )
    return_deadline_s = find_return_deadline_s(core.source_outages, now_s)
    if apply_server_changes(core.discovery, changes, return_deadline_s, now_s):
        report_servers(core, sender)
        announce_new_holdoffs(core, sender)
        _relay_source_news(core, sender)
        update_beliefs(core, LearnedBy.PEER, sender, now_s)


def report_servers(core: "RouterCore", source: str) -> None:
    """Report changed backend servers to the shell, and record the leaving ones as news."""
    known = core.discovery.known
    leaving = tuple(sorted(name for name, server in known.items() if server.leaving))
    for name in leaving:
        record_leaving(core.leaving_servers, LeavingRow(name, 0), compute_news_sends(core.table))
    order = core.discovery.source_order
    zones = tuple(sorted(core.discovery.evacuated_zones))
    core.actions.add(BackendServersChanged(tuple(known), leaving, order, source, zones))


def report_configuration(core: "RouterCore", result: Accepted | Rejected | None) -> None:
    """Report to the shell that a configuration was accepted or rejected."""
    if isinstance(result, Accepted):
        core.actions.add(ConfigurationChanged(result.configuration, result.source))
        if result.source != PLATFORM:
            _relay_source_news(core, result.source)
    if isinstance(result, Rejected):
        core.actions.add(ConfigurationRejected(result.number, result.findings, result.source))


def query_missing_documents(core: "RouterCore", now_s: float) -> None:
    """Ask the router or platform that offered a configuration for its missing parts, if due."""
    offer = core.exchange.offer
    if offer is None or now_s < offer.next_query_s:
        return
    offer.next_query_s = now_s + DOCUMENT_QUERY_INTERVAL_S
    if offer.source == PLATFORM:
        for part in list_missing_parts(core.exchange):
            core.actions.add(FetchPart(part.key, part.digest))
        return
    core.outbox.add(offer.source, ConfigurationQuery(list_missing_digests(core.exchange)))


def _announce_source_news(core: "RouterCore") -> None:
    """Announce news at once if only a few routers read the source; otherwise all read it anyway."""
    if core.options.source_readers:
        announce_news(core.probe_context())


def _announce_own_reading(core: "RouterCore", is_answered: bool) -> None:
    """Announce whether the source answers this router."""
    own_id = core.identity.router_id
    core.actions.add(SourceReaderChanged(own_id, own_id, is_answered))
    _announce_source_news(core)


def _relay_source_news(core: "RouterCore", source: str) -> None:
    """Announce news from another zone to the own one, where only a few received it."""
    if core.options.source_readers and not core.is_in_own_zone(source):
        announce_news_in_zone(core.probe_context())


def _record_covered_notices(core: "RouterCore", event: events.BackendServersRead) -> None:
    """Record servers that announced that they leave just before their entries went."""
    for name in event.left_after_notice:
        record_leaving(core.leaving_servers, LeavingRow(name, 0), compute_news_sends(core.table))


def _find_time_to_return_s(row: ServerRow) -> float:
    """Return how long a server's missing entry may still return."""
    if row.gone_in_ms < 0:
        return RETURN_GRACE_S
    return min(row.gone_in_ms / 1000.0, RETURN_GRACE_S)


def _make_server_row(
    server: BackendServer, lapsed_deadline_s: float | None, now_s: float
) -> ServerRow:
    is_lapsed = lapsed_deadline_s is not None
    left_s = 0.0 if lapsed_deadline_s is None else max(lapsed_deadline_s - now_s, 0.0)
    return ServerRow(
        name=server.name,
        pool=server.pool,
        address=server.address,
        availability_zone=server.availability_zone,
        slots=server.slots,
        checks_orders=server.checks_orders,
        leaving=server.leaving,
        instance=server.instance,
        lapsed=is_lapsed,
        cold_ms=server.cold_ms,
        software_version=server.software_version,
        gone_in_ms=round(left_s * 1000.0) if is_lapsed else -1,
    )


def _parse_server_row(row: ServerRow) -> BackendServer:
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
        software_version=row.software_version,
    )
