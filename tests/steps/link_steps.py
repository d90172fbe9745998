"""Steps of silent connections between routers, in simulated histories and with real sockets."""

import random
import socket
import threading
from collections import Counter
from typing import Any

import pynng
from behave import given, then, when

from myrtlehook_core import CoreOptions, ListenAddress, Listener, MemberState
from myrtlehook_core.process.membership_messages import MemberRow, MembersQuery
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.peers import PeerSockets
from standins.histories import History, Network
from standins.network import wait_for

KEY = "fleet"
STEP_S = 0.05
MESSAGE = MembersQuery(MemberRow("r1", "", 1, 0))


@given("a fleet of {routers:d} routers that know one another")
def start_fleet(context: Any, routers: int) -> None:
    context.history = History(1, routers, 4, Network(), CoreOptions())
    context.history.run_until(3.0)


@when("all that one router sends another on the present connection is lost")
def sever(context: Any) -> None:
    history = context.history
    context.link = tuple(list(history.alive)[:2])
    history.renewed_links.clear()
    context.dead_members = []

    def is_cut(sender: str, receiver: str) -> bool:
        _record_dead_members(context)
        return (sender, receiver) == context.link and context.link not in history.renewed_links

    history.is_cut = is_cut


def _record_dead_members(context: Any) -> None:
    for core in context.history.alive.values():
        dead = [
            member.router_id
            for member in core.table.members.values()
            if member.state is MemberState.DEAD and not member.unconfirmed
        ]
        context.dead_members += dead


@then("it reopens the connection within {seconds:d} seconds")
def check_reopened(context: Any, seconds: int) -> None:
    history = context.history
    end_s = history.now_s + seconds
    while context.link not in history.renewed_links:
        assert history.now_s < end_s, f"{context.link} is not among {history.renewed_links}"
        history.run_until(history.now_s + STEP_S)


@then("no router is considered dead meanwhile")
def check_alive(context: Any) -> None:
    assert not context.dead_members, context.dead_members


class _SeverableLink:
    """A TCP relay; connections that are open when it is severed relay nothing more."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self.severed: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def sever(self) -> None:
        """Stop relaying on all open connections, without a reset."""
        for pair in self._pairs:
            self.severed.update(pair)

    def _accept(self) -> None:
        while True:
            outer, _ = self._listener.accept()
            inner = socket.create_connection(("127.0.0.1", self._target_port))
            self._pairs.append((outer, inner))
            for one, other in ((outer, inner), (inner, outer)):
                threading.Thread(target=self._relay, args=(one, other), daemon=True).start()

    def _relay(self, one: socket.socket, other: socket.socket) -> None:
        try:
            while piece := one.recv(65536):
                if one in self.severed:
                    continue
                other.sendall(piece)
        except OSError:
            # The router has closed its connection.
            return


@given("a router that sends to another through a link that has become silent")
def start_sockets(context: Any) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = int(probe.getsockname()[1])
    context.receiver = pynng.Pull0(recv_timeout=100)
    context.receiver.listen(f"tcp://127.0.0.1:{port}")
    context.add_cleanup(context.receiver.close)
    context.link = _SeverableLink(port)
    context.address = f"127.0.0.1:{context.link.port}"
    own: Listener = ListenAddress(address="127.0.0.1", port=0)
    context.sender = PeerSockets("r1", own, KEY, 1, Counters(None))
    context.add_cleanup(context.sender.close)
    wait_for(lambda: _arrives(context), "a message to arrive on the link before it is severed")
    context.link.sever()
    _drain_receiver(context)
    assert not _arrives(context), "a message arrived through a severed link"


def _drain_receiver(context: Any) -> None:
    """Receive earlier messages: several may have been sent until the first one arrived."""
    try:
        while True:
            context.receiver.recv()
    except pynng.Timeout:
        return


def _arrives(context: Any) -> bool:
    context.sender.send("r2", context.address, (MESSAGE,))
    try:
        context.receiver.recv()
    except pynng.Timeout:
        return False
    return True


@when("it reopens the connection")
def reopen(context: Any) -> None:
    context.sender.renew_connection(context.address)


@then("its next message arrives")
def check_arrives(context: Any) -> None:
    wait_for(lambda: _arrives(context), "a message to arrive on the new connection")


ZONES = 3
SILENT_PART = 0.7


@given("a fleet of {routers:d} routers in 3 zones that know one another")
def start_zoned_fleet(context: Any, routers: int) -> None:
    context.history = History(1, routers, 4, Network(), CoreOptions(), zones=ZONES)
    context.history.run_until(3.0)


@when("seven in ten of its connections lose all that is sent on them until they are reopened")
def silence_links(context: Any) -> None:
    history = context.history
    history.renewed_links.clear()
    draw = random.Random(1)
    names = list(history.alive)
    silent = {
        (sender, receiver)
        for sender in names
        for receiver in names
        if sender != receiver and draw.random() < SILENT_PART
    }
    reopened: set[tuple[str, str]] = set()

    def is_cut(sender: str, receiver: str) -> bool:
        reopened.update(history.renewed_links)
        history.renewed_links.clear()
        return (sender, receiver) in silent - reopened

    history.is_cut = is_cut


@then("{wait:g} s later every router considers all others alive, and for {more:g} s more")
def check_all_alive(context: Any, wait: float, more: float) -> None:
    history = context.history
    history.run_until(history.now_s + wait)
    end_s = history.now_s + more
    while history.now_s < end_s:
        history.run_until(history.now_s + STEP_S)
        dead = Counter(
            member.router_id
            for core in history.alive.values()
            for member in core.table.members.values()
            if member.state is MemberState.DEAD
        )
        assert not dead, f"{dead.total()} pairs at {history.now_s:.2f} s"
