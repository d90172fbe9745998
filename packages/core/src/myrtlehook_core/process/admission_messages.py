"""Messages of admission to model engines and of shares; see ``messages`` for the rules."""

import msgspec

from myrtlehook_core.version.bounds import WireFloat, WireInt, WireText


class PartRow(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt."""

    part_id: WireText
    tokens: WireInt


class AdmissionRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Asks an engine's owner to admit one request; sent again until it is answered."""

    request_id: WireText
    backend_server: WireText
    workspace: WireText
    parts: tuple[PartRow, ...]
    prompt_tokens: WireInt
    output_tokens: WireInt
    aim_left_ms: WireInt
    """Time left to the first-token target. Times are relative: router clocks may differ."""
    deadline_left_ms: WireInt
    priority: WireInt
    tier: WireInt
    """How many times over the workspace has requested its share; 0 is within it."""
    hop: WireInt
    """The number of engines that refused the request before, without one asked eagerly."""
    fetch_tokens: WireInt = 0
    """Tokens of the prompt's beginning that the engine can fetch from another engine."""
    above_share: bool = False
    """Whether the workspace requests more than its share, whatever this request's tier."""
    eager: bool = False
    """Whether the engine is wanted only if it can begin the answer soon; others are asked next."""
    aim_ms: WireInt = 0
    """The whole first-token target, of which ``aim_left_ms`` are left."""
    pause_target_ms: WireInt = 0
    """The longest pause between events with which the answer is still in time; 0 for none."""
    route: WireText = ""
    """Name of the request's route, which stands for its kind of work."""


class EngineEstimate(msgspec.Struct, frozen=True, array_like=True):
    """An owner's estimate of its engine; sent with each grant, for the next owner."""

    rate_tokens_per_s: WireFloat
    """How fast it reads prompts."""
    delay_ms: WireFloat
    """From a grant to the answer's first event received, without the reading time."""
    token_ms: WireFloat
    """Between two output tokens of a request."""
    samples: WireInt
    """The number of answers that the estimate is based on."""
    age_ms: WireInt
    """Time since the last of them."""
    reading_event_ms: WireInt = 0
    """Between two events of a stream while it reads without a break; 0 if its streams keep their
    pace anyway."""
    idle_event_ms: WireInt = 0
    """The same while it reads nothing; 0 if that is not known."""
    steady_tokens_per_s: WireFloat = 0.0
    """How fast it has read over the last seconds; 0 if that is unknown."""


class AdmissionGrant(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The request may be sent to the engine now."""

    request_id: WireText
    backend_server: WireText
    unread_tokens: WireInt
    """Prompt tokens that the engine is expected to read for it."""
    estimate: EngineEstimate | None = None
    unconfirmed_ms: WireInt = 0
    """For how long the engine's listed software version is not relied on; see ``ended_servers``."""


class AdmissionRefusal(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """The engine cannot serve the request in time."""

    request_id: WireText
    backend_server: WireText
    retry_after_ms: WireInt
    cached_tokens: WireInt = 0
    """Tokens of the prompt's beginning that the engine has cached, for another one to fetch."""
    eager: bool = False
    """As in the request that is refused: an engine may be asked twice, eagerly and not, and a
    refusal of the first request may arrive after the second one was sent."""


class AdmissionProgress(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The engine has read the request's prompt: its answer has begun."""

    request_id: WireText
    backend_server: WireText


class AdmissionRelease(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The request no longer waits or runs at the engine."""

    request_id: WireText
    backend_server: WireText
    ran: bool
    failed: bool = False
    """The engine did not serve it, or broke its answer off."""
    longest_pause_ms: WireInt = 0
    """The longest pause between two events of its stream there; 0 if it had fewer than two."""


class StreamPauseReport(msgspec.Struct, frozen=True, array_like=True, tag=31):
    """Reports to an engine's owner a pause of a stream there that came near its target."""

    request_id: WireText
    backend_server: WireText
    pause_ms: WireInt
    target_ms: WireInt


class HeldAdmissionRow(msgspec.Struct, frozen=True, array_like=True):
    """One request that its router has sent to an engine."""

    request_id: WireText
    workspace: WireText
    parts: tuple[PartRow, ...]
    total_tokens: WireInt
    unread_tokens: WireInt
    begun: bool
    output_tokens: WireInt = 0
    pause_target_ms: WireInt = 0


class HeldAdmissions(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """All requests that the sender runs at one engine, for an owner that may not know them."""

    backend_server: WireText
    rows: tuple[HeldAdmissionRow, ...]
    recent_parts: tuple[PartRow, ...]
    """Prompt parts that the sender sent to the engine lately, the oldest first."""
    estimate: EngineEstimate | None = None
    """The previous owner's estimate, as the sender last received it."""


class DemandRow(msgspec.Struct, frozen=True, array_like=True):
    """The demand of one workspace within the window."""

    workspace: WireText
    asked_tokens: WireInt
    refused_tokens: WireInt = 0
    """Those of them that no engine admitted."""
    granted_tokens: WireInt = 0
    """What engines have admitted within the window, whenever it was requested."""


class DemandReport(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """The whole demand for a pool at the sender within the window; replaces its last report."""

    pool: WireText
    rows: tuple[DemandRow, ...]
    to_collector: bool = False
    """Whether the receiver adds up the reports of its availability zone and sends the sum on."""


class ShareLevel(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """The equal part of a pool's capacity that no workspace may exceed within the window."""

    pool: WireText
    level_tokens: WireInt
    rows: tuple[DemandRow, ...]
    """The workspaces that request more, with their whole demand across the fleet."""
