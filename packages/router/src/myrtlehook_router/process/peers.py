"""The task that owns the sockets between routers.

One PULL socket listens; one PUSH socket dials each peer. Every message may be
lost, so a send that would block is dropped and counted.
"""

import hashlib
import hmac

import eventlet
import msgspec
import pynng
from eventlet.hubs import trampoline

from myrtlehook_core import (
    DropReason,
    EncodedEnvelope,
    Listener,
    actions,
    decode_envelope,
    encode_envelope,
    encode_message,
    events,
)
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.mailboxes import Mailbox

TAG_BYTES = 16
MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
SEND_BUFFER_MESSAGES = 128
RECONNECT_MAXIMUM_MS = 500
RECEIVES_PER_TURN = 64
"""After so many messages other tasks get their turn."""


class PeerSockets:
    """All sockets towards other routers, and the tests' cut switch."""

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
        self._pushes: dict[str, pynng.Push0] = {}
        self._pull = pynng.Pull0(recv_max_size=MAXIMUM_MESSAGE_BYTES)
        self._pull.listen(f"tcp://{listener.address}:{listener.port}")
        self.cut_peers: frozenset[str] = frozenset()
        self.listed_ips: frozenset[str] | None = None
        """IP numbers of the VM list and the seeds; None until the list was read."""

    def send(
        self,
        router_id: str,
        address: str,
        messages: tuple[actions.Message, ...],
        is_near: bool = True,
    ) -> None:
        """Send messages to a router in one envelope, or drop and count them.

        :param is_near: the router stands in the own availability zone.
        """
        if router_id in self.cut_peers:
            self._drop(DropReason.CUT_FOR_TEST)
            return
        encoded = tuple(encode_message(message) for message in messages)
        envelope = EncodedEnvelope(self._router_id, self._incarnation, encoded)
        content = encode_envelope(envelope)
        distance = "own_zone" if is_near else "other_zones"
        try:
            self._push_to(address).send(self._tag(content) + content, block=False)
        except pynng.exceptions.NNGException:
            self._drop(DropReason.PEER_BUSY)
            return
        self._counters.values["control.sent_bytes"] += len(content) + TAG_BYTES
        self._counters.values["control.sent_messages"] += 1
        inner_bytes = 0
        for message, raw in zip(messages, encoded, strict=True):
            size_bytes = len(memoryview(raw))
            inner_bytes += size_bytes
            kind = type(message).__name__
            self._counters.values[f"control.bytes.{distance}.{kind}"] += size_bytes
        envelope_bytes = len(content) + TAG_BYTES - inner_bytes
        self._counters.values[f"control.bytes.{distance}.envelope"] += envelope_bytes

    def renew(self, address: str) -> None:
        """Drop the connection to a router; the next message opens another one."""
        push = self._pushes.pop(address, None)
        if push is not None:
            push.close()

    def receive_forever(self, mailbox: Mailbox) -> None:
        """Pass on every authentic message; the loop of this task."""
        descriptor = self._pull.recv_fd
        taken = 0
        while True:
            try:
                received = self._pull.recv_msg(block=False)
            except pynng.TryAgain:
                trampoline(descriptor, read=True)
                continue
            self._take(received, mailbox)
            taken += 1
            if taken % RECEIVES_PER_TURN == 0:
                eventlet.sleep(0)

    def close(self) -> None:
        """Close all sockets."""
        for push in self._pushes.values():
            push.close()
        self._pull.close()

    def _take(self, received: pynng.Message, mailbox: Mailbox) -> None:
        content = received.bytes
        self._counters.values["control.received_bytes"] += len(content)
        if not self._is_listed(received):
            self._drop(DropReason.UNLISTED_ADDRESS)
            return
        tag, body = content[:TAG_BYTES], content[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            self._drop(DropReason.UNAUTHENTICATED_MESSAGE)
            return
        try:
            envelope = decode_envelope(body)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            self._drop(DropReason.MALFORMED_MESSAGE)
            return
        if envelope.sender in self.cut_peers:
            self._drop(DropReason.CUT_FOR_TEST)
            return
        for message in envelope.messages:
            mailbox.post(events.MessageReceived(envelope.sender, envelope.incarnation, message))

    def _is_listed(self, received: pynng.Message) -> bool:
        if self.listed_ips is None:
            return True
        try:
            if received.pipe is None:
                return True
            remote = str(received.pipe.remote_address)
        except pynng.exceptions.NNGException:
            # The sender was killed meanwhile, and nobody can tell any more who it was.
            return False
        return remote.rpartition(":")[0] in self.listed_ips

    def _push_to(self, address: str) -> pynng.Push0:
        push = self._pushes.get(address)
        if push is None:
            push = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES, reconnect_time_max=RECONNECT_MAXIMUM_MS
            )
            push.dial(f"tcp://{address}", block=False)
            self._pushes[address] = push
        return push

    def _tag(self, content: bytes) -> bytes:
        return hashlib.blake2b(content, key=self._key[:64], digest_size=TAG_BYTES).digest()

    def _drop(self, reason: DropReason) -> None:
        self._counters.add(f"drop.{reason}")
