"""Requests whose answers are cut, and what their clients hold beside what the servers wrote."""

import json
import random
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, replace
from typing import Any

from standins.attempts import make_headers, new_id
from standins.nodes import ROOT, Node, NodeFleet
from standins.processes import start_process
from standins.wire_answers import (
    ENDS,
    FRAMINGS,
    NOT_CUT,
    PATHS,
    PLAIN,
    STREAM,
    Plan,
    make_body_pieces,
    make_wire_pieces,
    read_answer,
)

MODEL_ENGINES = 4
PLAIN_SERVERS = 3
SLOTS = {"model": 16, "desk": 6}
AT_ONCE_S = 0.0
BACK_LATE_S = 0.4
TIMEOUT_S = 8.0
VERSIONS = ("1.1", "1.0")


@dataclass(frozen=True, slots=True)
class Case:
    """One request: its route, the client's protocol version, and the plan of its answer."""

    path: str
    version: str
    plan: Plan

    def __str__(self) -> str:
        plan = self.plan
        return f"{self.path} HTTP/{self.version} {plan.framing}, {plan.end} at {plan.cut}"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the client of a request held in the end."""

    case: Case
    attempt_id: str
    status: int
    """0 without a whole head."""
    content_bytes: int
    is_complete: bool
    """Whether the answer is framed as complete."""
    is_whole: bool
    """Whether the body is the whole one, with no piece missing or repeated."""
    whole_at_s: float
    """When the last byte of the body had arrived, if all did."""
    ended_at_s: float
    lasted_s: float = 0.0
    """From the sending of the request until its connection ended."""

    @property
    def looks_complete(self) -> bool:
        """Return whether the client took the answer for a complete success."""
        return self.status == 200 and self.is_complete

    def __str__(self) -> str:
        end = "complete" if self.is_complete else "broken off"
        return f"{self.case}: status {self.status}, {self.content_bytes} bytes, {end}"


def start_raw_servers(
    nodes: NodeFleet, back_after_s: Sequence[float], software_versions: int = 1
) -> None:
    """Start an emulated store and servers as processes of their own, which the store lists.

    :param back_after_s: how long after its end each process starts again, in turn.
    :param software_versions: how many versions the servers have, in turn.
    """
    nodes.addresses = nodes.start_emulator(["--engines", "0", "--services", "0"])
    external = {}
    for number in range(MODEL_ENGINES + PLAIN_SERVERS):
        service = "model" if number < MODEL_ENGINES else "desk"
        delay_s = back_after_s[number % len(back_after_s)]
        external[f"i-raw-{number}"] = {
            "service": service,
            "address": _start_server(nodes, delay_s),
            "slots": SLOTS[service],
            "software_version": f"v{number % software_versions}",
        }
    nodes.order(external=external)


def _start_server(nodes: NodeFleet, back_after_s: float) -> str:
    """Start one server; returns its address."""
    folder = nodes.folder / "runs"
    folder.mkdir(exist_ok=True)
    process = start_process(
        [sys.executable, "-m", "standins.raw_engines"]
        + ["--folder", str(folder), "--back-after-s", str(back_after_s)],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    nodes.processes.append(process)
    assert process.stdout is not None
    return process.stdout.readline().decode().strip()


def send_cases(nodes: Sequence[Node], cases: Iterable[Case], at_once: int = 1) -> list[Outcome]:
    """Send requests to routers in turn, some at once; returns their outcomes.

    The clients are a process of their own, as eventlet's sockets do not tell a reset from a regular
    end.
    """
    order = {
        "routers": [(node.ip, node.front_port) for node in nodes],
        "cases": [(new_id(), asdict(case)) for case in cases],
        "at_once": at_once,
    }
    command = [sys.executable, "-W", "ignore", "-m", "standins.cut_answers"]
    process = start_process(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT)
    output, _ = process.communicate(json.dumps(order).encode())
    return [
        Outcome(**{**fields, "case": _read_case(fields["case"])}) for fields in json.loads(output)
    ]


def _read_case(fields: dict[str, Any]) -> Case:
    return Case(**{**fields, "plan": Plan(**fields["plan"])})


def main() -> None:
    """Send the requests of one order, and print their outcomes."""
    order = json.load(sys.stdin)
    waiting = list(enumerate(order["cases"]))[::-1]
    outcomes: list[Outcome] = []

    def work() -> None:
        while waiting:
            try:
                number, (attempt_id, fields) = waiting.pop()
            except IndexError:
                return
            address = order["routers"][number % len(order["routers"])]
            outcomes.append(_send_case(tuple(address), attempt_id, _read_case(fields)))

    threads = [threading.Thread(target=work, daemon=True) for _ in range(order["at_once"])]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps([asdict(outcome) for outcome in outcomes]))


def _send_case(address: tuple[str, int], attempt_id: str, case: Case) -> Outcome:
    """Send one request on a connection of its own, and read until the connection ends."""
    tokens = "300,36" if PATHS[case.path] == STREAM else ""
    headers = make_headers(attempt_id, "planners", tokens, f"{attempt_id}:300" if tokens else "")
    body = replace(case.plan, label=attempt_id).encode()
    headers |= {"Connection": "close", "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    raw, was_reset = b"", False
    arrivals: list[tuple[float, int]] = []
    sent_at_s = time.monotonic()
    with socket.create_connection(address, timeout=TIMEOUT_S) as connection:
        connection.sendall(f"POST {case.path} HTTP/{case.version}\r\n{lines}\r\n".encode() + body)
        try:
            while piece := connection.recv(262144):
                raw += piece
                arrivals.append((time.monotonic(), len(raw)))
        except (ConnectionResetError, TimeoutError):
            was_reset = True
    ended_at_s = time.monotonic()
    received = read_answer(raw, was_reset)
    whole = b"".join(make_body_pieces(case.plan, attempt_id))
    is_whole = received.content == whole
    return Outcome(
        case=case,
        attempt_id=attempt_id,
        status=received.status,
        content_bytes=len(received.content),
        is_complete=received.complete,
        is_whole=is_whole,
        whole_at_s=_find_whole(raw, arrivals, whole) if is_whole else 0.0,
        ended_at_s=ended_at_s,
        lasted_s=ended_at_s - sent_at_s,
    )


def _find_whole(raw: bytes, arrivals: Iterable[tuple[float, int]], whole: bytes) -> float:
    """Return when the last byte of the body had arrived."""
    return next(
        at_s for at_s, arrived in arrivals if read_answer(raw[:arrived], True).content == whole
    )


def find_false_ends(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return the answers that look complete and are not the server's whole body."""
    return [one for one in outcomes if one.looks_complete and not one.is_whole]


def find_lost_answers(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return the answers that their server wrote whole and that did not reach the client so."""
    return [
        one
        for one in outcomes
        if one.case.plan.end == "whole" and not (one.looks_complete and one.is_whole)
    ]


def list_cuts(path: str, framing: str) -> list[int]:
    """Return the bytes at which an answer can be cut before its end, in order."""
    kind = PATHS[path]
    wire = make_wire_pieces(Plan(kind, framing, "whole"), "a" * 16)
    return list(range(1, sum(map(len, wire))))


def list_event_ends(path: str, framing: str) -> list[int]:
    """Return the bytes at which an answer is cut between two pieces, before the first included."""
    wire = make_wire_pieces(Plan(PATHS[path], framing, "whole"), "a" * 16)
    ends = [sum(map(len, wire[: number + 1])) for number in range(len(wire))]
    # Without length or chunks the last piece ends the answer.
    return ends[: Plan("", "", "").pieces]


def is_detectable(case: Case) -> bool:
    """Return whether anything tells that the answer was cut.

    Where a server that lives ends one connection regularly, at a byte at which an answer without
    length or chunks might end, nothing does: this is the protocol's own sign of a whole answer.
    """
    plan = case.plan
    if plan.framing != "none" or plan.end != "close":
        return True
    head_bytes = len(make_wire_pieces(plan, "a" * 16)[0])
    inside_body = plan.cut >= head_bytes
    if plan.kind != STREAM:
        return not inside_body
    return plan.cut not in list_event_ends(case.path, plan.framing)


def draw_cases(seed: int, count: int) -> list[Case]:
    """Draw requests of each route, client version, framing, end and byte."""
    draw = random.Random(seed)
    cases: list[Case] = []
    while len(cases) < count:
        path = draw.choice([path for path in PATHS if PATHS[path] in (STREAM, PLAIN)])
        framing = draw.choice(FRAMINGS)
        end = draw.choice(ENDS)
        cut = NOT_CUT
        if end in ("process", "close", "reset"):
            cuts = draw.choice((list_cuts(path, framing), list_event_ends(path, framing)))
            cut = draw.choice(cuts)
        plan = Plan(PATHS[path], framing, end, cut, pause_ms=draw.choice((1.0, 4.0, 10.0)))
        case = Case(path, draw.choice(VERSIONS), plan)
        if is_detectable(case):
            cases.append(case)
    return cases


if __name__ == "__main__":
    main()
