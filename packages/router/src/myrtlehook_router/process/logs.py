"""Logging: one JSON object per line on standard output."""

import sys
from collections.abc import MutableMapping
from typing import TYPE_CHECKING, Any, TextIO

from myrtlehook_router.process.imports import import_without

if TYPE_CHECKING:
    import structlog
else:
    # It would import rich for output on a console, and with it dozens of modules.
    structlog = import_without("structlog", "rich")

EventDict = MutableMapping[str, Any]


KEPT = "kept"
"""Argument of the logger factory for loggers whose lines are kept in an overload."""


def set_up_logs(vm: str, stream: TextIO | None = None, kept_stream: TextIO | None = None) -> None:
    """Make every log line a JSON object that names this VM.

    :param kept_stream: written to instead of ``stream`` by loggers whose lines are kept.
    """
    regular = structlog.WriteLogger(stream or sys.stdout)
    kept = structlog.WriteLogger(kept_stream) if kept_stream is not None else regular

    def add_vm(logger: object, method: str, event: EventDict) -> EventDict:
        # A context variable would not carry over from one green thread to another.
        event["vm"] = vm
        return event

    structlog.configure(
        processors=[
            add_vm,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        # WriteLogger writes a line and its newline in one call. With a logger that writes the
        # newline separately, a bounded stream would count, and drop, half lines.
        logger_factory=lambda *names: kept if KEPT in names else regular,
        cache_logger_on_first_use=True,
    )


def get_logger(name: str, is_kept: bool = False) -> "structlog.typing.FilteringBoundLogger":
    """Return a logger whose lines carry the name of a part of the router.

    :param is_kept: whether its lines are kept while others are dropped; for a few per second only.
    """
    return structlog.get_logger(*((KEPT,) if is_kept else ()), part=name)
