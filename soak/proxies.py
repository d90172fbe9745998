"""A loopback proxy that delays, resets, silences or cuts one way what passes through it.

A process of its own: reads one JSON object on standard input, ``{name: target}``, prints
``{name: address}``, and then takes orders, one JSON object a line.
"""

import asyncio
import contextlib
import json
import socket
import struct
import sys
from dataclasses import dataclass, field

READ_BYTES = 64 * 1024
RESET_AT_ONCE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class Link:
    """One proxied target and what is done to its connections."""

    target: str
    mode: str = "pass"
    """``pass``, ``silent``, ``one_way`` (answers are lost) or ``reset``."""
    delay_s: float = 0.0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


async def _carry(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
) -> None:
    with contextlib.suppress(OSError):
        while piece := await reader.read(READ_BYTES):
            while link.mode == "silent" or (answers and link.mode == "one_way"):
                await asyncio.sleep(0.02)
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            writer.write(piece)
            await writer.drain()
    with contextlib.suppress(OSError, RuntimeError):
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
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
            ways = (
                _carry(link, reader, inner_writer, answers=False),
                _carry(link, inner_reader, writer, answers=True),
            )
            await asyncio.gather(*ways)
            link.writers.discard(inner_writer)
        except OSError:
            _reset(writer)
        finally:
            link.writers.discard(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()[:2]
    return f"{ip}:{port}"


def _take_order(links: dict[str, Link], order: dict[str, str | float]) -> None:
    link = links[str(order["name"])]
    link.mode = str(order.get("mode", "pass"))
    link.delay_s = float(order.get("delay_s", 0.0))
    if link.mode == "reset":
        for writer in list(link.writers):
            _reset(writer)


async def main() -> None:
    """Serve until standard input ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    targets = json.loads(await reader.readline())
    links = {name: Link(target) for name, target in targets.items()}
    addresses = {name: await _serve(link) for name, link in links.items()}
    print(json.dumps(addresses), flush=True)
    while line := await reader.readline():
        _take_order(links, json.loads(line))


if __name__ == "__main__":
    asyncio.run(main())
