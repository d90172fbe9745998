"""A demo: three routers on the emulated platform, real requests, and lines of a router's log."""

import json

from rich.console import Console
from rich.table import Table

from standins.attempts import Attempt, make_headers, new_id, send
from standins.nodes import NodeFleet, fetch

OUT = Console()
REQUESTS = (
    ("planners", "POST", "/diagnosis/pump", "900,30"),
    ("dispatch", "POST", "/summary/week", "400,12"),
    ("planners", "POST", "/valve/7", ""),
    ("dispatch", "GET", "/setpoint/7", ""),
    ("a-stranger", "GET", "/setpoint/7", ""),
)


def main() -> None:
    """Start everything, send one request of each kind, and print its outcome."""
    OUT.print("starting a platform, 2 engines, 1 plain service and 3 routers ...")
    fleet = NodeFleet()
    try:
        fleet.start(routers=3)
        table = Table("router", "request", "status", "answer", "run")
        for number, (workspace, method, path, tokens) in enumerate(REQUESTS):
            node = fleet.nodes[number % len(fleet.nodes)]
            headers = make_headers(new_id(), workspace, tokens, "c1:200" if tokens else "")
            attempt = send(node, method, path, headers, b"text" if method == "POST" else b"")
            runs = fleet.count_runs(attempt.attempt_id)
            table.add_row(
                node.name, f"{method} {path}", str(attempt.status), _shorten(attempt), str(runs)
            )
        OUT.print(table)
        _print_log(fleet)
    finally:
        fleet.stop()


def _shorten(attempt: Attempt) -> str:
    text = attempt.body.decode(errors="replace").replace("\n", " ")
    return text if len(text) <= 60 else text[:57] + "..."


def _print_log(fleet: NodeFleet) -> None:
    node = fleet.nodes[0]
    lines = [line for line in node.log_path.read_text().splitlines() if "request ended" in line]
    OUT.print(f"from the log of {node.name}:")
    for line in lines[:2]:
        OUT.print_json(json.dumps(json.loads(line)))
    _, body = fetch(node.ip, 9464, "/metrics")
    counters = [line for line in body.decode().splitlines() if "outcome" in line]
    OUT.print("from its metrics:", *counters, sep="\n  ")


if __name__ == "__main__":
    main()
