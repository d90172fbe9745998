"""A server, as processes of its own, that frames and ends each answer as the request's plan says.

A supervisor starts the process again when it has ended: at once, at a listening socket that never
closes, or late, so that nothing listens in between.
"""

import argparse
import os
import signal
import socket
import struct
import threading
import time
from pathlib import Path

from standins.wire_answers import LATE_END, NOT_CUT, SILENT, Plan, decode_plan, make_wire_pieces

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HELD_S = 1.0
"""How long an answer's connection stays open after its last byte, if its plan says so."""

IDLE_S = 2.0
"""How long a connection may wait for a request."""

RETRANSMISSION_S = 0.2
"""How late the end of a connection arrives whose packet was lost once: Linux' shortest time-out."""

STOP_S = 0.02
"""Time for a signal that stops a process to reach all of its threads."""

READ_S = 0.05
"""Time for what was sent to be read before a reset discards it."""


def main() -> None:
    """Print the address, and supervise the process until the supervisor is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--folder", required=True, help="where runs are recorded")
    parser.add_argument("--back-after-s", type=float, default=0.0)
    arguments = parser.parse_args()
    listener = socket.create_server((arguments.ip, 0))
    address = listener.getsockname()
    print(f"{address[0]}:{address[1]}", flush=True)
    while True:
        child = os.fork()
        if child == 0:
            signal.signal(signal.SIGCHLD, signal.SIG_IGN)
            _die_with_parent(os.getppid())
            RawEngine(listener, Path(arguments.folder)).serve_forever()
        if arguments.back_after_s:
            listener.close()
        os.waitpid(child, 0)
        if arguments.back_after_s:
            time.sleep(arguments.back_after_s)
            listener = socket.create_server(address)


def _die_with_parent(parent: int) -> None:
    """End this process when its supervisor has ended."""

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(0.5)
        os._exit(0)

    threading.Thread(target=watch, daemon=True).start()


class RawEngine:
    """The server's process: one thread a connection."""

    def __init__(self, listener: socket.socket, folder: Path) -> None:
        self._listener = listener
        self._folder = folder
        self._connections: list[socket.socket] = []

    def serve_forever(self) -> None:
        """Accept connections until the process ends."""
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            while self._answer_request(connection):
                pass
        except OSError:
            # The router has closed the connection.
            pass
        self._connections.remove(connection)
        connection.close()

    def _answer_request(self, connection: socket.socket) -> bool:
        """Answer one request; returns whether the connection carries another one."""
        fields, body = _read_request(connection)
        if not body:
            return False
        plan = decode_plan(body)
        attempt_id = fields["attempt-id"]
        wire = make_wire_pieces(plan, attempt_id, int(fields.get("last-event-id", "0")))
        is_first = self._record_run(attempt_id)
        is_silent = plan.end == SILENT and (is_first or plan.silent_again)
        ends_early = is_first and plan.cut != NOT_CUT and plan.end != SILENT
        if is_silent:
            wire = _write_first_pieces(connection, wire, plan)
            _stand_still(plan.silent_ms / 1000.0)
        _write_pieces(connection, wire, plan, plan.cut if ends_early else sum(map(len, wire)))
        if is_first:
            (self._folder / attempt_id).write_text(f"{plan.end} by {os.getpid()} {time.time()}")
        if is_first and plan.end == LATE_END:
            _end_with_one_late(connection, self._connections)
        if is_first and plan.end.startswith("process"):
            os.kill(os.getpid(), signal.SIGKILL)
        if is_first and plan.end == "reset":
            time.sleep(READ_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        if plan.holds_end:
            time.sleep(HELD_S)
        return not ends_early and plan.framing != "none"

    def _record_run(self, attempt_id: str) -> bool:
        """Record a run; returns whether it is the request's first one at any server."""
        try:
            (self._folder / attempt_id).touch(exist_ok=False)
        except FileExistsError:
            return False
        return True


def _write_first_pieces(connection: socket.socket, wire: list[bytes], plan: Plan) -> list[bytes]:
    """Write an answer up to its cut; returns what is left of it."""
    _write_pieces(connection, wire, plan, plan.cut)
    written, left = 0, []
    for piece in wire:
        rest = piece[max(plan.cut - written, 0) :]
        written += len(piece)
        if rest:
            left.append(rest)
    return left


def _stand_still(seconds: float) -> None:
    """Stop this process, with all of its threads, for some time."""
    server = os.getpid()
    if os.fork() == 0:
        time.sleep(seconds)
        os.kill(server, signal.SIGCONT)
        os._exit(0)
    os.kill(server, signal.SIGSTOP)
    # The signal may stop this thread last.
    time.sleep(STOP_S)


def _end_with_one_late(connection: socket.socket, connections: list[socket.socket]) -> None:
    """End this process; of its other connections to the same router, one ends a little later."""
    router = connection.getpeername()[0]
    others = [one for one in connections if one is not connection and _find_peer(one) == router]
    kept = others[0].fileno() if others else -1
    server = os.getpid()
    if os.fork() == 0:
        limit = os.sysconf("SC_OPEN_MAX")
        os.closerange(3, max(kept, 3))
        os.closerange(max(kept + 1, 3), limit)
        os.kill(server, signal.SIGKILL)
        time.sleep(RETRANSMISSION_S)
        os._exit(0)
    time.sleep(RETRANSMISSION_S)


def _find_peer(connection: socket.socket) -> str:
    try:
        return str(connection.getpeername()[0])
    except OSError:
        # It has ended meanwhile.
        return ""


def _write_pieces(connection: socket.socket, wire: list[bytes], plan: Plan, limit: int) -> None:
    """Write an answer piece by piece, up to a number of bytes."""
    for piece in wire:
        if limit <= 0:
            return
        connection.sendall(piece[:limit])
        limit -= len(piece)
        if limit > 0:
            time.sleep(plan.pause_ms / 1000.0)


def _read_request(connection: socket.socket) -> tuple[dict[str, str], bytes]:
    """Read one request; returns its header fields and its body, nothing once the router leaves."""
    received = b""
    connection.settimeout(IDLE_S)
    while b"\r\n\r\n" not in received:
        piece = connection.recv(65536)
        if not piece:
            return {}, b""
        received += piece
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:]
    fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    connection.settimeout(None)
    while len(body) < int(fields.get("content-length", "0")):
        body += connection.recv(65536)
    return fields, body


if __name__ == "__main__":
    main()
