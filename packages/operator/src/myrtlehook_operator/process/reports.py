"""The tool's output: tables for people, JSON for programs."""

import json
from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

from myrtlehook_core import Finding
from myrtlehook_operator.process.statuses import list_engine_rows, list_request_rows
from myrtlehook_operator.request.losses import LossReport
from myrtlehook_operator.request.request_events import RequestEvent
from myrtlehook_operator.request.share_accounts import SPAN_S, ShareAccount
from myrtlehook_operator.version.plans import Plan

OUT = Console()
ERR = Console(stderr=True)


def print_json(content: Any) -> None:
    """Print one JSON value."""
    print(json.dumps(content, indent=2))


def print_findings(findings: Sequence[Finding]) -> None:
    """Print each finding on a line."""
    for finding in findings:
        ERR.print(str(finding), markup=False, highlight=False, soft_wrap=True)


def print_error(message: str) -> None:
    """Print one error."""
    ERR.print(message, markup=False, highlight=False, soft_wrap=True)


def print_plan(plan: Plan) -> None:
    """Print a plan's changes, the changed entitlements and the warnings."""
    document = plan.document
    OUT.print(f"version {document.base_number} -> {document.number}")
    for change in document.changes:
        OUT.print(f"  {change}", markup=False, highlight=False, soft_wrap=True)
    if plan.entitlements:
        OUT.print(_make_entitlement_table(plan))
    for warning in document.warnings:
        OUT.print(f"warning: {warning}", markup=False, highlight=False, soft_wrap=True)


def print_statuses(statuses: Sequence[dict[str, Any]], silent: Sequence[str]) -> None:
    """Print routers, backend servers, queues, engines and what callers got of a fleet."""
    OUT.print(_make_router_table(statuses))
    OUT.print(_make_server_table(statuses))
    OUT.print(_make_queue_table(statuses))
    for rows in (list_engine_rows(statuses), *list_request_rows(statuses)):
        if rows:
            OUT.print(_make_figures_table(rows))
    for address in silent:
        OUT.print(f"no answer from {address}", markup=False, highlight=False)
    versions = {
        (status["configuration_number"], status["configuration_digest"]) for status in statuses
    }
    if len(versions) > 1:
        OUT.print(f"warning: {len(versions)} configuration versions are in force")


def _make_entitlement_table(plan: Plan) -> Table:
    table = Table("workspace", "pool", "slots before", "slots after", "change")
    for item in plan.entitlements:
        change = item.slots_after - item.slots_before
        table.add_row(
            item.workspace,
            item.pool,
            f"{item.slots_before:.2f}",
            f"{item.slots_after:.2f}",
            f"{change:+.2f}",
        )
    return table


def _make_router_table(statuses: Sequence[dict[str, Any]]) -> Table:
    table = Table("vm", "version", "from", "queued", "running", "peers alive", "draining")
    for status in statuses:
        alive = sum(1 for peer in status["peers"] if peer["state"] == "alive")
        table.add_row(
            status["vm"],
            f"{status['configuration_number']} {status['configuration_digest'][:8]}",
            status["configuration_source"],
            str(status["queued_requests"]),
            str(status["running_requests"]),
            f"{alive} of {len(status['peers'])}",
            "yes" if status["draining"] else "no",
        )
    return table


def _make_server_table(statuses: Sequence[dict[str, Any]]) -> Table:
    table = Table("backend server", "pool", "owner", "held", "slots", "foreign", "leaving")
    for status in statuses:
        for server in status["servers"]:
            if server["owner"] != status["vm"]:
                continue
            table.add_row(
                server["backend_server"],
                server["pool"],
                server["owner"],
                str(server["held_slots"]),
                str(server["slots"]),
                str(server["foreign_requests"]),
                "yes" if server["leaving"] else "no",
            )
    return table


def _make_queue_table(statuses: Sequence[dict[str, Any]]) -> Table:
    table = Table("workspace", "pool", "vm", "queued", "running", "virtual service", "served here")
    rows = [(queue, status["vm"]) for status in statuses for queue in status["queues"]]
    for queue, vm in sorted(rows, key=lambda row: (row[0]["pool"], row[0]["workspace"], row[1])):
        table.add_row(
            queue["workspace"],
            queue["pool"],
            vm,
            str(queue["queued_requests"]),
            str(queue["running_requests"]),
            f"{queue['virtual_service_units']:.0f}",
            f"{queue['served_here_units']:.0f}",
        )
    return table


def _make_figures_table(rows: Sequence[dict[str, Any]]) -> Table:
    """Make a table with a column for each figure that any router reports."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = Table(*(name.replace("_", " ") for name in columns))
    for row in rows:
        table.add_row(*(str(row.get(name, "")) for name in columns))
    return table


def print_request_events(request_events: list[RequestEvent]) -> None:
    """Print each log event of a request on a line."""
    for event in request_events:
        facts = "  ".join(f"{name}={value}" for name, value in event.facts)
        OUT.print(f"{event.timestamp}  {event.vm}  {event.event}: {facts}", soft_wrap=True)
    for cause in (event.cause for event in request_events if event.cause is not None):
        facts = f" ({cause.facts})" if cause.facts else ""
        OUT.print(f"{cause.kind}: {cause.reason}{facts}", soft_wrap=True)


def print_losses(report: LossReport, max_rows: int) -> None:
    """Print the lost requests in one table for each dimension."""
    OUT.print(f"{report.lost} of {report.requests} requests had a loss")
    if report.summed:
        OUT.print(
            f"{report.summed} of them were refused and are logged only in sums, without their ids"
        )
    for vm, lines in sorted(report.dropped_lines.items()):
        OUT.print(f"the log of {vm} is incomplete: it could not write {lines} lines")
    for dimension, losses in report.tables.items():
        table = Table(dimension, "kind", "reason", "requests", "prompt tokens", "explain")
        for loss in losses[:max_rows]:
            table.add_row(
                loss.place,
                str(loss.kind),
                loss.reason,
                str(loss.requests),
                str(loss.tokens),
                loss.example,
            )
        OUT.print(table)
        if len(losses) > max_rows:
            OUT.print(f"{len(losses) - max_rows} more")


def print_shares(accounts: Sequence[ShareAccount]) -> None:
    """Print the requested and received tokens of the worst served workspaces."""
    if not accounts:
        return
    OUT.print(f"shares over {SPAN_S} s of workspaces that were refused requests in each second")
    table = Table(
        "workspace", "from second", "asked", "received", "best received", "part", "refused"
    )
    for account in accounts:
        refused = ", ".join(f"{name} {count}" for name, count in account.refused_tokens.items())
        table.add_row(
            account.workspace,
            str(account.begins_s),
            str(account.asked_tokens),
            str(account.received_tokens),
            str(account.best_received_tokens),
            f"{account.part:.2f}",
            refused,
        )
    OUT.print(table)
