"""Steps of entries that are written and removed within one answer of the store."""

import base64
import contextlib
import json
from typing import Any

from behave import given, then, when
from result import Ok, Result

from myrtlehook_core import CoreOptions, RouterCore, RouterIdentity, events
from myrtlehook_platform.items import decode_page
from myrtlehook_platform.store import StoreAnswer, StoreClient, StoreFailure, follow_store
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.process.mailboxes import Mailbox
from myrtlehook_router.process.read_switches import ReadSwitch


class AnsweredStore(StoreClient):
    """A client that gets scripted answers, one for each call."""

    def __init__(self, answers: list[dict[str, Any]]) -> None:
        super().__init__("10.0.0.1:80", Counters(None), ReadSwitch(True))
        self._answers = answers

    def _call(
        self, name: str, query: dict[str, str], timeout_s: float
    ) -> Result[StoreAnswer, StoreFailure]:
        body = json.dumps(self._answers.pop(0)).encode()
        return Ok(StoreAnswer(1, decode_page(body).unwrap()))


def _make_item(identifier: str, revision: int, state: str) -> dict[str, Any]:
    entry = {
        "Service": "model",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "SlotCount": 4,
        "State": state,
        "SequenceNumber": revision,
    }
    value = base64.b64encode(json.dumps(entry).encode()).decode()
    return {"PrivateKey": f"servers/{identifier}", "Revision": revision, "Value": value}


def _read_lists(answers: list[dict[str, Any]]) -> list[events.BackendServersRead]:
    """Return the lists that the adapter posts for these answers."""
    mailbox = Mailbox()
    # The script of answers ends with an exception.
    with contextlib.suppress(IndexError):
        follow_store(AnsweredStore(answers), mailbox)
    lists = []
    while (event := mailbox.receive(0.0)) is not None:
        if isinstance(event, events.BackendServersRead):
            lists.append(event)
    return lists


@given('a store with entries "a" and "b" that is away for {seconds:g} s')
def start_router(context: Any, seconds: float) -> None:
    context.answers = [
        {"Entries": [_make_item("a", 1, "ready"), _make_item("b", 2, "ready")], "at": 2}
    ]
    identity = RouterIdentity("10.0.0.1:7400", "10.0.0.1:7400", 1, "z")
    context.core = RouterCore(identity, CoreOptions(source_readers=1), lambda: 0.5)
    context.returns_at_s = seconds


@when('it reports that "a" said draining and went, and that "b" went')
def report_changes(context: Any) -> None:
    gone = [
        {"PrivateKey": f"servers/{name}", "Revision": revision, "gone": True}
        for name, revision in (("a", 4), ("b", 5))
    ]
    context.answers.append({"events": [_make_item("a", 3, "draining"), *gone], "at": 5})
    first, second = _read_lists(context.answers)
    core = context.core
    for at_s, read in ((0.0, first), (context.returns_at_s, second)):
        core.handle(events.Tick(), at_s)
        core.last_tick_s = at_s
        core.handle(events.SourceAnswered(at_s), at_s)
        core.handle(read, at_s)
        # Ticks keep the router from taking the time in between for a pause of its own.
        core.last_tick_s = context.returns_at_s


@then('"a" gets no requests, and "b" may return')
def check_beliefs(context: Any) -> None:
    servers = context.core.configuration.backend_servers
    assert set(servers) == {"a", "b"}, servers
    assert servers["a"].leaving
    assert not servers["b"].leaving
