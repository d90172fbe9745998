"""Measures what a router's process holds, as its platform counts it."""

import os
import subprocess
import threading
from contextlib import suppress
from dataclasses import dataclass, field

INTERVAL_S = 0.02
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LISTENING = "0A"
NO_INODE = "0"


@dataclass(slots=True)
class Meter:
    """The most that one process has held while it was watched."""

    process: subprocess.Popen[bytes]
    ip: str = ""
    """The address at which its connections wait to be accepted; empty to leave these out."""
    memory_bytes: int = 0
    """Resident memory, and the bytes that have arrived at its sockets and are not read."""
    unread_bytes: int = 0
    descriptors: int = 0
    ended: bool = False
    _stopped: threading.Event = field(default_factory=threading.Event)

    def watch(self) -> None:
        """Measure until stopped; the main loop of a thread."""
        while not self._stopped.wait(INTERVAL_S):
            if self.process.poll() is not None:
                self.ended = True
                return
            with suppress(OSError):
                self._measure()

    def stop(self) -> None:
        """Stop measuring."""
        self._stopped.set()

    def _measure(self) -> None:
        pid = self.process.pid
        inodes = _list_socket_inodes(pid)
        unread_bytes = _sum_unread(pid, inodes, self.ip)
        with open(f"/proc/{pid}/statm") as statm:
            resident_bytes = int(statm.read().split()[1]) * PAGE_BYTES
        self.memory_bytes = max(self.memory_bytes, resident_bytes + unread_bytes)
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{pid}/fd")))


def _list_socket_inodes(pid: int) -> set[str]:
    inodes = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        with suppress(OSError):
            target = os.readlink(f"/proc/{pid}/fd/{name}")
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
    return inodes


def _sum_unread(pid: int, inodes: set[str], ip: str) -> int:
    """Return the unread bytes of a process's connections, those in its accept queues included."""
    address = "".join(f"{int(part):02X}" for part in reversed(ip.split("."))) if ip else None
    unread_bytes = 0
    with open(f"/proc/{pid}/net/tcp") as table:
        next(table)
        for line in table:
            _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
            is_queued = inode == NO_INODE and address is not None and local.startswith(address)
            if state != LISTENING and (inode in inodes or is_queued):
                unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes
