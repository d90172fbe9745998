"""The sockets between routers, and the task that receives from them.

One PULL socket listens, and one PUSH socket per peer connects to it. The protocol tolerates the
loss of any message, so a message whose sending would block is dropped and counted.
"""

import hashlib
import hmac
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import eventlet
import msgspec
import pynng
from eventlet.hubs import trampoline

from myrtlehook_core import (
    DropReason,
    EncodedEnvelope,
    Envelope,
    Listener,
    actions,
    decode_envelope,
    decode_sound_messages,
    encode_envelope,
    encode_message,
    events,
)
from myrtlehook_router.process import clocks
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.line_limits import LineLimit, may_log
from myrtlehook_router.process.logs import get_logger
from myrtlehook_router.process.mailboxes import Mailbox

TAG_BYTES = 16
MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
"""A peer closes the connection on which it receives more than this at once."""

MAXIMUM_CONTENT_BYTES = MAXIMUM_MESSAGE_BYTES - 64 * 1024
"""Limit of the encoded messages in one envelope; the rest is for its fields."""

SEND_BUFFER_MESSAGES = 128
RECONNECT_MAXIMUM_MS = 500
RECEIVE_RETRY_S = 0.1
MAX_RECEIVES_PER_TURN = 64
"""After this many messages, other tasks get to run."""


_log = get_logger("peers", is_kept=True)


@dataclass(frozen=True, slots=True)
class _EncodedMessage:
    """A message as it is put into an envelope."""

    kind: str
    """Its type's name."""
    content: msgspec.Raw
    size_bytes: int


class PeerSockets:
    """All sockets to other routers, and the set of peers that a failure test has cut off."""

    def __init__(
        self,
        router_id: str,
        listener: Listener,
        fleet_key: str,
        incarnation: int,
        counters: Counters,
    ) -> None:
        self._router_id = router_id
        self._incarnation = incarnation
        self._counters = counters
        self._key = fleet_key.encode()
        self._push_sockets: dict[str, pynng.Push0] = {}
        self._drop_lines = LineLimit()
        self._pull_socket = pynng.Pull0(recv_max_size=MAXIMUM_MESSAGE_BYTES)
        self._pull_socket.listen(f"tcp://{listener.address}:{listener.port}")
        self.cut_peers: frozenset[str] = frozenset()
        self.listed_ips: frozenset[str] | None = None
        """IP addresses of the VM list and the seeds; None until the list has been read."""

    def send(
        self,
        router_id: str,
        address: str,
        messages: tuple[actions.Message, ...],
        is_in_own_zone: bool = True,
    ) -> None:
        """Send messages to a router in one envelope, or drop and count them.

        :param is_in_own_zone: whether the router is in the same availability zone as this one.
        """
        if router_id in self.cut_peers:
            self._count_drop(DropReason.CUT_FOR_TEST)
            return
        encoded = [
            one for message in messages if (one := self._encode(router_id, message)) is not None
        ]
        for batch in _split_batches(encoded):
            self._send_batch(address, batch, is_in_own_zone)

    def _encode(self, router_id: str, message: actions.Message) -> _EncodedMessage | None:
        """Encode a message; one that cannot be encoded, or received, is dropped and logged."""
        kind = type(message).__name__
        try:
            content = encode_message(message)
        except (OverflowError, ValueError, TypeError, RecursionError) as error:
            self._drop_message(DropReason.UNENCODABLE_MESSAGE, router_id, kind, str(error))
            return None
        size_bytes = len(memoryview(content))
        if size_bytes > MAXIMUM_CONTENT_BYTES:
            seen = f"{size_bytes} bytes, at most {MAXIMUM_CONTENT_BYTES} are sent"
            self._drop_message(DropReason.OVERSIZED_MESSAGE, router_id, kind, seen)
            return None
        return _EncodedMessage(kind, content, size_bytes)

    def _drop_message(self, reason: DropReason, router_id: str, kind: str, seen: str) -> None:
        self._count_drop(reason)
        if may_log(self._drop_lines, clocks.now_s()):
            _log.error("message dropped", reason=reason, kind=kind, receiver=router_id, seen=seen)

    def _send_batch(self, address: str, batch: list[_EncodedMessage], is_in_own_zone: bool) -> None:
        contents = tuple(message.content for message in batch)
        content = encode_envelope(EncodedEnvelope(self._router_id, self._incarnation, contents))
        try:
            self._get_push_socket(address).send(self._compute_tag(content) + content, block=False)
        except (pynng.exceptions.NNGException, ValueError):
            self._count_drop(DropReason.PEER_BUSY)
            return
        distance = "own_zone" if is_in_own_zone else "other_zones"
        self._counters.values["control.sent_bytes"] += len(content) + TAG_BYTES
        self._counters.values["control.sent_messages"] += 1
        inner_bytes = 0
        for message in batch:
            inner_bytes += message.size_bytes
            self._counters.values[f"control.bytes.{distance}.{message.kind}"] += message.size_bytes
        envelope_bytes = len(content) + TAG_BYTES - inner_bytes
        self._counters.values[f"control.bytes.{distance}.envelope"] += envelope_bytes

    def renew_connection(self, address: str) -> None:
        """Close the connection to a router; the next message opens a new one."""
        push = self._push_sockets.pop(address, None)
        if push is not None:
            push.close()

    def receive_forever(self, mailbox: Mailbox) -> None:
        """Post every authenticated message to the core; the main loop of a task."""
        descriptor = self._pull_socket.recv_fd
        received_count = 0
        while True:
            try:
                received = self._pull_socket.recv_msg(block=False)
            except pynng.TryAgain:
                trampoline(descriptor, read=True)
                continue
            except pynng.exceptions.NNGException as error:
                self._count_drop(DropReason.MALFORMED_MESSAGE)
                _log.error("receiving failed", seen=repr(error))
                eventlet.sleep(RECEIVE_RETRY_S)
                continue
            self._receive(received, mailbox)
            received_count += 1
            if received_count % MAX_RECEIVES_PER_TURN == 0:
                eventlet.sleep(0)

    def close(self) -> None:
        """Close all sockets."""
        for push in self._push_sockets.values():
            push.close()
        self._pull_socket.close()

    def _receive(self, received: pynng.Message, mailbox: Mailbox) -> None:
        content = received.bytes
        self._counters.values["control.received_bytes"] += len(content)
        if not self._is_listed(received):
            self._count_drop(DropReason.UNLISTED_ADDRESS)
            return
        tag, body = content[:TAG_BYTES], content[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._compute_tag(body)):
            self._count_drop(DropReason.UNAUTHENTICATED_MESSAGE)
            return
        envelope = self._decode(received, body)
        if envelope is None:
            return
        if envelope.sender in self.cut_peers:
            self._count_drop(DropReason.CUT_FOR_TEST)
            return
        for message in envelope.messages:
            mailbox.post(events.MessageReceived(envelope.sender, envelope.incarnation, message))

    def _decode(self, received: pynng.Message, body: bytes) -> Envelope | None:
        """Decode an envelope; its malformed messages are dropped, or all if it is no envelope."""
        try:
            return decode_envelope(body)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            # Decoded once more below, message by message.
            pass
        try:
            envelope, faults = decode_sound_messages(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._drop_received(received, str(error))
            return None
        for fault in faults:
            self._drop_received(received, fault)
        return envelope

    def _drop_received(self, received: pynng.Message, seen: str) -> None:
        """Count and log what is malformed, or holds a value that cannot be carried."""
        self._count_drop(DropReason.MALFORMED_MESSAGE)
        if may_log(self._drop_lines, clocks.now_s()):
            _log.error("message malformed", sender=_find_remote_address(received), seen=seen)

    def _is_listed(self, received: pynng.Message) -> bool:
        if self.listed_ips is None:
            return True
        if received.pipe is None:
            return True
        return _find_remote_address(received).rpartition(":")[0] in self.listed_ips

    def _get_push_socket(self, address: str) -> pynng.Push0:
        push = self._push_sockets.get(address)
        if push is None:
            push = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES, reconnect_time_max=RECONNECT_MAXIMUM_MS
            )
            push.dial(f"tcp://{address}", block=False)
            self._push_sockets[address] = push
        return push

    def _compute_tag(self, content: bytes) -> bytes:
        return hashlib.blake2b(content, key=self._key[:64], digest_size=TAG_BYTES).digest()

    def _count_drop(self, reason: DropReason) -> None:
        self._counters.add(f"drop.{reason}")


def _find_remote_address(received: pynng.Message) -> str:
    """Return the sender's address; nothing if its connection has ended in the meantime."""
    try:
        return "" if received.pipe is None else str(received.pipe.remote_address)
    except pynng.exceptions.NNGException:
        return ""


def _split_batches(messages: Iterable[_EncodedMessage]) -> Iterator[list[_EncodedMessage]]:
    """Yield the messages in batches, each of which fits into one envelope."""
    batch: list[_EncodedMessage] = []
    batch_bytes = 0
    for message in messages:
        if batch and batch_bytes + message.size_bytes > MAXIMUM_CONTENT_BYTES:
            yield batch
            batch, batch_bytes = [], 0
        batch.append(message)
        batch_bytes += message.size_bytes
    if batch:
        yield batch
