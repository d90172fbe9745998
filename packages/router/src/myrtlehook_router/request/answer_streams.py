"""Bodies that are passed on while they arrive, and go on elsewhere where that is allowed.

A stream that breaks off never looks complete: raising ends the caller's connection
without a proper end.
"""

from collections.abc import Iterator
from itertools import chain

from result import Err

from myrtlehook_core import Outcome, RetryReason, actions
from myrtlehook_router.request.attempts import READ_BYTES, read_deadline_s, send_once
from myrtlehook_router.request.event_streams import EventSplitter, split_events
from myrtlehook_router.request.headers import find_header
from myrtlehook_router.request.placements import wait_for_slot
from myrtlehook_router.request.relays import (
    Relay,
    close_relay,
    end_relay,
    give_back,
    note_broken,
    note_output,
)

STALL_S = 1.2
"""A resumable stream that stands still for this long is resumed elsewhere."""


class PlainStream:
    """Passes the bytes of an answer on as they arrive."""

    def __init__(self, relay: Relay, first: bytes) -> None:
        self._relay = relay
        self._next = first

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._next:
            piece, self._next = self._next, b""
            return piece
        relay = self._relay
        assert relay.exchange is not None
        read = relay.exchange.read_some(READ_BYTES, relay.request.deadline_s)
        if isinstance(read, Err):
            note_broken(relay, read.err_value)
            failed = not relay.caller_left
            end_relay(relay, Outcome.UNKNOWN, f"broke off: {read.err_value}", failed)
            raise ConnectionError("the backend server broke off its answer")
        if not read.ok_value:
            end_relay(relay, Outcome.COMPLETED, "streamed")
            raise StopIteration
        note_output(relay, read.ok_value.count(b"\n\n"))
        return read.ok_value

    def close(self) -> None:
        """Free what the request holds, whatever happened."""
        close_relay(self._relay)


class BegunStream:
    """A stream whose first piece has been read already."""

    def __init__(self, stream: "PlainStream | ResumableStream", first: bytes) -> None:
        self._stream = stream
        self._first = first

    def __iter__(self) -> Iterator[bytes]:
        return chain((self._first,), self._stream) if self._first else self._stream

    def close(self) -> None:
        """Free what the request holds, whatever happened."""
        self._stream.close()


class ResumableStream:
    """Passes whole events on, and goes on at another server when one breaks off."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._splitter = EventSplitter()
        given = find_header(relay.request.headers, relay.names.last_event_id)
        self._last_event_id = given or ""

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        relay = self._relay
        while True:
            assert relay.exchange is not None
            read = relay.exchange.read_some(READ_BYTES, read_deadline_s(relay, STALL_S))
            if isinstance(read, Err):
                note_broken(relay, read.err_value)
                self._resume()
                continue
            if not read.ok_value:
                return self._end()
            whole = self._take(read.ok_value)
            if whole:
                return whole

    def close(self) -> None:
        """Free what the request holds, whatever happened."""
        close_relay(self._relay)

    def _take(self, piece: bytes) -> bytes:
        found = split_events(self._splitter, piece)
        kept: list[bytes] = []
        for event_id, content in found.events:
            if not self._is_next(event_id):
                continue
            if event_id:
                self._last_event_id = event_id
            kept.append(content)
        note_output(self._relay, len(kept))
        return b"".join(kept)

    def _is_next(self, event_id: str) -> bool:
        """Tell whether an event follows the last one; earlier ones are dropped."""
        if not event_id.isdigit() or not self._last_event_id.isdigit():
            return True
        return int(event_id) > int(self._last_event_id)

    def _end(self) -> bytes:
        rest = self._splitter.rest
        if rest:
            # Bytes behind the last whole event belong to the answer as well.
            self._splitter.rest = b""
            return rest
        end_relay(self._relay, Outcome.COMPLETED, "streamed")
        raise StopIteration

    def _resume(self) -> None:
        relay = self._relay
        self._splitter.rest = b""
        if relay.caller_left:
            raise ConnectionError("the caller has left")
        give_back(relay, RetryReason.ANSWER_BROKEN)
        while True:
            slot = wait_for_slot(relay.place)
            if isinstance(slot, Err):
                end_relay(relay, Outcome.UNKNOWN, f"not resumed: {slot.err_value.reason}")
                raise ConnectionError("the stream could not be resumed")
            if self._restart(slot.ok_value):
                relay.place.services.counters.add("stream.resumed")
                return

    def _restart(self, dispatch: actions.Dispatch) -> bool:
        relay = self._relay
        relay.backend_server = dispatch.backend_server
        relay.memory_source = dispatch.memory_source
        servers = relay.place.services.configuration().backend_servers
        server = servers.get(dispatch.backend_server)
        if server is None:
            give_back(relay, RetryReason.SERVER_LEAVING)
            return False
        sent = send_once(relay, server, self._last_event_id or None)
        if isinstance(sent, Err):
            give_back(relay, sent.err_value)
            return False
        if sent.ok_value.status != 200:
            assert relay.exchange is not None
            relay.exchange.abort()
            give_back(relay, RetryReason.ANSWER_BROKEN)
            return False
        return True
