"""Two routers' core tasks in one process, whose messages pass through the codec, in simulated time.

What the first one is given from outside meets all that it meets in a router: the core, messages to
a peer, log lines, and the figures of the metrics.
"""

import json
import random
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace
from typing import Any

from result import Err

from emulator.sites import KEYS
from myrtlehook_core import (
    CoreOptions,
    EncodedEnvelope,
    RequestSpecification,
    RouterCore,
    RouterIdentity,
    actions,
    decode_envelope,
    encode_envelope,
    encode_message,
    events,
)
from myrtlehook_platform.configuration import parse_configuration
from myrtlehook_platform.settings import HEADER_NAMES
from myrtlehook_router.connection.heads import TARGET_KEY
from myrtlehook_router.process import clocks, core_tasks
from myrtlehook_router.process.core_tasks import CoreTask
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.engine_gauges import list_engine_gauges
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.metrics import Metrics
from myrtlehook_router.request.gateways import specify_request
from myrtlehook_router.request.routed import read_request
from myrtlehook_router.request.tickets import TicketRegistry

START_S = 1000.0
STEP_S = 0.05
FAULTS = ("core.fault", "action.fault", "drop.unencodable", "drop.oversized", "drop.malformed")


class RecordedLog:
    """Takes the place of a logger: renders each line as strict JSON."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def info(self, event: str, **fields: Any) -> None:
        """Record a line.

        :raises ValueError: if a field is no JSON, such as an infinite number.
        """
        self.lines.append(json.dumps({"event": event, **fields}, allow_nan=False, default=repr))

    warning = info
    error = info

    def exception(self, event: str, **fields: Any) -> None:
        """Record a line with the exception that is being handled."""
        self.info(event, exception=traceback.format_exc(), **fields)


class WiredPeers:
    """Takes the place of a router's sockets: encodes envelopes, and posts them to receivers."""

    def __init__(self, sender: str, mailboxes: dict[str, Mailbox]) -> None:
        self._sender = sender
        self._mailboxes = mailboxes

    def send(
        self,
        router_id: str,
        address: str,
        messages: tuple[actions.Message, ...],
        is_in_own_zone: bool = True,
    ) -> None:
        """Send messages to a router of this process; others receive nothing."""
        encoded = tuple(encode_message(message) for message in messages)
        content = encode_envelope(EncodedEnvelope(self._sender, 1, encoded))
        envelope = decode_envelope(content)
        if router_id not in self._mailboxes:
            return
        for message in envelope.messages:
            self._mailboxes[router_id].post(events.MessageReceived(self._sender, 1, message))

    def renew_connection(self, address: str) -> None:
        """Do nothing: there is no connection."""


class WiredRouters:
    """Two routers of one availability zone; the first one reads the store."""

    def __init__(self, options: CoreOptions | None = None) -> None:
        self.now_s = START_S
        self.log = RecordedLog()
        self.tasks: list[CoreTask] = []
        self.counters: list[Counters] = []
        self.tickets: list[TicketRegistry] = []
        self.mailboxes = {f"10.0.0.{number}:7400": Mailbox() for number in (1, 2)}
        chosen = options or CoreOptions(
            source_readers=1, load_interval_s=float("inf"), serves_while_draining=True
        )
        for name, mailbox in self.mailboxes.items():
            identity = RouterIdentity(name, name, 1, "hall-1")
            draw = random.Random(name).random
            core = RouterCore(identity, chosen, draw, parse_configuration)
            core.add_seeds([(other, other) for other in self.mailboxes], self.now_s)
            counters, tickets = Counters(None), TicketRegistry()
            peers: Any = WiredPeers(name, self.mailboxes)
            self.tasks.append(CoreTask(core, mailbox, peers, lambda key: None, tickets, counters))
            self.counters.append(counters)
            self.tickets.append(tickets)

    @contextmanager
    def running(self) -> Iterator["WiredRouters"]:
        """Replace the clock and the log of this process, and run until the routers have met."""
        real = clocks.now_s, core_tasks._log, core_tasks._belief_log
        clocks.now_s = lambda: self.now_s
        recorded: Any = self.log
        core_tasks._log = core_tasks._belief_log = recorded
        try:
            self.run(1.0)
            yield self
        finally:
            clocks.now_s, core_tasks._log, core_tasks._belief_log = real

    def post(self, event: events.Event, router: int = 0) -> None:
        """Post an event to a router."""
        self.mailboxes[f"10.0.0.{router + 1}:7400"].post(event)

    def make_request(
        self, router: int, route_name: str, attempt_id: str, headers: dict[str, str] | None = None
    ) -> RequestSpecification | None:
        """Return what the core is told of a request; None if its head is refused.

        :param headers: fields that differ from those of a usual request.
        """
        configuration = self.tasks[router].configuration
        by_host = configuration.routes.routes_by_host.values()
        route = next(one for routes in by_host for one in routes if one.name == route_name)
        fields = {"Attempt-Id": attempt_id, "Authorization": f"Bearer {next(iter(KEYS.values()))}"}
        fields |= {"Token-Counts": "300,30", "Prompt-Prefix": "c0:200,own:100"}
        fields |= headers or {}
        environ = {
            "headers_raw": tuple(fields.items()),
            TARGET_KEY: route.path_prefix,
            "HTTP_HOST": route.host,
            "HTTP_AUTHORIZATION": fields["Authorization"],
            "REQUEST_METHOD": "POST",
        }
        read = read_request(environ, configuration, HEADER_NAMES)
        if isinstance(read, Err):
            return None
        services: Any = SimpleNamespace(names=HEADER_NAMES)
        return specify_request(services, read.ok_value, b"body")

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            for task, mailbox in zip(self.tasks, self.mailboxes.values(), strict=True):
                task._run_turn(mailbox.receive(0.0))
                task._handle(events.Tick())
                if self.now_s >= task.core.find_next_grant_s():
                    task._handle(events.GrantsDue())
                task._send_unsent_messages()

    def check(self) -> None:
        """Check that nothing that was accepted could not be carried."""
        for counters, task in zip(self.counters, self.tasks, strict=True):
            faults = {name for name in counters.values if name.startswith(FAULTS)}
            told = [line for line in self.log.lines if "dropped" in line]
            assert not faults, (faults, told[:2])
            metrics = Metrics(counters, dict, partial(_list_gauges, task))
            assert metrics.answer({}, lambda status, headers: None)


def _list_gauges(task: CoreTask) -> dict[str, dict[str, float]]:
    return list_engine_gauges(task.core.describe_engines())
