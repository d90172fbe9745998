"""A loopback TCP proxy that can delay, reset or black-hole its connections, also one way only.

Runs as a separate process: reads one JSON object ``{name: target}`` from standard input,
prints ``{name: address}``, and then applies orders, one JSON object per line.
"""

import asyncio
import contextlib
import json
import socket
import struct
import sys
from dataclasses import dataclass, field

READ_BYTES = 64 * 1024
LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Link:
    """One proxied target, and the fault on its connections."""

    target: str
    mode: str = "pass"
    """``pass``, ``silent``, ``one_way`` (answers are lost) or ``reset``."""
    delay_s: float = 0.0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


async def _forward(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(READ_BYTES):
            while link.mode == "silent" or (answers and link.mode == "one_way"):
                await asyncio.sleep(0.02)
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            writer.write(chunk)
            await writer.drain()
    with contextlib.suppress(OSError, RuntimeError):
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def _serve(link: Link) -> str:
    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link.writers.add(writer)
        try:
            if link.mode == "reset":
                _reset(writer)
                return
            ip, _, port = link.target.rpartition(":")
            inner_reader, inner_writer = await asyncio.open_connection(ip, int(port))
            link.writers.add(inner_writer)
            directions = (
                _forward(link, reader, inner_writer, answers=False),
                _forward(link, inner_reader, writer, answers=True),
            )
            await asyncio.gather(*directions)
            link.writers.discard(inner_writer)
        except OSError:
            _reset(writer)
        finally:
            link.writers.discard(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    return f"{ip}:{port}"


def _apply_order(links: dict[str, Link], order: dict[str, str | float]) -> None:
    link = links[str(order["name"])]
    link.mode = str(order.get("mode", "pass"))
    link.delay_s = float(order.get("delay_s", 0.0))
    if link.mode == "reset":
        for writer in list(link.writers):
            _reset(writer)


async def main() -> None:
    """Serve and apply orders until standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    targets = json.loads(await reader.readline())
    links = {name: Link(target) for name, target in targets.items()}
    addresses = {name: await _serve(link) for name, link in links.items()}
    print(json.dumps(addresses), flush=True)
    while line := await reader.readline():
        _apply_order(links, json.loads(line))


if __name__ == "__main__":
    asyncio.run(main())
