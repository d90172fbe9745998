"""Steps of links between routers: in histories, and with the sockets themselves."""

import socket
import threading
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
DELIVERED = MembersQuery(MemberRow("r1", "", 1, 0))


@given("a fleet of {routers:d} routers that know one another")
def start_fleet(context: Any, routers: int) -> None:
    context.history = History(1, routers, 4, Network(), CoreOptions())
    context.history.run_until(3.0)


@when("what one router sends another is lost for good on its present connection")
def sever(context: Any) -> None:
    history = context.history
    context.link = tuple(list(history.alive)[:2])
    history.renewed.clear()
    context.deaths = []

    def is_cut(sender: str, receiver: str) -> bool:
        _note_deaths(context)
        return (sender, receiver) == context.link and context.link not in history.renewed

    history.is_cut = is_cut


def _note_deaths(context: Any) -> None:
    for core in context.history.alive.values():
        dead = [
            member.router_id
            for member in core.table.members.values()
            if member.state is MemberState.DEAD and not member.unconfirmed
        ]
        context.deaths += dead


@then("it opens the connection anew within {seconds:d} seconds")
def check_renewed(context: Any, seconds: int) -> None:
    history = context.history
    end_s = history.now_s + seconds
    while context.link not in history.renewed:
        assert history.now_s < end_s, f"{context.link} is not among {history.renewed}"
        history.run_until(history.now_s + STEP_S)


@then("neither takes the other for dead meanwhile")
def check_alive(context: Any) -> None:
    assert not context.deaths, context.deaths


class _SeverableLink:
    """Passes bytes on; what was open when it is severed passes nothing more."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self.severed: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def sever(self) -> None:
        """Silence all that is open, without a reset."""
        for pair in self._pairs:
            self.severed.update(pair)

    def _accept(self) -> None:
        while True:
            outer, _ = self._listener.accept()
            inner = socket.create_connection(("127.0.0.1", self._target_port))
            self._pairs.append((outer, inner))
            for one, other in ((outer, inner), (inner, outer)):
                threading.Thread(target=self._carry, args=(one, other), daemon=True).start()

    def _carry(self, one: socket.socket, other: socket.socket) -> None:
        try:
            while piece := one.recv(65536):
                if one in self.severed:
                    continue
                other.sendall(piece)
        except OSError:
            # Its router has closed it.
            return


@given("a router that sends to another through a link that has gone silent")
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
    wait_for(lambda: _arrives(context), "a message to arrive on the sound link")
    context.link.sever()
    _take_all(context)
    assert not _arrives(context), "a message passed a link that has gone silent"


def _take_all(context: Any) -> None:
    """Take what was sent before: several may have been until the first one arrived."""
    try:
        while True:
            context.receiver.recv()
    except pynng.Timeout:
        return


def _arrives(context: Any) -> bool:
    context.sender.send("r2", context.address, (DELIVERED,))
    try:
        context.receiver.recv()
    except pynng.Timeout:
        return False
    return True


@when("it opens the connection anew")
def renew(context: Any) -> None:
    context.sender.renew_connection(context.address)


@then("its next message arrives")
def check_arrives(context: Any) -> None:
    wait_for(lambda: _arrives(context), "a message to arrive on the new connection")
