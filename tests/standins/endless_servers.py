"""A server, as a process of its own, that answers each request with bytes without end."""

import itertools
import socket
import sys
import threading

PIECE_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: sealed\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
UNFRAMED = HEAD + b"\r\n"

Answer = tuple[bytes, bytes]
"""The beginning of an answer, with a place for the request's id, and what follows it forever."""

ANSWERS: dict[str, Answer] = {
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with fields": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "a status line": (b"HTTP/1.1 200 ", b"O"),
    "bytes that are no head": (b"", b"\x00\xff."),
    "a field of its head": (HEAD + b"Filler: ", b"f"),
    "fields of its head": (HEAD, b"Filler: filler\r\n"),
    "long fields of its head": (HEAD, b"Filler: " + b"f" * 60_000 + b"\r\n"),
    "the size of a chunk": (CHUNKED, b"0"),
    "an extension of a chunk": (CHUNKED + b"5;", b"e"),
    "bytes that are no chunks": (CHUNKED, b"no chunk\r\n"),
    "a chunk that is longer than its size": (CHUNKED + b"5\r\n", b"c"),
    "fields after the last chunk": (CHUNKED + b"5\r\nwhole\r\n0\r\n", b"Filler: filler\r\n"),
    "bytes after its whole answer": (HEAD + b"Content-Length: 5\r\n\r\nwhole", b"more"),
    "an event": (EVENTS + b"id: 1\ndata: first\n\ndata: ", b"d"),
    "the id of an event": (EVENTS + b"id: 1\ndata: first\n\nid: ", b"1"),
    "events with long ids": (EVENTS, b"id: " + b"1" * 5000 + b"\ndata: d\n\n"),
    "a body without length": (UNFRAMED, b"body"),
}


def main() -> None:
    """Print the address, and answer until killed; each request is told on standard error."""
    beginning, rest = ANSWERS[sys.argv[1]]
    listener = socket.create_server(("127.0.0.1", 0))
    ip, port = listener.getsockname()
    print(f"{ip}:{port}", flush=True)
    while True:
        connection, _ = listener.accept()
        arguments = (connection, beginning, rest)
        threading.Thread(target=_serve, args=arguments, daemon=True).start()


def _serve(connection: socket.socket, beginning: bytes, rest: bytes) -> None:
    """Answer one request, and go on until its caller closes the connection."""
    try:
        attempt_id = read_attempt_id(connection)
        if not attempt_id:
            return
        print(attempt_id, file=sys.stderr, flush=True)
        head = beginning % attempt_id.encode() if b"%s" in beginning else beginning
        connection.sendall(head)
        piece = rest * (PIECE_BYTES // len(rest) + 1)
        for _ in itertools.count():
            connection.sendall(piece)
    except OSError:
        # The router has closed the connection.
        pass
    finally:
        connection.close()


def read_attempt_id(connection: socket.socket) -> str:
    """Read a request's head; returns its id, or nothing if the router leaves before."""
    received = b""
    while b"\r\n\r\n" not in received:
        piece = connection.recv(65_536)
        if not piece:
            return ""
        received += piece
    lines = received.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    return fields.get("attempt-id", "")


if __name__ == "__main__":
    main()
