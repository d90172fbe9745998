"""The commands of the operator's tool."""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, NoReturn

import typer
from result import Err, Result

from myrtlehook_core import Finding, load_settings
from myrtlehook_operator.connection.reads import STATUS_OK, read_answer
from myrtlehook_operator.process.loss_plots import plot_losses
from myrtlehook_operator.process.reports import (
    OUT,
    print_error,
    print_findings,
    print_json,
    print_losses,
    print_plan,
    print_request_events,
    print_shares,
    print_statuses,
)
from myrtlehook_operator.request.losses import LossReport, report_losses
from myrtlehook_operator.request.request_events import collect_events
from myrtlehook_operator.request.share_accounts import find_worst_shares
from myrtlehook_operator.version.intents import apply_intent, load_intent
from myrtlehook_operator.version.plans import (
    Plan,
    compute_manifest_digest,
    is_base_outdated,
    load_plan,
    make_plan,
    write_documents,
)
from myrtlehook_operator.version.published import Published, Unreachable, read_published

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3

STATUS_TIMEOUT_S = 3.0

app = typer.Typer(
    help="Operate a myrtlehook fleet: state an intent, read the plan, confirm it.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

Json = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
PlatformAddress = Annotated[
    str, typer.Option(help="IP number and port of the configuration service.")
]


def main() -> None:
    """Run the tool."""
    app()


@app.command(epilog="Example: myrtlehook check intent.json --kind intent")
def check(
    file: Annotated[Path, typer.Argument(help="JSON with comments.")],
    kind: Annotated[str, typer.Option(help="intent, plan or settings")] = "intent",
    as_json: Json = False,
) -> None:
    """Check a file and print every finding with its place; exit 2 if there are any."""
    checks = {"intent": load_intent, "plan": load_plan, "settings": load_settings}
    if kind not in checks:
        print_error(f"--kind: saw {kind!r}, expected one of {', '.join(checks)}")
        raise typer.Exit(EXIT_BAD_INPUT)
    loaded: Result[object, list[Finding]] = checks[kind](_read_file(file), file.name)
    findings = loaded.err_value if isinstance(loaded, Err) else []
    if as_json:
        print_json({"findings": [asdict(finding) for finding in findings]})
    elif findings:
        print_findings(findings)
    else:
        OUT.print(f"{file.name}: nothing found")
    if findings:
        raise typer.Exit(EXIT_BAD_INPUT)


@app.command(epilog="Example: myrtlehook explain 9c41d07be2a35f68 logs/*.log")
def explain(
    request_id: Annotated[str, typer.Argument(help="The request id from the answer.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of the routers.")],
    as_json: Json = False,
) -> None:
    """Show the events of a request from log files; exit 1 if there are none."""
    request_events = collect_events(request_id, [_read_file(path).splitlines() for path in logs])
    if as_json:
        print_json({"story": [asdict(event) for event in request_events]})
    else:
        print_request_events(request_events)
    if not request_events:
        print_error(
            f"{request_id}: not found in {len(logs)} log files; if it was refused in an overload,"
            " it is counted in a `requests refused` line, which lists only a few ids"
        )
        raise typer.Exit(EXIT_REFUSED)


@app.command(epilog="Example: myrtlehook losses logs/*.log --plot losses.png")
def losses(
    logs: Annotated[list[Path], typer.Argument(help="Log files of the routers.")],
    rows: Annotated[int, typer.Option(help="Maximum number of rows in each table.")] = 8,
    plot: Annotated[
        Path | None, typer.Option(help="Write a PNG plot of losses over time here.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Sum up lost requests from log files, the largest first; exit 1 if no request is found."""
    report = report_losses(_read_file(path).splitlines() for path in logs)
    shares = find_worst_shares(report.ends, report.begins_s)
    if as_json:
        tables = {name: [asdict(row) for row in found] for name, found in report.tables.items()}
        print_json(
            {
                "requests": report.requests,
                "lost": report.lost,
                "summed": report.summed,
                "dropped_lines": report.dropped_lines,
                "tables": tables,
                "shares": [asdict(account) | {"part": account.part} for account in shares],
            }
        )
    else:
        print_losses(report, rows)
        print_shares(shares[:rows])
    if plot is not None:
        _write_plot(report, plot)
    if not report.requests:
        print_error(f"no end of a request was found in {len(logs)} log files")
        raise typer.Exit(EXIT_REFUSED)


@app.command(epilog="Example: myrtlehook plan intent.json --platform 10.0.0.5:8500 --out plan.json")
def plan(
    intent: Annotated[Path, typer.Argument(help="The intent: JSON with comments.")],
    platform: PlatformAddress,
    out: Annotated[Path, typer.Option(help="Path of the plan file to write.")] = Path("plan.json"),
    as_json: Json = False,
) -> None:
    """Show what an intent would change, and write a plan file; nothing is published."""
    loaded = load_intent(_read_file(intent), intent.name)
    if isinstance(loaded, Err):
        _stop_with_findings(loaded.err_value)
    base = _read_base(platform)
    applied = apply_intent(base.part, loaded.ok_value, intent.name)
    if isinstance(applied, Err):
        _stop_with_findings(applied.err_value)
    new_plan = make_plan(base, applied.ok_value)
    if not new_plan.document.changes:
        _output_plan(new_plan, as_json)
        OUT.print("nothing changes; no plan file was written")
        return
    _write_plan(out, new_plan)
    _output_plan(new_plan, as_json)
    if not as_json:
        OUT.print(f"plan written to {out}; confirm it with: myrtlehook confirm {out}")


@app.command(
    epilog="Example: myrtlehook confirm plan.json --platform 10.0.0.5:8500 --out published"
)
def confirm(
    plan_file: Annotated[Path, typer.Argument(help="A file that `myrtlehook plan` wrote.")],
    platform: PlatformAddress,
    out: Annotated[Path, typer.Option(help="Folder under version control.")] = Path("published"),
    as_json: Json = False,
) -> None:
    """Write a plan's documents for version control, unless its base is no longer published."""
    loaded = load_plan(_read_file(plan_file), plan_file.name)
    if isinstance(loaded, Err):
        _stop_with_findings(loaded.err_value)
    document = loaded.ok_value
    base = _read_base(platform)
    if is_base_outdated(document, base):
        print_error(
            f"refused: the plan was made from version {document.base_number} "
            f"({document.base_digest[:12] or 'nothing'}), but version {base.number} "
            f"({base.digest[:12] or 'nothing'}) is published; plan again"
        )
        raise typer.Exit(EXIT_REFUSED)
    written = write_documents(document, out)
    if isinstance(written, Err):
        print_error(written.err_value)
        raise typer.Exit(EXIT_BAD_INPUT)
    paths = [str(path) for path in written.ok_value]
    if as_json:
        print_json(
            {
                "version": document.number,
                "digest": compute_manifest_digest(document),
                "written": paths,
            }
        )
        return
    for path in paths:
        OUT.print(f"wrote {path}", markup=False, highlight=False)
    OUT.print(f"commit these files; version {document.number} takes effect once they are published")


@app.command(epilog="Example: myrtlehook status 10.0.0.11:8081 10.0.0.12:8081")
def status(
    routers: Annotated[list[str], typer.Argument(help="Operator addresses of routers.")],
    as_json: Json = False,
) -> None:
    """Show owners of backend servers, queues, and the configuration version in force."""
    answers = {address: _read_status(address) for address in routers}
    seen = [answer for answer in answers.values() if answer is not None]
    silent = [address for address, answer in answers.items() if answer is None]
    if as_json:
        print_json({"routers": seen, "silent": silent})
    else:
        print_statuses(seen, silent)
    if silent:
        raise typer.Exit(EXIT_UNREACHABLE)


def _write_plot(report: LossReport, path: Path) -> None:
    try:
        plot_losses(report, path)
    except ImportError as error:
        print_error(f"--plot: matplotlib is not installed ({error}); install it with pip")
        raise typer.Exit(EXIT_BAD_INPUT) from error
    except OSError as error:
        print_error(f"{path}: {error}")
        raise typer.Exit(EXIT_BAD_INPUT) from error


def _read_status(address: str) -> dict[str, object] | None:
    read = read_answer(address, "/status", STATUS_TIMEOUT_S)
    if isinstance(read, Err) or read.ok_value.status != STATUS_OK:
        return None
    answer: dict[str, object] = json.loads(read.ok_value.content)
    return answer


def _read_file(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"{path}: {error}")
        raise typer.Exit(EXIT_BAD_INPUT) from error


def _read_base(platform: str) -> Published:
    read = read_published(platform)
    if not isinstance(read, Err):
        return read.ok_value
    failure = read.err_value
    if isinstance(failure, Unreachable):
        print_error(failure.message)
        raise typer.Exit(EXIT_UNREACHABLE)
    return _stop_with_findings(failure)


def _write_plan(path: Path, new_plan: Plan) -> None:
    try:
        path.write_text(new_plan.document.model_dump_json(indent=1) + "\n", encoding="utf-8")
    except OSError as error:
        print_error(f"{path}: {error}")
        raise typer.Exit(EXIT_BAD_INPUT) from error


def _output_plan(new_plan: Plan, as_json: bool) -> None:
    if not as_json:
        print_plan(new_plan)
        return
    print_json(
        {
            "base_number": new_plan.document.base_number,
            "number": new_plan.document.number,
            "changes": new_plan.document.changes,
            "entitlements": [asdict(item) for item in new_plan.entitlements],
            "warnings": new_plan.document.warnings,
        }
    )


def _stop_with_findings(findings: list[Finding]) -> NoReturn:
    print_findings(findings)
    raise typer.Exit(EXIT_BAD_INPUT)
