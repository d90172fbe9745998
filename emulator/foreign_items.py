"""Items of the store that another program has written: keys, values and fields of any kind."""

import base64
import json
from typing import Any

from emulator.names import MODEL_SERVICE, PLAIN_SERVICE

MEGABYTE = 1_000_000

ENTRY = {
    "Service": "reports",
    "Address": "127.0.0.1:9",
    "Zone": "hall-1",
    "Version": "v1",
    "SlotCount": 4,
    "State": "draining",
    "ColdRemainingMs": 0,
    "SequenceNumber": 1,
}
"""An entry that is valid. Its server leaves, so that no request is sent to it."""


def make_item(key: Any, value: Any) -> dict[str, Any]:
    """Return an item with a key and a value in JSON."""
    content = base64.b64encode(json.dumps(value).encode()).decode()
    return {"PrivateKey": key, "Value": content, "Revision": 1, "made": 1, "lease": 0}


def make_entry(identifier: str = "i-other", **changes: Any) -> dict[str, Any]:
    """Return the item of a server's entry with some fields changed."""
    return make_item(f"servers/{identifier}", {**ENTRY, **changes})


def _make_text_entry(name: str, literal: str) -> dict[str, Any]:
    """Return the item of an entry in which a number is written as given."""
    text = json.dumps({**ENTRY, name: "*"}).replace('"*"', literal)
    return {**make_item("servers/i-other", ""), "Value": base64.b64encode(text.encode()).decode()}


FOREIGN_ITEMS: dict[str, list[Any]] = {
    "a cold time of 2**64 as a float": [make_entry(ColdRemainingMs=2.0**64)],
    "a cold time of 2**64 - 1": [make_entry(ColdRemainingMs=2**64 - 1)],
    "a cold time of 1e300": [make_entry(ColdRemainingMs=1e300)],
    "a cold time of 1e300 of a configured service": [
        make_entry(Service=MODEL_SERVICE, ColdRemainingMs=1e300)
    ],
    "a start of 400 digits": [_make_text_entry("born", "9" * 400)],
    "a sequence number of 400 digits": [_make_text_entry("SequenceNumber", "9" * 400)],
    "a negative cold time": [make_entry(ColdRemainingMs=-1e300)],
    "names of a megabyte each": [
        make_entry(f"i-large-{number}", Zone="z" * MEGABYTE) for number in range(6)
    ],
    "a version of a megabyte": [
        make_entry(f"i-large-{number}", Version="v" * MEGABYTE) for number in range(6)
    ],
    "a zone with a line break": [make_entry(Zone="hall\r\nEnd: 1")],
    "an address with a line break": [
        make_entry(Service=PLAIN_SERVICE, Address="127.0.0.1:9\n", State="ready")
    ],
    "an address that names no host": [make_entry(Address="0.0.0.0:9")],
    "models nested without end": [_make_text_entry("Models", "[" * 50_000 + "]" * 50_000)],
    "an id with a surrogate": [make_entry("i-\ud800")],
    "an id with a line break": [make_entry("i-other\r\nEnd: 1", Service=PLAIN_SERVICE)],
    "an id beyond Latin-1": [make_entry("i-\u0141", Service=PLAIN_SERVICE)],
    "an id of 5000 characters": [make_entry("i" * 5000)],
    "a page of ids that are too long": [
        make_entry(f"i-{number:03d}{'x' * 300}") for number in range(120)
    ],
    "an id that reads like a start of another server": [
        make_entry("i-desk-1@7", Service=PLAIN_SERVICE)
    ],
    "an evacuated zone with a surrogate": [make_item("op/evacuate/\ud800", {})],
    "an evacuated zone of 5000 characters": [make_item("op/evacuate/" + "z" * 5000, {})],
    "a key that is a number": [make_item(7, ENTRY)],
    "a key that is a list": [make_item(["servers/i-other"], ENTRY)],
    "no key": [{"Value": "", "Revision": 1}],
    "a value that is a number": [{**make_entry(), "Value": 7}],
    "a value that is nothing": [{**make_entry(), "Value": None}],
    "a number for an item": [7],
    "nothing for an item": [None],
    "a list for an item": [["servers/i-other"]],
}
"""What another program has written, by a description."""
