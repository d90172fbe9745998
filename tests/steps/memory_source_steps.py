"""Properties of prompts whose beginning is fetched from another engine, and of long prompts."""

from collections import OrderedDict
from dataclasses import replace
from typing import Any

from behave import then, when

from myrtlehook_core import BackendServer, CoreOptions, events
from myrtlehook_core.process.admission_requests import Admission, MemorySource, find_memory_source
from standins.histories import History, Network
from standins.pools import make_request

OWN_TOKENS = 700
SESSION_TOKENS = 500
"""The shared part of a session's prompts, as ``make_request`` makes it."""


def _run_burst(options: CoreOptions, count: int) -> History:
    """Send requests of one session at once, after one that fills the home engine's cache."""
    history = History(5, routers=3, engines=3, network=Network(), options=options)
    history.run_until(1.5)
    router = next(iter(history.alive))
    first = make_request("first", "a", 0, OWN_TOKENS, 1.5, True)
    history.at(1.5, lambda: history.ask(router, first))
    for number in range(count):
        request = make_request(f"q{number}", "abc"[number % 3], 0, OWN_TOKENS, 2.5, True)
        history.at(2.5, lambda request=request: history.ask(router, request))
    history.run_until(8.0)
    return history


@when("{count:d} requests of one session come at once to engines that read 30 tokens a ms")
def send_burst(context: Any, count: int) -> None:
    context.count = count
    context.history = _run_burst(CoreOptions(), count)
    context.home = context.history.outcomes["first"].dispatched[0]


@then("those at other engines name the home as the source, and read only what is their own")
def check_sources(context: Any) -> None:
    elsewhere = 0
    for request_id, outcome in context.history.outcomes.items():
        for engine, source, unread in zip(
            outcome.dispatched, outcome.memory_sources, outcome.unread_tokens, strict=True
        ):
            if engine == context.home:
                assert source == "", (request_id, outcome)
                continue
            elsewhere += 1
            assert source == context.home, (request_id, outcome)
            assert unread == OWN_TOKENS, (request_id, outcome)
    assert elsewhere >= 5, elsewhere


@then("without the option no request names a source, and other engines read the session's part")
def check_without(context: Any) -> None:
    history = _run_burst(replace(CoreOptions(), fetches_memory=False), context.count)
    outcomes = history.outcomes.values()
    assert not any(source for outcome in outcomes for source in outcome.memory_sources)
    read = [
        unread
        for outcome in outcomes
        for engine, unread in zip(outcome.dispatched, outcome.unread_tokens, strict=True)
        if engine != context.home
    ]
    assert SESSION_TOKENS + OWN_TOKENS in read, read


@when("a router has sent a prompt's parts to engines of two pools")
def send_to_pools(context: Any) -> None:
    history = History(7, routers=1, engines=3, network=Network(), options=CoreOptions())
    history.run_until(1.5)
    core = next(iter(history.alive.values()))
    other = BackendServer("x0", "other", "10.0.2.1:80", "z", 16, False, False)
    known = tuple(core.configuration.backend_servers.values())
    history.feed(core.identity.router_id, events.BackendServersRead((*known, other)))
    request = make_request("q", "a", 0, OWN_TOKENS, 1.5, True)
    parts = OrderedDict((part.part_id, part.tokens) for part in request.prompt_parts)
    core.admissions.recent_parts["x0"] = parts
    asked = Admission(request, backend_server="e0")
    context.sources = [find_memory_source(core.admissions, core.admission_context(), asked)]
    core.admissions.recent_parts["e1"] = OrderedDict(list(parts.items())[:1])
    context.sources.append(find_memory_source(core.admissions, core.admission_context(), asked))


@then("the source for a request is an engine of its own pool, or none")
def check_pool(context: Any) -> None:
    assert [source.backend_server for source in context.sources] == ["", "e1"], context.sources


@when("an engine's own parts and what its owner said are at engines of another software version")
def send_to_versions(context: Any) -> None:
    history = History(7, routers=1, engines=4, network=Network(), options=CoreOptions())
    versions = {"e0": "v1", "e1": "v2", "e2": "v2", "e3": "v1"}
    history.publish(
        tuple(replace(one, software_version=versions[one.name]) for one in history.servers)
    )
    history.run_until(1.5)
    core = next(iter(history.alive.values()))
    request = make_request("q", "a", 0, OWN_TOKENS, 1.5, True)
    parts = OrderedDict((part.part_id, part.tokens) for part in request.prompt_parts)
    core.admissions.recent_parts["e1"] = parts
    asked = Admission(request, backend_server="e0")
    asked.memory_source = MemorySource("e2", SESSION_TOKENS)
    context.sources = [find_memory_source(core.admissions, core.admission_context(), asked)]
    core.admissions.recent_parts["e3"] = OrderedDict(list(parts.items())[:1])
    context.sources.append(find_memory_source(core.admissions, core.admission_context(), asked))


@then("nothing is fetched from there, and what is kept at its own version is")
def check_versions(context: Any) -> None:
    assert [source.backend_server for source in context.sources] == ["", "e3"], context.sources


@when("a prompt of {tokens:d} tokens with an aim of 0.6 s comes to idle engines")
def ask_long(context: Any, tokens: int) -> None:
    context.history = History(6, routers=3, engines=3, network=Network(), options=CoreOptions())
    context.history.run_until(1.5)
    router = next(iter(context.history.alive))
    request = make_request("long", "a", 0, tokens - SESSION_TOKENS, 1.5, True)
    context.history.at(1.5, lambda: context.history.ask(router, request))
    context.history.run_until(6.0)


@then("it is sent, and not refused")
def check_sent(context: Any) -> None:
    outcome = context.history.outcomes["long"]
    assert outcome.dispatched and not outcome.refused_at_s, outcome
