"""The decision core of myrtlehook; this module re-exports its public API.

The modules below this package are private; import from here.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from myrtlehook_core.connection import byte_budgets
from myrtlehook_core.connection.byte_budgets import ByteBudget, Holder
from myrtlehook_core.connection.streams import EventVerdict, StreamPosition, judge_event
from myrtlehook_core.process import actions, events, messages
from myrtlehook_core.process.actions import Action
from myrtlehook_core.process.addresses import ListenAddress, Listener
from myrtlehook_core.process.choosers import (
    Candidate,
    Chooser,
    Draw,
    choose_lowest,
    make_weighted_chooser,
)
from myrtlehook_core.process.engine_loads import EngineFigures
from myrtlehook_core.process.events import Event
from myrtlehook_core.process.members import Member, MemberState, MemberTable, RouterIdentity
from myrtlehook_core.process.messages import (
    EncodedEnvelope,
    Envelope,
    decode_envelope,
    decode_sound_messages,
    encode_envelope,
    encode_message,
)
from myrtlehook_core.process.neighbours import (
    Neighbours,
    choose_neighbour,
    record_closed,
    record_opened,
    record_short,
    should_pass_on,
)
from myrtlehook_core.process.option_files import change_options
from myrtlehook_core.process.options import CoreOptions
from myrtlehook_core.process.quarantine import count_quarantined
from myrtlehook_core.process.regions import NO_REGIONS, Regions, intersect_regions
from myrtlehook_core.process.routers import RouterCore
from myrtlehook_core.process.server_beliefs import SendBelief, ServerBelief, ServerState
from myrtlehook_core.process.share_standings import ShareStanding, count_arrival, should_shed
from myrtlehook_core.process.shares import Shares
from myrtlehook_core.process.shedding import Shedding, record_lag, schedule_retry, should_refuse
from myrtlehook_core.process.statuses import RouterStatus, describe_router
from myrtlehook_core.request.admission import QueueLimits
from myrtlehook_core.request.fingerprints import fingerprint_request
from myrtlehook_core.request.outcomes import DropReason, Outcome, RefusalReason, RetryReason
from myrtlehook_core.request.part_keys import SuspectPart, make_part_digests, make_part_key
from myrtlehook_core.request.requests import (
    PoolKey,
    PromptPart,
    RequestSpecification,
    find_share_tokens,
)
from myrtlehook_core.request.stream_keys import make_stream_key
from myrtlehook_core.version import bounds
from myrtlehook_core.version.configurations import (
    BackendServer,
    ColdStart,
    Configuration,
    ConfigurationVersion,
    EngineCapacity,
    IngressLimits,
    Pool,
    PoolKind,
    Workspace,
)
from myrtlehook_core.version.digests import digest_text
from myrtlehook_core.version.exchange import ConfigurationParser
from myrtlehook_core.version.findings import Finding, make_excerpt
from myrtlehook_core.version.records import find_faults, read_record
from myrtlehook_core.version.routes import (
    PoolWeight,
    RequestKind,
    Route,
    RouteTable,
    build_route_table,
    choose_pool,
    find_route,
)
from myrtlehook_core.version.source_orders import NO_ORDER, SourceOrder

if TYPE_CHECKING:
    from myrtlehook_core.process.settings import (
        LimitSettings,
        ListenSettings,
        Settings,
        load_settings,
        make_core_options,
    )
    from myrtlehook_core.version.assembly import (
        assemble_configuration,
        build_configuration,
        find_inconsistencies,
        join_parts,
    )
    from myrtlehook_core.version.documents import (
        Document,
        ManifestDocument,
        PartDocument,
        PartReference,
        VmDocument,
        VmListDocument,
    )
    from myrtlehook_core.version.validation import parse_document, validate_content

_LAZY_MODULES = {
    "process.settings": (
        "LimitSettings",
        "ListenSettings",
        "Settings",
        "make_core_options",
        "load_settings",
    ),
    "version.assembly": (
        "assemble_configuration",
        "build_configuration",
        "find_inconsistencies",
        "join_parts",
    ),
    "version.documents": (
        "Document",
        "ManifestDocument",
        "PartDocument",
        "PartReference",
        "VmDocument",
        "VmListDocument",
    ),
    "version.validation": ("parse_document", "validate_content"),
}
"""Names that are imported on first use: a router on the users' platform does not need them,
and their models would be a third of all that it imports."""


def __getattr__(name: str) -> Any:
    for module, names in _LAZY_MODULES.items():
        if name in names:
            return getattr(import_module(f"{__name__}.{module}"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")


__all__ = [
    "ShareStanding",
    "NO_ORDER",
    "NO_REGIONS",
    "SendBelief",
    "ServerBelief",
    "ServerState",
    "SourceOrder",
    "ConfigurationParser",
    "ListenAddress",
    "Holder",
    "Listener",
    "find_share_tokens",
    "fingerprint_request",
    "count_quarantined",
    "find_faults",
    "make_excerpt",
    "read_record",
    "EngineCapacity",
    "EngineFigures",
    "IngressLimits",
    "PoolWeight",
    "PromptPart",
    "QueueLimits",
    "RequestKind",
    "Route",
    "RouteTable",
    "build_route_table",
    "choose_pool",
    "find_route",
    "load_settings",
    "make_core_options",
    "Settings",
    "ListenSettings",
    "LimitSettings",
    "Action",
    "BackendServer",
    "ByteBudget",
    "Candidate",
    "Chooser",
    "ColdStart",
    "Configuration",
    "ConfigurationVersion",
    "CoreOptions",
    "Document",
    "Draw",
    "DropReason",
    "Envelope",
    "Event",
    "EventVerdict",
    "Finding",
    "ManifestDocument",
    "Member",
    "MemberState",
    "MemberTable",
    "Neighbours",
    "choose_neighbour",
    "record_closed",
    "record_opened",
    "record_short",
    "should_pass_on",
    "Outcome",
    "PartDocument",
    "PartReference",
    "Pool",
    "PoolKey",
    "PoolKind",
    "RefusalReason",
    "RequestSpecification",
    "RetryReason",
    "RouterCore",
    "RouterIdentity",
    "RouterStatus",
    "Regions",
    "Shares",
    "Shedding",
    "StreamPosition",
    "VmDocument",
    "VmListDocument",
    "Workspace",
    "actions",
    "assemble_configuration",
    "bounds",
    "byte_budgets",
    "build_configuration",
    "change_options",
    "choose_lowest",
    "count_arrival",
    "decode_envelope",
    "decode_sound_messages",
    "describe_router",
    "digest_text",
    "EncodedEnvelope",
    "encode_envelope",
    "encode_message",
    "events",
    "find_inconsistencies",
    "intersect_regions",
    "join_parts",
    "judge_event",
    "SuspectPart",
    "make_part_digests",
    "make_part_key",
    "make_stream_key",
    "make_weighted_chooser",
    "schedule_retry",
    "record_lag",
    "should_refuse",
    "messages",
    "parse_document",
    "should_shed",
    "validate_content",
]
