"""Streamed response bodies, which resume at another backend server where the route allows it.

A stream that breaks off never looks complete to the client: the exception closes the client's
connection before the body is terminated.
"""

from collections.abc import Iterator
from itertools import chain

import urllib3
from result import Err, Result

from myrtlehook_core import Outcome, RetryReason, actions
from myrtlehook_router.connection.answer_ends import ContentEnd, Framing
from myrtlehook_router.connection.client_sockets import STREAM_PIECE_BYTES
from myrtlehook_router.connection.send_failures import SendFailure
from myrtlehook_router.request.event_streams import (
    EVENT_END_BYTES,
    MAX_EVENT_BYTES,
    EventSplitter,
    SplitEvents,
    count_event_bytes,
    is_later_event,
    is_malformed,
    judge_event_end,
    split_events,
)
from myrtlehook_router.request.placements import report_stream_begun, wait_for_slot
from myrtlehook_router.request.relays import (
    STREAM_STATUS,
    Relay,
    check_server_after_failure,
    close_relay,
    end_relay,
    find_break_cause,
    log_stream,
    record_heard,
    record_output,
    report_failed_attempt,
    report_malformed_stream,
    take_dispatch,
)
from myrtlehook_router.request.request_ends import RequestEnd
from myrtlehook_router.request.silences import is_handed_over, send_watched, take_over


class PassThroughStream:
    """Forwards the bytes of a response as they arrive."""

    def __init__(self, relay: Relay, has_events: bool, first: bytes = b"") -> None:
        """Begin to forward a response.

        :param has_events: whether the body consists of events; it is incomplete if it ends inside
            one.
        :param first: what was read of the body before.
        """
        self._relay = relay
        self._first = first
        self._has_events = has_events
        self._tail = b""
        self._event_bytes = 0

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._first:
            piece, self._first = self._first, b""
            return piece
        relay = self._relay
        assert relay.exchange is not None
        read = relay.exchange.read_some(
            STREAM_PIECE_BYTES, relay.request.deadline_s, lambda _: judge_event_end(self._tail)
        )
        if isinstance(read, Err):
            raise self._break_off(read.err_value)
        if not read.ok_value:
            end_relay(relay, Outcome.COMPLETED, RequestEnd.COMPLETED, "streamed")
            raise StopIteration
        record_heard(relay)
        if self._has_events:
            self._event_bytes = count_event_bytes(self._tail, read.ok_value, self._event_bytes)
            self._tail = (self._tail + read.ok_value)[-EVENT_END_BYTES:]
            if self._event_bytes > MAX_EVENT_BYTES:
                report_malformed_stream(relay)
                raise self._break_off(SendFailure.BROKEN)
        record_output(relay, read.ok_value.count(b"\n\n"))
        return read.ok_value

    def _break_off(self, failure: SendFailure) -> ConnectionError:
        """End the request as broken off; the returned error closes the client's connection."""
        relay = self._relay
        check_server_after_failure(relay, failure)
        failed = not relay.caller_disconnected
        cause = find_break_cause(relay)
        end_relay(relay, Outcome.UNKNOWN, cause, f"broke off: {failure}", failed)
        return ConnectionError("the backend server broke off its answer")

    def close(self) -> None:
        """Release everything that the request holds; called by the WSGI server in every case."""
        close_relay(self._relay)


class PrefetchedStream:
    """A stream whose first piece has already been read."""

    def __init__(self, stream: "PassThroughStream | ResumableStream", first: bytes) -> None:
        self._stream = stream
        self._first = first

    def __iter__(self) -> Iterator[bytes]:
        return chain((self._first,), self._stream) if self._first else self._stream

    def close(self) -> None:
        """Release everything that the request holds; called by the WSGI server in every case."""
        self._stream.close()


class ResumableStream:
    """Forwards whole events, and resumes the stream at another server if one breaks it off."""

    def __init__(self, relay: Relay, has_events: bool) -> None:
        """Begin to forward a response; ``has_events`` is as in ``PassThroughStream``."""
        self._relay = relay
        self._has_events = has_events
        self._splitter = EventSplitter()
        self._begun = False
        """Whether an event of the current attempt was forwarded."""

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        relay = self._relay
        while True:
            if relay.successor is not None:
                self._go_on(take_over(relay))
                continue
            assert relay.exchange is not None
            read = relay.exchange.read_some(
                STREAM_PIECE_BYTES, relay.request.deadline_s, self._judge_content
            )
            if isinstance(read, Err):
                if not is_handed_over(relay):
                    check_server_after_failure(relay, read.err_value)
                    self._resume()
                continue
            if not read.ok_value:
                return self._finish()
            record_heard(relay)
            found = split_events(self._splitter, read.ok_value)
            if is_malformed(self._splitter, found):
                report_malformed_stream(relay)
                self._resume()
                continue
            whole = self._collect_new_events(found)
            if whole:
                return whole

    def close(self) -> None:
        """Release everything that the request holds; called by the WSGI server in every case."""
        close_relay(self._relay)

    def _collect_new_events(self, found: SplitEvents) -> bytes:
        kept: list[bytes] = []
        for event_id, content in found.events:
            if not is_later_event(event_id, self._relay.last_event_id):
                # A resumed stream may repeat earlier events.
                continue
            if not self._begun:
                self._begin_attempt(event_id)
            if event_id:
                self._relay.last_event_id = event_id
            kept.append(content)
        record_output(self._relay, len(kept))
        return b"".join(kept)

    def _begin_attempt(self, event_id: str) -> None:
        """Report and log the first event of an attempt, before it is forwarded."""
        self._begun = True
        report_stream_begun(self._relay.placement, self._relay.software_version)
        event = "stream goes on" if self._relay.last_event_id else "stream began"
        log_stream(self._relay, event, self._relay.last_event_id, next_event_id=event_id)

    def _judge_content(self, framing: Framing) -> ContentEnd:
        if not self._has_events:
            return ContentEnd.UNKNOWN
        return judge_event_end(self._splitter.incomplete_event)

    def _finish(self) -> bytes:
        rest = self._splitter.incomplete_event
        if rest:
            # Bytes after the last whole event are part of the response too.
            self._splitter.incomplete_event = b""
            return rest
        end_relay(self._relay, Outcome.COMPLETED, RequestEnd.COMPLETED, "streamed")
        raise StopIteration

    def _go_on(self, sent: Result[urllib3.HTTPResponse, RetryReason]) -> None:
        """Go on with the response of another server, or resume the stream at a further one."""
        self._splitter.incomplete_event = b""
        self._begun = False
        reason = self._find_failure(sent)
        if reason is None:
            self._relay.placement.services.counters.add("stream.resumed")
        else:
            self._resume(reason)

    def _resume(self, failure: RetryReason = RetryReason.ANSWER_BROKEN) -> None:
        """Resume a stream that broke off.

        :param failure: why its last attempt brings no more of it.
        """
        relay = self._relay
        self._splitter.incomplete_event = b""
        self._begun = False
        if relay.caller_disconnected:
            raise ConnectionError("the client closed its connection")
        log_stream(relay, "stream broke off", relay.last_event_id)
        report_failed_attempt(relay, failure)
        while True:
            slot = wait_for_slot(relay.placement)
            if isinstance(slot, Err):
                reason = slot.err_value.reason
                relay.search_refusal = reason
                log_stream(relay, "stream not resumed", relay.last_event_id, reason=reason)
                cause = find_break_cause(relay)
                end_relay(relay, Outcome.UNKNOWN, cause, f"not resumed: {reason}")
                raise ConnectionError("the stream could not be resumed")
            next_failure = self._resume_at(slot.ok_value)
            if next_failure is None:
                relay.placement.services.counters.add("stream.resumed")
                return
            report_failed_attempt(relay, next_failure)

    def _resume_at(self, dispatch: actions.Dispatch) -> RetryReason | None:
        """Resume a stream at a server; returns why that failed, if it did."""
        relay = self._relay
        server = take_dispatch(relay, dispatch)
        if isinstance(server, Err):
            return server.err_value
        return self._find_failure(send_watched(relay, server.ok_value, relay.last_event_id or None))

    def _find_failure(self, sent: Result[urllib3.HTTPResponse, RetryReason]) -> RetryReason | None:
        """Return why a stream cannot go on with a response; None if it can."""
        if isinstance(sent, Err):
            return sent.err_value
        if sent.ok_value.status == STREAM_STATUS:
            return None
        assert self._relay.exchange is not None
        self._relay.exchange.abort()
        return RetryReason.ANSWER_BROKEN
