"""A server, as a process of its own, that answers each request with a large body."""

import socket
import sys
import threading

from standins.endless_servers import read_attempt_id

HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: sealed\r\nContent-Length: {}\r\n\r\n"


def main() -> None:
    """Print the address, and answer until killed."""
    body = b"l" * int(sys.argv[1])
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    ip, port = listener.getsockname()
    print(f"{ip}:{port}", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=_serve, args=(connection, body), daemon=True).start()


def _serve(connection: socket.socket, body: bytes) -> None:
    try:
        while attempt_id := read_attempt_id(connection):
            connection.sendall(HEAD.format(attempt_id, len(body)).encode() + body)
    except OSError:
        # The router has closed the connection.
        pass
    finally:
        connection.close()


if __name__ == "__main__":
    main()
