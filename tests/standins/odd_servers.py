"""Servers, as a process of their own, whose answers are odd in one part.

The path names the part, or each server has a part of its own. Each request is told on standard
error.
"""

import socket
import sys
import threading
from urllib.parse import unquote

SEAL = "Response-Seal: sealed\r\n"
BODY = b"body"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"4\r\nbody\r\n0\r\n"

FIELD_LINES: dict[str, bytes] = {
    "a blank in a name": b"Odd Name: x\r\n",
    "a tab in a name": b"Odd\tName: x\r\n",
    "a blank before the colon": b"Odd : x\r\n",
    "a tab before the colon": b"Odd\t: x\r\n",
    "NUL in a name": b"Odd\x00Name: x\r\n",
    "a control byte in a name": b"Odd\x01Name: x\r\n",
    "a vertical tab in a name": b"Odd\x0bName: x\r\n",
    "a form feed in a name": b"Odd\x0cName: x\r\n",
    "a separator in a name": b"Odd\x1cName: x\r\n",
    "DEL in a name": b"Odd\x7fName: x\r\n",
    "a carriage return in a name": b"Odd\rName: x\r\n",
    "a byte beyond ASCII in a name": b"Odd\xe9Name: x\r\n",
    "a parenthesis in a name": b"Odd(Name: x\r\n",
    "no name": b": x\r\n",
    "no colon": b"Odd\r\n",
    "NUL in a value": b"Odd: x\x00y\r\n",
    "a control byte in a value": b"Odd: x\x01y\r\n",
    "a carriage return in a value": b"Odd: x\ry\r\n",
    "a field behind a carriage return": b"Odd: x\rResponse-Seal: other\r\n",
    "DEL in a value": b"Odd: x\x7fy\r\n",
}
SOUND_LINES: dict[str, bytes] = {
    "a sound field": b"Odd: x\r\n",
    "a long run of blanks": b"Odd: x" + b" " * 60_000 + b"y\r\n",
    "a value beyond ASCII": b"Odd: \xe9\r\n",
    "a folded value": b"Odd: x\r\n  y\r\n",
}
STATUS_LINES: dict[str, bytes] = {
    f"the status {text}": b"HTTP/1.1 %b OK\r\n" % text.encode()
    for text in (
        "000",
        "0",
        "001",
        "099",
        "20",
        "2000",
        "+20",
        "+200",
        "0200",
        "2_00",
        "200x",
        "600",
    )
} | {
    "the version 2.0": b"HTTP/2.0 200 OK\r\n",
    "the version 1.10": b"HTTP/1.10 200 OK\r\n",
    "a version in lower case": b"http/1.1 200 OK\r\n",
    "no version": b"200 OK\r\n",
    "a control byte in the reason": b"HTTP/1.1 200 O\x01K\r\n",
    "a carriage return in the reason": b"HTTP/1.1 200 O\rK\r\n",
}
FRAMINGS: dict[str, bytes] = {
    "two lengths": LENGTH + b"Content-Length: 5\r\n",
    "a length with a sign": b"Content-Length: +4\r\n",
    "a length and chunks": LENGTH + CHUNKED,
    "chunks and a length": CHUNKED + LENGTH,
    "another coding": b"Transfer-Encoding: gzip, chunked\r\n",
    "chunks twice": CHUNKED + CHUNKED,
}
TRAILERS: dict[str, bytes] = {
    f"{name} after the last chunk": line for name, line in FIELD_LINES.items()
}
INTERIMS: dict[str, bytes] = {
    f"{name} in an interim answer": b"HTTP/1.1 103 Early Hints\r\n" + line + b"\r\n"
    for name, line in FIELD_LINES.items()
} | {
    "an interim answer of status 000": b"HTTP/1.1 000 Odd\r\n\r\n",
    "an interim answer of status 050": b"HTTP/1.1 050 Odd\r\n\r\n",
    "a switch of protocols": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
}
SOUND_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
ODD_PARTS: dict[str, list[str]] = {
    "fields before the framing": [f"{name}, first" for name in FIELD_LINES],
    "fields between others": [f"{name}, between" for name in FIELD_LINES],
    "fields behind the framing": [f"{name}, last" for name in FIELD_LINES],
    "fields of chunked answers": [f"{name}, chunked" for name in FIELD_LINES],
    "status lines": list(STATUS_LINES),
    "framings": list(FRAMINGS),
    "interim answers": list(INTERIMS),
    "trailers": list(TRAILERS),
}
"""The odd parts, by kind; none of them is an answer."""

PLACES = ("first", "between", "last", "chunked")
SOUND_PARTS = [
    *(
        f"{name}, {place}"
        for name in SOUND_LINES
        for place in ("first", "between", "last", "chunked")
    ),
    "a sound interim answer",
    "a sound field after the last chunk",
]


def make_answer(part: str, attempt_id: str, instance: str = "") -> bytes:
    """Return the bytes of an answer with one part."""
    own = f"Attempt-Id: {attempt_id}\r\nInstance-Id: {instance}\r\n{SEAL}".encode()
    if part in STATUS_LINES:
        return STATUS_LINES[part] + own + LENGTH + b"\r\n" + BODY
    if part in FRAMINGS:
        is_chunked = CHUNKED in FRAMINGS[part]
        return STATUS + own + FRAMINGS[part] + b"\r\n" + (CHUNKS + b"\r\n" if is_chunked else BODY)
    if part in INTERIMS or part == "a sound interim answer":
        interim = INTERIMS.get(part, SOUND_INTERIM)
        return interim + STATUS + own + LENGTH + b"\r\n" + BODY
    if part in TRAILERS or part == "a sound field after the last chunk":
        trailer = TRAILERS.get(part, SOUND_LINES["a sound field"])
        return STATUS + own + CHUNKED + b"\r\n" + CHUNKS + trailer + b"\r\n"
    name, _, place = part.rpartition(", ")
    line = (FIELD_LINES | SOUND_LINES)[name]
    if place == "first":
        return STATUS + line + own + LENGTH + b"\r\n" + BODY
    if place == "between":
        return STATUS + own + line + LENGTH + b"\r\n" + BODY
    if place == "last":
        return STATUS + own + LENGTH + line + b"\r\n" + BODY
    return STATUS + line + own + CHUNKED + b"\r\n" + CHUNKS + b"\r\n"


ALL_ODD_PARTS = [part for names in ODD_PARTS.values() for part in names]
EACH_ITS_OWN = "each"
"""The argument with which there is a server for each odd part, in their order."""


def main() -> None:
    """Print as many addresses as the argument says, and answer at each of them until killed."""
    parts = ALL_ODD_PARTS if sys.argv[1] == EACH_ITS_OWN else [""] * int(sys.argv[1])
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in parts]
    for listener, part in zip(listeners, parts, strict=True):
        threading.Thread(target=_accept, args=(listener, part), daemon=True).start()
    print(*("{}:{}".format(*listener.getsockname()) for listener in listeners), flush=True)
    threading.Event().wait()


def _accept(listener: socket.socket, part: str) -> None:
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=_serve, args=(connection, part), daemon=True).start()


def _serve(connection: socket.socket, part: str) -> None:
    reader = connection.makefile("rb")
    try:
        while line := reader.readline():
            fields = {}
            while (field := reader.readline().decode("latin-1").strip()) != "":
                name, _, value = field.partition(":")
                fields[name.lower()] = value.strip()
            reader.read(int(fields.get("content-length", "0")))
            if part:
                connection.sendall(make_answer(part, ""))
                continue
            path = unquote(line.decode("latin-1").split()[1])
            _answer(connection, path, fields.get("attempt-id", ""))
    except (OSError, ValueError):
        # The router has closed the connection.
        pass
    finally:
        connection.close()


def _answer(connection: socket.socket, path: str, attempt_id: str) -> None:
    part = path.strip("/").partition("/")[2]
    if path == "/health" or not attempt_id:
        connection.sendall(STATUS + b"Instance-Id: i-odd-1\r\nContent-Length: 0\r\n\r\n")
        return
    print(attempt_id, file=sys.stderr, flush=True)
    connection.sendall(make_answer(part, attempt_id))


if __name__ == "__main__":
    main()
