"""Messages that one event has produced, addressed by router."""

from myrtlehook_core.process.messages import Message


class Post:
    """Collects messages for routers, this one included, until the event is done."""

    __slots__ = ("messages",)

    def __init__(self) -> None:
        self.messages: list[tuple[str, Message]] = []

    def add(self, router_id: str, message: Message) -> None:
        """Append a message for a router."""
        self.messages.append((router_id, message))
