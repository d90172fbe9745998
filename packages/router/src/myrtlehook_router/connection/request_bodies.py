"""Reads the bodies of clients' requests within the memory and the time that the process has."""

import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import eventlet
from eventlet import wsgi
from result import Err, Ok, Result

from myrtlehook_core import Holder, byte_budgets
from myrtlehook_router.connection.chunk_decoders import (
    ChunkDecoder,
    ChunkError,
    ChunksTooLargeError,
)
from myrtlehook_router.connection.closed_connections import is_connection_closed
from myrtlehook_router.connection.memory_gates import MemoryGate
from myrtlehook_router.connection.reading_turns import ReadingTurns
from myrtlehook_router.connection.request_streams import RequestStream
from myrtlehook_router.process import clocks

PIECE_BYTES = 64 * 1024
WIRE_PIECE_BYTES = 16 * 1024
"""How much of a body in chunks is decoded at a time."""

SMALL_BODY_BYTES = 16 * 1024
"""A request whose body has at most so many bytes on the wire does not wait for a turn."""

MAX_MEMORY_WAIT_S = 1.0
MEMORY_WAIT_FRACTION = 0.25
"""The part of the time left that a request may wait for memory."""

READING_S_PER_BYTE = 1e-9
"""Estimate of the processor time that the reading of plain bytes takes."""

MAX_DISCARD_S = 2.0
"""How long what is left of an unwanted body is read, so that its client sees the response."""


class BodyFault(StrEnum):
    """Why a body was not read."""

    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    BROKE_OFF = "broke_off"
    """The client closed its connection."""
    TOO_SLOW = "too_slow"
    """It was not whole at the deadline of its request."""
    NO_MEMORY = "no_memory"
    GAVE_WAY = "gave_way"
    """Its client had stalled, and others needed the memory that was held for it."""


class GaveWayError(Exception):
    """Raised in a task whose client has stalled and gives way."""


class ClientGoneError(Exception):
    """The client has closed its connection."""


@dataclass(frozen=True, slots=True)
class ProcessBudgets:
    """What all connections of clients share: the memory, and the time of the event loop."""

    gate: MemoryGate
    turns: ReadingTurns


class RequestBody:
    """The body of one request: what has arrived of it, and what is still to be read."""

    def __init__(
        self,
        stream: RequestStream,
        connection: Any,
        length_bytes: int | None,
        budgets: ProcessBudgets,
        holder: Holder,
    ) -> None:
        """Prepare to read.

        :param length_bytes: None for a body in chunks.
        :param holder: what the connection makes this process hold.
        """
        self._stream = stream
        self._connection = connection
        self._budgets = budgets
        self._holder = holder
        self._length_bytes = length_bytes
        self._is_collecting = False
        self._decoder: ChunkDecoder | None = None
        self._wire_bytes = 0
        """The bytes of the body that were read from the connection, its framing included."""
        self.on_begin: Callable[[], None] = _do_nothing
        """Called before the body is waited for."""
        self.on_tear: Callable[[], None] = _do_nothing
        """Called once it is not known where on its connection the next request begins."""
        self.is_torn = False

    @property
    def is_whole(self) -> bool:
        """Whether nothing of it is left on the connection."""
        if self._length_bytes is None:
            return self._decoder is not None and self._decoder.is_whole
        return self._wire_bytes >= self._length_bytes

    def collect(
        self, limit_bytes: int, workspace: str, deadline_s: float
    ) -> Result[bytes | bytearray, BodyFault]:
        """Read the whole body, which may have at most ``limit_bytes``.

        :param workspace: whose memory it takes.
        """
        if self.is_whole:
            return Ok(b"")
        if self._length_bytes is not None and self._length_bytes > limit_bytes:
            return Err(BodyFault.TOO_LARGE)
        self._holder.workspace = workspace
        remaining_s = deadline_s - clocks.now_s()
        timeout = eventlet.Timeout(max(remaining_s, 0.001))
        self._is_collecting = True
        try:
            return self._collect(limit_bytes, deadline_s)
        except eventlet.Timeout as error:
            if error is not timeout:
                raise
            return self._tear(BodyFault.TOO_SLOW)
        except GaveWayError:
            return self._tear(BodyFault.GAVE_WAY)
        except ChunksTooLargeError:
            return self._tear(BodyFault.TOO_LARGE)
        except ChunkError:
            return self._tear(BodyFault.MALFORMED)
        except TimeoutError:
            return self._tear(BodyFault.TOO_SLOW)
        except (ClientGoneError, OSError, EOFError):
            return self._tear(BodyFault.BROKE_OFF)
        finally:
            self._is_collecting = False
            timeout.cancel()
            self._budgets.gate.go_on(self._holder)

    def discard(self, limit_bytes: int) -> bool:
        """Read what is left of the body; returns whether its connection can be used again.

        :param limit_bytes: the most that is read in vain, framing included.
        """
        if self.is_torn:
            return False
        if self.is_whole:
            return True
        limit_bytes += self._wire_bytes
        try:
            with eventlet.Timeout(MAX_DISCARD_S):
                while not self.is_whole and self._wire_bytes <= limit_bytes:
                    self._read_piece(limit_bytes)
        except (eventlet.Timeout, ChunkError, ChunksTooLargeError, ClientGoneError):
            return False
        except (OSError, EOFError):
            return False
        return self.is_whole

    def linger(self, limit_bytes: int) -> None:
        """Read in vain what its client still sends, before its connection is closed.

        Closing a connection with unread bytes resets it, so that the client may lose the response.

        :param limit_bytes: the most that is read, framing included.
        """
        if self.is_whole and not self.is_torn:
            return
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_WR)
        if not self.is_torn:
            self.discard(limit_bytes)
            return
        with eventlet.Timeout(MAX_DISCARD_S, False), contextlib.suppress(OSError, EOFError):
            while limit_bytes > 0:
                self._budgets.turns.wait()
                piece = self._stream.read_some(WIRE_PIECE_BYTES)
                if not piece:
                    return
                limit_bytes -= len(piece)

    def _collect(self, limit_bytes: int, deadline_s: float) -> Result[bytes | bytearray, BodyFault]:
        if self._length_bytes is not None:
            return self._collect_length(self._length_bytes, deadline_s)
        return self._collect_chunks(limit_bytes, deadline_s)

    def _collect_length(
        self, length_bytes: int, deadline_s: float
    ) -> Result[bytes | bytearray, BodyFault]:
        if not self._hold(length_bytes, deadline_s):
            return Err(BodyFault.NO_MEMORY)
        self._wait_for_client()
        body = bytearray(length_bytes)
        view = memoryview(body)
        while self._wire_bytes < length_bytes:
            self._take_turn()
            end = min(self._wire_bytes + PIECE_BYTES, length_bytes)
            received_bytes = self._stream.read_into(view[self._wire_bytes : end])
            self._record_received(received_bytes)
        return Ok(body)

    def _collect_chunks(
        self, limit_bytes: int, deadline_s: float
    ) -> Result[bytes | bytearray, BodyFault]:
        self._decoder = ChunkDecoder(limit_bytes)
        held_bytes = min(byte_budgets.SMALL_BYTES, limit_bytes)
        if not self._hold(held_bytes, deadline_s):
            self._decoder = None
            return Err(BodyFault.NO_MEMORY)
        self._wait_for_client()
        body = bytearray()
        while not self.is_whole:
            body += self._read_piece(limit_bytes)
            needed_bytes = max(self._decoder.announced_bytes, len(body))
            if needed_bytes <= held_bytes:
                continue
            wanted_bytes = min(max(needed_bytes, 2 * held_bytes), limit_bytes)
            self._budgets.gate.go_on(self._holder)
            if not self._hold(wanted_bytes - held_bytes, deadline_s):
                return self._tear(BodyFault.NO_MEMORY)
            held_bytes = wanted_bytes
            self._wait_for_client()
        return Ok(body)

    def _hold(self, more_bytes: int, deadline_s: float) -> bool:
        now_s = clocks.now_s()
        wait_s = min(MEMORY_WAIT_FRACTION * (deadline_s - now_s), MAX_MEMORY_WAIT_S)
        if not self._budgets.gate.hold(self._holder, more_bytes, now_s + wait_s):
            return False
        if self._wire_bytes == 0 and is_connection_closed(self._connection):
            # The client may have left while its request waited.
            raise ClientGoneError
        return True

    def _wait_for_client(self) -> None:
        self.on_begin()
        task = eventlet.getcurrent()

        def interrupt() -> None:
            eventlet.hubs.get_hub().schedule_call_global(0, self._interrupt, task)

        self._budgets.gate.wait_for_client(self._holder, interrupt)

    def _interrupt(self, task: Any) -> None:
        """End the wait of a task for its client, unless it has ended already."""
        if self._is_collecting and self._holder.waits_for_client:
            task.throw(GaveWayError())

    def _read_piece(self, limit_bytes: int) -> bytes:
        """Read and decode some of the body."""
        self._take_turn()
        if self._length_bytes is not None:
            left_bytes = min(self._length_bytes - self._wire_bytes, WIRE_PIECE_BYTES)
            piece = self._stream.read_some(left_bytes)
            self._record_received(len(piece))
            return piece
        if self._decoder is None:
            self._decoder = ChunkDecoder(limit_bytes)
        piece = self._stream.read_some(WIRE_PIECE_BYTES)
        self._record_received(len(piece))
        began_s = clocks.now_s()
        content, rest = self._decoder.decode(piece)
        self._budgets.turns.charge(clocks.now_s() - began_s)
        if rest:
            self._stream.put_back(rest)
        return content

    def _take_turn(self) -> None:
        """Wait until this process has time for a large body."""
        if self._wire_bytes < SMALL_BODY_BYTES:
            return
        # A client does not stall while its body waits for a turn.
        was_waiting, self._holder.waits_for_client = self._holder.waits_for_client, False
        began_s = clocks.now_s()
        self._budgets.turns.wait()
        self._holder.progressed_at_s += clocks.now_s() - began_s
        self._holder.waits_for_client = was_waiting
        if is_connection_closed(self._connection) and not self._stream.pending_bytes:
            raise ClientGoneError

    def _record_received(self, size_bytes: int) -> None:
        if not size_bytes:
            raise ClientGoneError
        self._wire_bytes += size_bytes
        if self._wire_bytes > SMALL_BODY_BYTES:
            self._budgets.turns.charge(READING_S_PER_BYTE * size_bytes)
        byte_budgets.record_moved(self._holder, size_bytes, clocks.now_s())

    def _tear(self, fault: BodyFault) -> Err[BodyFault]:
        self.is_torn = True
        self.on_tear()
        return Err(fault)


class RequestInput(wsgi.Input):
    """The body of a request as WSGI applications read it."""

    body: RequestBody
    limit_bytes = 0
    """The most bytes that are read of a body, and read in vain to use its connection again."""

    def read(self, length: int | None = None) -> bytes:
        """Return the whole body, whatever length is asked for.

        :raises wsgi.ChunkReadError: if it was not read.
        """
        collected = self.body.collect(self.limit_bytes, "", clocks.now_s() + MAX_DISCARD_S)
        if isinstance(collected, Err):
            raise wsgi.ChunkReadError(collected.err_value)
        return bytes(collected.ok_value)

    def send_continue(self) -> None:
        """Tell a client that waits for it that its body is wanted."""
        if self.should_send_hundred_continue:
            self.is_hundred_continue_response_sent = True
            self.send_hundred_continue_response()

    def discard(self, buffer_size: int = WIRE_PIECE_BYTES) -> None:
        """Read what is left of the body; called by the WSGI server after the response.

        :raises wsgi.ChunkReadError: if that is too much; the connection is then closed.
        """
        if not self.body.discard(self.limit_bytes):
            raise wsgi.ChunkReadError("more of a body is left than is read in vain")


def _do_nothing() -> None:
    pass
