"""The sockets between routers, and the task that receives from them.

One PULL socket listens, and one PUSH socket per peer connects to it. The protocol tolerates the
loss of any message, so a message whose sending would block is dropped and counted.
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
MAX_RECEIVES_PER_TURN = 64
"""After this many messages, other tasks get to run."""


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
        encoded = tuple(encode_message(message) for message in messages)
        envelope = EncodedEnvelope(self._router_id, self._incarnation, encoded)
        content = encode_envelope(envelope)
        distance = "own_zone" if is_in_own_zone else "other_zones"
        try:
            self._get_push_socket(address).send(self._compute_tag(content) + content, block=False)
        except pynng.exceptions.NNGException:
            self._count_drop(DropReason.PEER_BUSY)
            return
        self._counters.values["control.sent_bytes"] += len(content) + TAG_BYTES
        self._counters.values["control.sent_messages"] += 1
        inner_bytes = 0
        for message, encoded_message in zip(messages, encoded, strict=True):
            size_bytes = len(memoryview(encoded_message))
            inner_bytes += size_bytes
            kind = type(message).__name__
            self._counters.values[f"control.bytes.{distance}.{kind}"] += size_bytes
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
        try:
            envelope = decode_envelope(body)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            self._count_drop(DropReason.MALFORMED_MESSAGE)
            return
        if envelope.sender in self.cut_peers:
            self._count_drop(DropReason.CUT_FOR_TEST)
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
            # The sender was killed in the meantime, and its address is no longer available.
            return False
        return remote.rpartition(":")[0] in self.listed_ips

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
