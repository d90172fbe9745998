"""A proxy before an engine, whose link loses some of the packets that end connections.

A lost packet is sent again by the system after a retransmission time-out.
"""

import contextlib
import random
import socket
import struct
import threading
import time

RETRANSMISSION_S = 0.2
"""The shortest retransmission time-out of Linux."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LossyLink:
    """The way from the routers to one engine."""

    def __init__(self, ip: str, port: int, engine: tuple[str, int], loss: float, seed: int) -> None:
        self.address = f"{ip}:{port}"
        self.lost = 0
        self._endpoint = (ip, port)
        self._engine = engine
        self.loss = loss
        self._random = random.Random(seed)
        self._listener: socket.socket | None = None

    def open(self) -> None:
        """Pass connections on: the engine listens."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._endpoint)
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept_forever, args=(listener,), daemon=True).start()

    def refuse(self) -> None:
        """Refuse connections, as the engine's machine does once its process has ended."""
        if self._listener is not None:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = None

    def _accept_forever(self, listener: socket.socket) -> None:
        while True:
            try:
                router, _ = listener.accept()
            except OSError:
                return
            try:
                engine = socket.create_connection(self._engine, timeout=1.0)
            except OSError:
                _reset(router)
                continue
            engine.settimeout(None)
            for end in (router, engine):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._carry, args=(engine, router, True), daemon=True).start()
            threading.Thread(target=self._carry, args=(router, engine, False), daemon=True).start()

    def _carry(self, source: socket.socket, target: socket.socket, is_answer: bool) -> None:
        """Carry bytes one way until the source closes its connection."""
        was_reset = False
        while True:
            try:
                piece = source.recv(65536)
            except OSError:
                was_reset = True
                piece = b""
            if not piece:
                break
            try:
                target.sendall(piece)
            except OSError:
                break
        if is_answer and self._random.random() < self.loss:
            self.lost += 1
            time.sleep(RETRANSMISSION_S)
        if was_reset:
            _reset(target)
            return
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR if is_answer else socket.SHUT_RDWR)
        if not is_answer:
            source.close()
            target.close()


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()
