"""A crowd of clients that keep no limits, as a process of its own; each sends in the same way.

A client whose connection is closed comes again, until the process is killed.
"""

import contextlib
import itertools
import json
import socket
import sys
import threading
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass

PIECE_BYTES = 4096
CHUNK_BYTES = 64 * 1024
FAR_OVER_BYTES = 10**12
HEAD_FIELDS = 4000
IDLE_RECEIVE_BUFFER_BYTES = 4096
CRLF = b"\r\n"


@dataclass(frozen=True, slots=True)
class Crowd:
    """What the clients of one crowd do, and where."""

    way: str
    ip: str
    port: int
    clients: int
    head: str
    """The head of a request, without the fields that frame its body and the blank line."""
    body_bytes: int
    """The largest body that the configuration allows."""

    def encode(self) -> str:
        """Return the argument of the crowd's process."""
        return json.dumps(asdict(self))


Pieces = Iterator[bytes]
Way = Callable[[Crowd, bytes], Pieces]
"""Makes the bytes that one connection sends, from the head of its request."""


def _announce(head: bytes, size_bytes: int) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n" % size_bytes


def _begin_chunks(head: bytes) -> bytes:
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


def _send_whole(crowd: Crowd, head: bytes) -> Pieces:
    for _ in itertools.count():
        yield _announce(head, crowd.body_bytes) + b"b" * crowd.body_bytes


def _send_in_pieces(crowd: Crowd, head: bytes) -> Pieces:
    for _ in itertools.count():
        yield _announce(head, crowd.body_bytes)
        for _ in range(crowd.body_bytes // PIECE_BYTES):
            yield b"b" * PIECE_BYTES


def _send_short(crowd: Crowd, head: bytes) -> Pieces:
    yield _announce(head, crowd.body_bytes) + b"b" * (crowd.body_bytes - 1)


def _send_short_in_pieces(crowd: Crowd, head: bytes) -> Pieces:
    yield _announce(head, crowd.body_bytes)
    for _ in range(crowd.body_bytes // PIECE_BYTES - 1):
        yield b"b" * PIECE_BYTES
    yield b"b" * (PIECE_BYTES - 1)


def _frame_chunk(size_bytes: int) -> bytes:
    return b"%x\r\n" % size_bytes + b"b" * size_bytes + CRLF


def _send_chunks(crowd: Crowd, head: bytes, size_bytes: int, ends: bool) -> Pieces:
    chunk = _frame_chunk(size_bytes)
    chunks_a_piece = max(1, CHUNK_BYTES // len(chunk))
    for _ in itertools.count():
        yield _begin_chunks(head)
        for _ in range(crowd.body_bytes // size_bytes // chunks_a_piece - 1):
            yield chunk * chunks_a_piece
        if not ends:
            return
        yield b"0\r\n\r\n"


def _send_one_chunk_short(crowd: Crowd, head: bytes) -> Pieces:
    yield _begin_chunks(head) + b"%x\r\n" % crowd.body_bytes + b"b" * (crowd.body_bytes - 1)


def _send_little_of_much(crowd: Crowd, head: bytes) -> Pieces:
    yield _announce(head, FAR_OVER_BYTES) + b"b" * PIECE_BYTES


def _send_much(crowd: Crowd, head: bytes) -> Pieces:
    yield _announce(head, FAR_OVER_BYTES)
    yield from itertools.repeat(b"b" * CHUNK_BYTES)


def _send_chunks_without_end(crowd: Crowd, head: bytes) -> Pieces:
    yield _begin_chunks(head)
    yield from itertools.repeat(_frame_chunk(CHUNK_BYTES))


def _send_huge_chunk(crowd: Crowd, head: bytes) -> Pieces:
    yield _begin_chunks(head) + b"%x\r\n" % FAR_OVER_BYTES
    yield from itertools.repeat(b"b" * CHUNK_BYTES)


def _send_short_head(crowd: Crowd, head: bytes) -> Pieces:
    yield head + b"".join(b"F%d:\r\n" % number for number in range(HEAD_FIELDS))[:12_000]


def _send_nothing(crowd: Crowd, head: bytes) -> Pieces:
    yield b""


def _send_requests(crowd: Crowd, head: bytes) -> Pieces:
    yield from itertools.repeat((head + CRLF) * 100)


def _send_request(crowd: Crowd, head: bytes) -> Pieces:
    yield head + CRLF


WAYS: dict[str, Way] = {
    "whole bodies": _send_whole,
    "whole bodies in pieces": _send_in_pieces,
    "bodies that stop short": _send_short,
    "bodies in pieces that stop short": _send_short_in_pieces,
    "large chunks": lambda crowd, head: _send_chunks(crowd, head, CHUNK_BYTES, ends=True),
    "large chunks that stop short": lambda crowd, head: _send_chunks(
        crowd, head, CHUNK_BYTES, ends=False
    ),
    "chunks of one byte": lambda crowd, head: _send_chunks(crowd, head, 1, ends=True),
    "chunks of one byte that stop short": lambda crowd, head: _send_chunks(
        crowd, head, 1, ends=False
    ),
    "one chunk that stops short": _send_one_chunk_short,
    "little of a body far over the limit": _send_little_of_much,
    "a body far over the limit": _send_much,
    "chunks beyond the limit": _send_chunks_without_end,
    "a chunk far over the limit": _send_huge_chunk,
    "heads that stop short": _send_short_head,
    "blank lines": lambda crowd, head: itertools.repeat(CRLF * 4000),
    "nothing": _send_nothing,
    "requests, and takes no answers": _send_requests,
    "a request for a large answer, and does not take it": _send_request,
}
UNREAD_WAYS = frozenset(name for name in WAYS if "take" in name)
"""Ways in which clients read nothing of what comes back."""


def main() -> None:
    """Run the crowd until this process is killed; print a line for each connection that ends."""
    crowd = Crowd(**json.loads(sys.argv[1]))
    for _ in range(crowd.clients):
        threading.Thread(target=_come_again, args=(crowd,), daemon=True).start()
    print("there", flush=True)
    threading.Event().wait()


def _come_again(crowd: Crowd) -> None:
    pause = threading.Event()
    for number in itertools.count():
        with contextlib.suppress(OSError):
            _play(crowd, f"c{threading.get_ident():x}-{number}")
        # A refused connection must not keep this process busy.
        pause.wait(0.01)


def _play(crowd: Crowd, identifier: str) -> None:
    with socket.socket() as connection:
        if crowd.way in UNREAD_WAYS:
            size = IDLE_RECEIVE_BUFFER_BYTES
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        connection.connect((crowd.ip, crowd.port))
        ended = threading.Event()
        if crowd.way not in UNREAD_WAYS:
            reader = threading.Thread(target=_read_all, args=(connection, ended), daemon=True)
            reader.start()
        for piece in WAYS[crowd.way](crowd, crowd.head.replace("ID", identifier).encode()):
            connection.sendall(piece)
            if ended.is_set():
                return
        ended.wait()


def _read_all(connection: socket.socket, ended: threading.Event) -> None:
    with contextlib.suppress(OSError):
        while connection.recv(65_536):
            pass
    ended.set()


if __name__ == "__main__":
    main()
