"""The outgoing messages of one event, addressed by router."""

from myrtlehook_core.process.messages import Message


class MessageOutbox:
    """Collects messages to routers, this one included, while an event is handled."""

    __slots__ = ("messages",)

    def __init__(self) -> None:
        self.messages: list[tuple[str, Message]] = []

    def add(self, router_id: str, message: Message) -> None:
        """Append a message for a router."""
        self.messages.append((router_id, message))
