"""Bounds of values that come from outside, so that every later use can carry what is accepted.

A value that is read from the source, a settings file or a peer is later added to a clock, encoded
in a message, written into a header or a log line, or given to a socket or a timer. The models at
the borders use these types, so that none of these uses can fail.
"""

from typing import Annotated

import msgspec

MAX_INTEGER = 2**53 - 1
"""The largest integer that a float holds exactly. A sum of a thousand such values still fits into
an integer of a message, which has 64 bits."""

MAX_WAIT_MS = 2**31 - 1
"""The longest wait that a poll call of the operating system accepts: nearly 25 days."""

MAX_WAIT_S = MAX_WAIT_MS / 1000.0

MIN_TIMER_MS = 1.0
"""Timers of the event loop are no finer."""

MAX_REGIONS = 64
"""The most regions that a route or workspace may name; rows of bids carry them."""

MAX_COUNT = 2**31 - 1
"""The largest size or number that system calls and buffers take, which is one of 31 bits."""

MAX_TOKENS = 10**12
"""The most tokens, or tokens per second. The sum over a fleet of 10,000 engines is exact."""

MAX_RATE = 1e9
"""The largest rate, ratio or weight; its products and sums stay finite."""

MIN_RATE = 1e-9
"""The smallest rate other than 0; its inverse is at most ``MAX_RATE``."""

MAX_NAME_CHARACTERS = 200
"""The platform's keys have at most 200 bytes, and a name is part of one, or of a header."""

MAX_WIRE_TEXT_CHARACTERS = 4096
"""Longest name in a message between routers. Such names consist of several others."""

MAX_FINGERPRINT_BYTES = 64

_UNPRINTABLE = "\\x00-\\x1f\\x7f-\\x9f\ud800-\udfff"
"""Control characters, and surrogates, which UTF-8 cannot encode."""

PRINTABLE_PATTERN = f"^[^{_UNPRINTABLE}]*\\Z"

PATH_PREFIX_PATTERN = f"^/([^{_UNPRINTABLE}]*/)?\\Z"
"""Begins and ends with a slash."""

NAME_PATTERN = f"^(?!\\s)[^{_UNPRINTABLE}]+(?<!\\s)\\Z"
"""Without a space at either end, which a header would lose."""

Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=NAME_PATTERN)
]
"""A name that fits into messages, headers, log lines and labels of metrics."""

OptionalName = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS, pattern=f"^\\Z|{NAME_PATTERN}")
]
"""A name, or nothing."""

Regions = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_REGIONS)]

WaitMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]
PositiveWaitMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_WAIT_MS)]
TimerMs = Annotated[float, msgspec.Meta(ge=MIN_TIMER_MS, le=MAX_WAIT_MS)]
WaitS = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)]
PositiveWaitS = Annotated[float, msgspec.Meta(gt=0, le=MAX_WAIT_S)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveInteger = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Rank = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
PositiveTokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
TokenRate = Annotated[float, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]

WireInt = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
"""An integer in a message between routers."""

WireFloat = Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
"""A finite number in a message between routers."""

WireText = Annotated[str, msgspec.Meta(max_length=MAX_WIRE_TEXT_CHARACTERS)]
"""A name in a message between routers."""

WireBytes = Annotated[bytes, msgspec.Meta(max_length=MAX_FINGERPRINT_BYTES)]
"""A fingerprint or key in a message between routers."""

WireAddress = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS, pattern=r"^[0-9.]{7,15}:[0-9]{1,5}\Z")
]
"""A backend server's address in a message between routers."""
