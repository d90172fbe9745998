"""Addresses that a process listens on."""

from dataclasses import dataclass
from typing import Protocol


class Listener(Protocol):
    """Anything with an IP address and a port, such as parts of the settings."""

    @property
    def address(self) -> str:
        """The IP address."""

    @property
    def port(self) -> int:
        """The port number."""


@dataclass(frozen=True, slots=True)
class ListenAddress:
    """An IP address and a port to listen on."""

    address: str
    port: int
