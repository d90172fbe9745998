"""Steps of properties: extreme values for every field of every border."""

import base64
import contextlib
import copy
import dataclasses
import http.client
import io
import json
import math
import re
import socket
from collections.abc import Iterator
from typing import Any

import eventlet
import msgspec
from behave import then
from hypothesis import given as drawn
from hypothesis import settings as limited
from hypothesis import strategies as st
from result import Err, Ok
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection

from emulator.foreign_items import ENTRY
from emulator.sites import HOST, make_configuration
from myrtlehook_core import (
    CoreOptions,
    Envelope,
    RouterCore,
    RouterIdentity,
    SourceOrder,
    change_options,
    decode_sound_messages,
    encode_envelope,
    encode_message,
    events,
)
from myrtlehook_core import messages as message_types
from myrtlehook_platform.configuration import parse_configuration
from myrtlehook_platform.items import decode_items, decode_page
from myrtlehook_platform.settings import HEADER_NAMES, make_settings, merge_settings, parse_settings
from myrtlehook_platform.store import StoreReplica, _make_server_list
from myrtlehook_router.connection.answer_heads import AnswerHeadError, read_fields
from myrtlehook_router.connection.heads import HeadError, read_head
from myrtlehook_router.connection.server_connections import _compute_idle_timeout_s
from myrtlehook_router.process.counters import Counters
from myrtlehook_router.request.event_streams import (
    EVENT_END_BYTES,
    EVENT_ENDS,
    EventSplitter,
    count_event_bytes,
    is_later_event,
    is_malformed,
    split_events,
)
from myrtlehook_router.request.headers import encode_header_value
from myrtlehook_router.request.server_notices import MAX_BACKOFF_S, read_notice
from standins.wired_routers import WiredRouters

SMALL = 60
"""Examples of the properties in which two routers run for some time."""

ALL_NUMBERS = (
    [0, 1, -1, 2**31 - 1, 2**31, 2**53 - 1, 2**53, 2**63 - 1, 2**63, 2**64 - 1, 2**64, -(2**63)]
    + [-(2**64), 10**30, 10**308, 10**400, 0.0, -0.0, 0.5, 1e-300, 5e-324, 1e15, 2.0**64, 1e300]
    + [-1e300, 1.7976931348623157e308, float("inf"), float("-inf"), float("nan")]
)
ALL_TEXTS = (
    ["", " ", "a", " a", "a ", "a\n", "a\r\nEnd: 1", "\x00", "\x7f", "\x85", "\u0141\u00f3d\u017a"]
    + ["\ud800", "a\udfff", "\u2028", "\U0001f600", "n" * 200, "n" * 201, "n" * 5000, "a@7", "/"]
    + ["127.0.0.1:9", "127.0.0.1:9\n", "127.0.0.1:0", "0.0.0.0:9", "256.0.0.1:9", "1.2.3.4:70000"]
)
ALL_OTHERS: list[Any] = [None, True, [], {}, [[]], {"a": None}, ["a"], [1, "\ud800"]]
ALL_VALUES = [*ALL_NUMBERS, *ALL_TEXTS, *ALL_OTHERS]
NUMBERS = st.sampled_from(ALL_NUMBERS)
TEXTS = st.sampled_from(ALL_TEXTS)
OTHERS = st.sampled_from(ALL_OTHERS)
VALUES = NUMBERS | TEXTS | OTHERS
DIGITS = st.sampled_from(
    ["0", "1", "6000", "-1", "1.5", "00001500", "9" * 9, "9" * 10, "9" * 18, "9" * 400, "9" * 5000]
    + ["\u00b2", "1e9", "nan", "inf", "", " 5 "]
)


# -- entries, keys and evacuated zones ------------------------------------------------


def _encode_item(key: Any, value: Any) -> Any:
    text = json.dumps(value).encode()
    return {"PrivateKey": key, "Value": base64.b64encode(text).decode(), "Revision": 1}


SOUND_ENTRY = {**ENTRY, "Service": "model", "State": "ready"}
KEYS = TEXTS.map(lambda text: f"servers/{text}") | TEXTS | OTHERS | NUMBERS
CHANGED_ENTRIES = st.dictionaries(st.sampled_from([*SOUND_ENTRY, "born"]), VALUES, max_size=2).map(
    lambda changes: {**SOUND_ENTRY, **changes}
)
ITEMS = (
    st.builds(_encode_item, KEYS | st.just("servers/i-odd"), CHANGED_ENTRIES | VALUES)
    | st.builds(_encode_item, TEXTS.map(lambda text: f"op/evacuate/{text}"), st.just({}))
    | VALUES
)


def _read_items(items: list[Any], revision: int) -> events.BackendServersRead:
    """Return the list that the adapter makes of a page with these items."""
    page = decode_page(json.dumps({"Entries": items, "more": False, "at": revision}).encode())
    replica = StoreReplica(fully_read=True, order=SourceOrder(0, revision))
    for decoded in decode_items(page.unwrap().entries):
        if isinstance(decoded, Ok) and decoded.ok_value.text is not None:
            replica.items[decoded.ok_value.key] = decoded.ok_value.text
    return _make_server_list(replica, Counters(None))


@then("of any items of the store, what is accepted is carried, and the sound ones are used")
def check_items(context: Any) -> None:
    @limited(max_examples=SMALL)
    @drawn(st.lists(ITEMS, max_size=20))
    def check(items: list[Any]) -> None:
        _carry_items(items)

    check()
    _carry_items(list(_list_changed_entries()))


def _list_changed_entries() -> Iterator[Any]:
    """Yield an entry for each field and each value, under keys of their own."""
    for name in (*SOUND_ENTRY, "born"):
        for number, value in enumerate(ALL_VALUES):
            yield _encode_item(f"servers/i-{name}-{number}", {**SOUND_ENTRY, name: value})
    for text in ALL_TEXTS:
        yield _encode_item(f"servers/{text}", SOUND_ENTRY)
        yield _encode_item(f"op/evacuate/{text}", {})


def _carry_items(items: list[Any]) -> None:
    """Give items and some sound ones to a router; check that what is accepted is carried."""
    sound = [_encode_item(f"servers/i-sound-{number}", SOUND_ENTRY) for number in range(2)]
    with WiredRouters().running() as routers:
        text = json.dumps(make_configuration(1))
        routers.post(events.ConfigurationRead(text))
        routers.post(events.SourceAnswered(routers.now_s))
        routers.post(_read_items([*items, *sound], 5))
        routers.run(1.0)
        for task in routers.tasks:
            assert {"i-sound-0", "i-sound-1"} <= set(task.core.discovery.known)
        _decide_requests(routers)
        _check_outgoing(routers)
        routers.check()


def _check_outgoing(routers: WiredRouters) -> None:
    """Check that each server's id and address can be sent to, and its id sent in a header."""
    for task in routers.tasks:
        for server in task.core.configuration.backend_servers.values():
            _put_header(HEADER_NAMES.expected_instance, server.instance)
            _put_header(HEADER_NAMES.memory_fetch, server.address)
            ip, _, port = server.address.rpartition(":")
            socket.inet_aton(ip)
            assert 0 < int(port) < 65536
            assert server.address == server.address.strip()


def _put_header(name: str, value: str) -> None:
    """Check that a header can be sent, and arrives as it is."""
    connection = HTTPConnection("127.0.0.1", 9)
    connection.putrequest("GET", "/")
    connection.putheader(name, value)
    assert value == value.strip(" \t"), value


# -- configurations -------------------------------------------------------------------

CONFIGURATION = make_configuration(7)
CONFIGURATION["Tenants"][0]["Priority"] = 1
CONFIGURATION["Tenants"][0]["AllowedRegions"] = ["r"]
CONFIGURATION["Services"][0] |= {"ColdStartS": 3, "ColdPerS": 5}
CONFIGURATION["Routes"][0] |= {"TargetItlMs": 200, "AllowedRegions": ["r"]}


def _list_places(value: Any, place: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the places of all values in a document."""
    places = [place] if place else []
    if isinstance(value, dict):
        for name, inner in value.items():
            places += _list_places(inner, (*place, name))
    if isinstance(value, list):
        for number, inner in enumerate(value):
            places += _list_places(inner, (*place, number))
    return places


def _change(document: Any, place: tuple[Any, ...], value: Any) -> None:
    """Change the value at a place of a document, if an earlier change has left that place."""
    *steps, last = place
    with contextlib.suppress(LookupError, TypeError):
        for step in steps:
            document = document[step]
        document[last] = value


PLACES = st.sampled_from(_list_places(CONFIGURATION))


@then("any configuration that is accepted is carried, and its requests are decided")
def check_configurations(context: Any) -> None:
    @limited(max_examples=2 * SMALL)
    @drawn(st.lists(st.tuples(PLACES, VALUES), min_size=1, max_size=20))
    def check(changes: list[tuple[tuple[Any, ...], Any]]) -> None:
        _carry_configuration(json.dumps(_apply_accepted(changes)))

    check()
    for value in ALL_VALUES:
        changes = [(place, value) for place in _list_places(CONFIGURATION)]
        # The last places first: with a whole list changed, what is inside of it would be gone.
        _carry_configuration(json.dumps(_apply_accepted(changes[::-1])))


def _apply_accepted(changes: list[tuple[tuple[Any, ...], Any]]) -> Any:
    """Return a configuration with as many changes, in this order, as are accepted together."""
    accepted = CONFIGURATION
    for place, value in changes:
        changed = copy.deepcopy(accepted)
        _change(changed, place, value)
        if isinstance(parse_configuration(json.dumps(changed)), Ok):
            accepted = changed
    return accepted


def _carry_configuration(text: str) -> None:
    with WiredRouters().running() as routers:
        routers.post(events.ConfigurationRead(text))
        routers.post(events.SourceAnswered(routers.now_s))
        names = {service["Name"] for service in json.loads(text).get("Services", ())}
        entries = [
            _encode_item(f"servers/i-{number}", {**SOUND_ENTRY, "Service": name})
            for number, name in enumerate(sorted(names))
        ]
        routers.post(_read_items(entries, 5))
        routers.run(1.0)
        for task in routers.tasks:
            assert task.configuration.version.number, "not in force"
            _use_limits(task.configuration.limits)
            for workspace in task.configuration.workspaces:
                _put_header(HEADER_NAMES.workspace, encode_header_value(workspace))
        _decide_requests(routers)
        routers.check()


def _use_limits(limits: Any) -> None:
    """Give the limits to what they are given to for each connection of a client."""
    first, second = socket.socketpair()
    first.settimeout(limits.idle_timeout_s)
    first.close()
    second.close()
    eventlet.Timeout(limits.header_timeout_s).cancel()
    io.BytesIO(b"line\n").readline(limits.header_bytes + 1)
    io.BytesIO(b"line\n").read(limits.body_bytes)


def _decide_requests(routers: WiredRouters, headers: dict[str, str] | None = None) -> None:
    """Send a request on each route to each router, and run until each has been decided."""
    opened = []
    for router, task in enumerate(routers.tasks):
        for number, route in enumerate(_list_routes(task.configuration)):
            specification = routers.make_request(
                router, route.name, f"a-{router}-{number}", headers
            )
            if specification is None:
                continue
            ticket = routers.tickets[router].open(specification.request_id)
            if ticket is None:
                continue
            opened.append((specification, ticket))
            routers.post(events.RequestArrived(specification), router)
            eventlet.Timeout(specification.deadline_s - routers.now_s).cancel()
    routers.run(1.0)
    for specification, ticket in opened:
        soon = specification.deadline_s > routers.now_s and specification.aim_deadline_s > 0
        decision = ticket.wait(0.001)
        if decision is not None and hasattr(decision, "retry_after_s"):
            assert math.isfinite(decision.retry_after_s), decision
        routers.post(events.RunEnded(specification.request_id, 100.0, False, True), 0)
        assert decision is not None or soon, specification
    routers.run(1.0)


def _list_routes(configuration: Any) -> list[Any]:
    return [route for routes in configuration.routes.routes_by_host.values() for route in routes]


# -- settings files -------------------------------------------------------------------

SETTINGS = {
    "NodeName": "edge-1",
    "IpAddress": "10.0.0.1",
    "Zone": "hall-1",
    "Region": "north",
    "Zones.hall-1": "north",
    "ListenAddresses.Frontend": "10.0.0.1:8783",
    "ListenAddresses.Ready": "10.0.0.1:8780",
    "InternalPortRange": "7400,7415",
    "SeedNodes": "10.0.0.2:8785,10.0.0.3:8785",
    "IsBootstrap": "true",
    "HeartbeatIntervalMs": "1200",
    "Limits.CpuQuota": "0.5",
    "Limits.CoreCount": "2",
    "Limits.MemoryMb": "150",
    "Limits.FileDescriptorLimit": "4100",
    "Bounds.GracePeriodS": "8",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.QuotaWindowS": "4",
    "Bounds.ColdOvershoot": "1.5",
    "Bounds.ColdTolerance": "2",
    "Platform.Address": "10.0.0.9:8781",
}
UNKNOWN_SETTINGS = ("Zone.Rack", "Limits.New", "Limits", "Zones.a.b", "=", ".")
SETTING_TEXTS = (
    DIGITS
    | TEXTS.filter(lambda text: len(text.splitlines()) < 2)
    | NUMBERS.map(str)
    | st.sampled_from(["1,2,3", "0,7", "7400,70000", "10.0.0.2:0", "10.0.0.2:99999", "999.0.0.1"])
)


@then("any settings file is rejected with findings, or a router can start with it")
def check_settings(context: Any) -> None:
    sound = parse_settings(_write_settings(SETTINGS), "node.conf").unwrap()

    @limited(max_examples=400)
    @drawn(
        st.dictionaries(
            st.sampled_from(
                [*SETTINGS, "Zone.Rack", "Limits.New", "Limits", "Zones.a.b", "=", "."]
            ),
            SETTING_TEXTS,
            min_size=1,
            max_size=3,
        )
    )
    def check(changes: dict[str, str]) -> None:
        text = _write_settings({**SETTINGS, **changes})
        parsed = parse_settings(text, "node.conf")
        if isinstance(parsed, Ok):
            _start_with(make_settings(parsed.ok_value))
        else:
            assert parsed.err_value and all(str(finding) for finding in parsed.err_value)
        merged, findings = merge_settings(text, "node.conf", sound)
        assert bool(findings) == isinstance(parsed, Err), (findings, parsed)
        _start_with(make_settings(merged))

    check()
    for name in SETTINGS:
        for value in [str(value) for value in ALL_NUMBERS] + ALL_TEXTS:
            if isinstance(value, str) and len(value.splitlines()) < 2:
                check.hypothesis.inner_test({name: value})


def _write_settings(values: dict[str, str]) -> str:
    return "".join(f"{name}={value}\n" for name, value in values.items())


def _start_with(settings: Any) -> None:
    """Use settings as a start does, up to opening the addresses."""
    for listener in (settings.callers, settings.readiness, settings.peers, settings.neighbours):
        if listener is not None:
            socket.inet_aton(listener.address)
            assert 0 < listener.port < 65536, listener
    eventlet.GreenPool(settings.max_connections)
    for wait_s in (settings.drain_notice_s, settings.drain_limit_s):
        eventlet.Timeout(wait_s).cancel()
    identity = RouterIdentity("10.0.0.1:7400", "10.0.0.1:7400", 1, settings.availability_zone)
    core = RouterCore(identity, settings.options, lambda: 0.5, parse_configuration)
    for number in range(3):
        for action in core.handle(events.Tick(), 1000.0 + number):
            if type(action).__name__ == "Send":
                encode_message(action.message)  # type: ignore[union-attr]


# -- messages -------------------------------------------------------------------------

WIRE_NUMBERS = st.sampled_from([0, 1, -1, 2**31, 2**53 - 1, -(2**53) + 1, 2**63, 2**64 - 1])
WIRE_FLOATS = st.sampled_from(
    [0.0, 0.5, -1.0, 1e-300, 2.0**53, 1e300, math.inf, -math.inf, math.nan]
)
WIRE_TEXTS = st.sampled_from(["", "model", "i-0", "10.0.0.1:7400", "\x00", "\u0141", "t" * 5000])
WIRE_BYTES = st.sampled_from([b"", b"k" * 16, b"k" * 5000])


def _draw_type(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy of values of a message's field, in and out of its bounds."""
    inner = msgspec.inspect.type_info(kind) if not isinstance(kind, msgspec.inspect.Type) else kind
    simple: dict[type, st.SearchStrategy[Any]] = {
        msgspec.inspect.IntType: WIRE_NUMBERS,
        msgspec.inspect.FloatType: WIRE_FLOATS,
        msgspec.inspect.StrType: WIRE_TEXTS,
        msgspec.inspect.BytesType: WIRE_BYTES,
        msgspec.inspect.BoolType: st.booleans(),
        msgspec.inspect.NoneType: st.none(),
    }
    if type(inner) in simple:
        return simple[type(inner)]
    if isinstance(inner, msgspec.inspect.UnionType):
        return st.one_of([_draw_type(one) for one in inner.types])
    if isinstance(inner, msgspec.inspect.VarTupleType):
        return st.lists(_draw_type(inner.item_type), max_size=2).map(tuple)
    assert isinstance(inner, msgspec.inspect.StructType), inner
    fields = {field.name: _draw_type(field.type) for field in inner.fields}
    return st.builds(inner.cls, **fields)


@then("any message of a peer is carried, or dropped by itself")
def check_messages(context: Any) -> None:
    kinds = message_types.Message.__args__
    drawn_messages = st.one_of([_draw_type(kind) for kind in kinds])

    @limited(max_examples=4 * SMALL)
    @drawn(st.lists(drawn_messages, min_size=1, max_size=4))
    def check(sent: list[Any]) -> None:
        sound = message_types.NoFreeSlot("model")
        content = encode_envelope(Envelope("10.0.0.2:7400", 1, (*sent, sound)))
        envelope, faults = decode_sound_messages(content)
        assert sound in envelope.messages, faults
        with WiredRouters().running() as routers:
            routers.post(events.ConfigurationRead(json.dumps(make_configuration(1))))
            routers.post(_read_items([_encode_item("servers/i-0", SOUND_ENTRY)], 5))
            routers.run(0.5)
            for message in envelope.messages:
                routers.post(events.MessageReceived("10.0.0.2:7400", 1, message))
            routers.run(2.0)
            _check_ticks(routers)

    check()


def _check_ticks(routers: WiredRouters) -> None:
    """Check that what was received keeps no later work from being done."""
    for counters in routers.counters:
        faults = {
            name
            for name in counters.values
            if name.startswith(("core.fault.Tick", "core.fault.GrantsDue", "action.fault"))
            or name.startswith(("drop.unencodable", "drop.oversized"))
        }
        assert not faults, (faults, routers.log.lines[-2:])


# -- heads ----------------------------------------------------------------------------

HEADER_TEXTS = DIGITS | TEXTS
CLIENT_HEADERS = st.dictionaries(
    st.sampled_from(
        ["Deadline-Ms", "Token-Counts", "Prompt-Prefix", "Length-Hint", "Attempt-Id", "Resumes"]
        + ["Last-Event-Id", "Authorization", "Host", "Content-Length", "Keep-Alive", "X-Other"]
    ),
    HEADER_TEXTS | st.tuples(DIGITS, DIGITS).map(",".join) | st.tuples(TEXTS, DIGITS).map(":".join),
    max_size=3,
)


@then("any head of a client is refused, or its request is carried to an engine")
def check_client_heads(context: Any) -> None:
    @limited(max_examples=2 * SMALL)
    @drawn(CLIENT_HEADERS, TEXTS)
    def check(headers: dict[str, str], target: str) -> None:
        fields = {"Host": HOST, **headers}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        raw = f"POST /diagnosis/{target} HTTP/1.1\r\n{lines}\r\n".encode("utf-8", "surrogatepass")
        try:
            head = read_head(io.BytesIO(raw), 4096).decode("latin-1")
        except HeadError as error:
            assert error.status in (400, 431), error
            return
        except OSError:
            return
        first, *rest = head.split("\r\n")
        # As the server on the other side gets it.
        first.split(" ")[1].encode("ascii")
        pairs = [line.partition(":")[::2] for line in rest if line]
        for name, value in pairs:
            _put_header(name, value.strip(" \t"))
        with WiredRouters().running() as routers:
            routers.post(events.ConfigurationRead(json.dumps(make_configuration(1))))
            routers.post(events.SourceAnswered(routers.now_s))
            routers.post(_read_items([_encode_item("servers/i-0", SOUND_ENTRY)], 5))
            routers.run(0.5)
            _decide_requests(routers, {name: value.strip(" \t") for name, value in pairs})
            routers.check()

    check()


FIELD_NAMES = st.sampled_from(["X-A", "X A", "", "X\x00", "X:", "\xe9", "Content-Type"])
FIELD_VALUES = HEADER_TEXTS | st.sampled_from(["a\r\n b", "a\n\tb", "a\rb", "a\r\nEnd: 1", "\xe9"])


@then("any fields of a server's head are read as a client can read them, or are no head")
def check_passed_fields(context: Any) -> None:
    @limited(max_examples=400)
    @drawn(st.lists(st.tuples(FIELD_NAMES, FIELD_VALUES), max_size=4))
    def check(headers: list[tuple[str, str]]) -> None:
        written = "".join(f"{name}: {value}\r\n" for name, value in [*headers, SOUND_HEADER])
        try:
            kept = read_fields(io.BytesIO(written.encode("latin-1", "replace") + b"\r\n").readline)
        except AnswerHeadError:
            return
        content = "".join(f"{name}: {value}\r\n" for name, value in kept).encode("latin-1")
        parsed = http.client.parse_headers(io.BytesIO(content + b"\r\n"))
        assert tuple(parsed.items()) == kept and not parsed.defects, (parsed.items(), kept)
        # A value with a line break may be a field of its own, or the end of the head.
        if all(_is_sound(name, value) for name, value in headers):
            assert kept[-1] == SOUND_HEADER and len(kept) == len(headers) + 1, kept
        assert all(_is_sound(name, value) for name, value in kept), kept

    check()


SOUND_HEADER = ("X-Sound", "sound")
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def _is_sound(name: str, value: str) -> bool:
    return bool(_TOKEN.fullmatch(name) and _VALUE.fullmatch(value))


SERVER_STATUSES = st.sampled_from([200, 204, 429, 503])
SERVER_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(["Keep-Alive", "Connection", "Retry-After", "Server-Leaving"]),
        HEADER_TEXTS | DIGITS.map(lambda text: f"timeout={text}"),
    ),
    max_size=4,
)


@then("any head of a server leaves a time-out, a back-off and an event id that can be carried")
def check_server_heads(context: Any) -> None:
    @limited(max_examples=400)
    @drawn(
        SERVER_HEADERS, st.sampled_from([200, 204, 429, 503]), st.lists(HEADER_TEXTS, max_size=3)
    )
    def check(headers: list[tuple[str, str]], status: int, event_ids: list[str]) -> None:
        response: Any = type("Response", (), {})
        response.headers = HTTPHeaderDict(headers)
        response.status = status
        assert 0.0 <= max(_compute_idle_timeout_s(response), 0.0) <= 3600.0
        notice = read_notice(status, headers, HEADER_NAMES)
        assert 0.0 <= notice.backoff_s <= MAX_BACKOFF_S
        _check_events(event_ids)

    check()


def _check_events(event_ids: list[str]) -> None:
    splitter = EventSplitter()
    last_event_id = "3"
    for event_id in event_ids:
        event = f"id: {event_id}\ndata: d\n\n".encode("utf-8", "surrogatepass")
        found = split_events(splitter, event)
        if is_malformed(splitter, found):
            return
        for seen_id, _ in found.events:
            if is_later_event(seen_id, last_event_id) and seen_id:
                last_event_id = seen_id
    connection = HTTPConnection("127.0.0.1", 9)
    connection.putrequest("GET", "/")
    connection.putheader("Last-Event-Id", last_event_id)


@then("any answer of the store is read, or fails by itself")
def check_store_answers(context: Any) -> None:
    bodies = (
        st.binary(max_size=50)
        | st.sampled_from([b"[" * 100_000, b'{"at":' + b"9" * 5000 + b"}", b"7", b"null", b"{}"])
        | st.fixed_dictionaries(
            {"at": VALUES}, optional={"Entries": VALUES, "events": VALUES, "more": VALUES}
        ).map(lambda content: json.dumps(content).encode())
    )

    @limited(max_examples=400)
    @drawn(bodies)
    def check(body: bytes) -> None:
        page = decode_page(body)
        if isinstance(page, Err):
            assert page.err_value
            return
        encode_envelope(Envelope("a", 1, (message_types.ServersQuery(_order(page.ok_value)),)))
        list(decode_items((*page.ok_value.entries, *page.ok_value.events)))

    check()


def _order(page: Any) -> SourceOrder:
    return SourceOrder(0, page.revision)


@then("of any stream in any pieces, the bytes since its last event are counted")
def check_event_bytes(context: Any) -> None:
    stream = st.lists(st.sampled_from([b"d", b"\n", b"\r\n", b"\r"]), max_size=30).map(b"".join)

    @drawn(stream, st.lists(st.integers(1, 5), max_size=40))
    def check(content: bytes, sizes: list[int]) -> None:
        counted, tail, read = 0, b"", b""
        for size in [*sizes, len(content)]:
            piece, content = content[:size], content[size:]
            counted = count_event_bytes(tail, piece, counted)
            tail = (tail + piece)[-EVENT_END_BYTES:]
            read += piece
            ends = [read.rfind(mark) + len(mark) for mark in EVENT_ENDS if mark in read]
            assert counted == len(read) - max(ends, default=0), (read, counted)

    check()


@then("any option file is rejected with findings, or a core can run with it")
def check_option_files(context: Any) -> None:
    for field in dataclasses.fields(CoreOptions):
        for value in ALL_VALUES:
            changed = change_options(CoreOptions(), {field.name: value}, "options.json")
            if isinstance(changed, Err):
                assert changed.err_value and all(str(finding) for finding in changed.err_value)
                continue
            read = getattr(changed.ok_value, field.name)
            assert not isinstance(read, int | float) or abs(read) < 2**53, (field.name, read)
