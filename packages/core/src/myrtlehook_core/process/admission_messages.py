"""Messages of admission to model engines and of shares; see ``messages`` for the rules."""

import msgspec


class PartRow(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt."""

    part_id: str
    tokens: int


class AdmissionRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Asks an engine's owner to admit one request; asked again until it is answered."""

    request_id: str
    backend_server: str
    workspace: str
    parts: tuple[PartRow, ...]
    prompt_tokens: int
    output_tokens: int
    aim_left_ms: int
    """Times are relative, so that no clocks are compared."""
    deadline_left_ms: int
    priority: int
    tier: int
    """How many times over the workspace has asked for its share; 0 is within it."""
    hop: int
    """How many other engines were asked before."""
    fetch_tokens: int = 0
    """Tokens of the prompt's beginning that the engine can take from another one."""
    above_share: bool = False
    """Whether the workspace asks for more than its share, this request included or not."""
    eager: bool = False
    """The engine is wanted only if it is soon free: others are asked next."""
    aim_ms: int = 0
    """All of the aim, of which ``aim_left_ms`` are left."""


class EngineEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What an engine's owner has learned of it; told with each grant, for the next owner."""

    rate_tokens_per_s: float
    """How fast it reads prompts."""
    delay_ms: float
    """From a grant to the first event heard, beside the reading."""
    token_ms: float
    """From one token that it makes for a request to the next."""
    samples: int
    """Answers that the estimate rests on."""
    age_ms: int
    """Since the last of them."""


class AdmissionGrant(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The request may be sent to the engine now."""

    request_id: str
    backend_server: str
    unread_tokens: int
    """Prompt tokens that the engine is expected to read for it."""
    estimate: EngineEstimate | None = None


class AdmissionRefusal(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """The engine cannot take the request in time."""

    request_id: str
    backend_server: str
    retry_after_ms: int
    kept_tokens: int = 0
    """Tokens of the prompt's beginning that the engine keeps, and may hand to another."""
    eager: bool = False
    """As it was asked: an engine may be asked twice, and answers may overtake questions."""


class AdmissionProgress(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The engine has read the request's prompt: its answer has begun."""

    request_id: str
    backend_server: str


class AdmissionRelease(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """The request waits or runs at the engine no longer."""

    request_id: str
    backend_server: str
    ran: bool
    failed: bool = False
    """The engine did not serve it, or broke off."""


class HeldAdmissionRow(msgspec.Struct, frozen=True, array_like=True):
    """One request that its router has sent to an engine."""

    request_id: str
    workspace: str
    parts: tuple[PartRow, ...]
    total_tokens: int
    unread_tokens: int
    begun: bool
    output_tokens: int = 0


class HeldAdmissions(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """All that the sender runs at one engine, for an owner that may not know of it."""

    backend_server: str
    rows: tuple[HeldAdmissionRow, ...]
    recent_parts: tuple[PartRow, ...]
    """Parts that the sender has seen used there lately, the oldest first."""
    estimate: EngineEstimate | None = None
    """What the last owner had learned, as the sender heard it."""


class DemandRow(msgspec.Struct, frozen=True, array_like=True):
    """What one workspace has asked for."""

    workspace: str
    asked_tokens: int
    refused_tokens: int = 0
    """Of those, what no engine took."""
    granted_tokens: int = 0
    """What engines have taken within the window, whenever it was asked."""


class DemandReport(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """All that was asked of a pool at the sender within the window; replaces its last one."""

    pool: str
    rows: tuple[DemandRow, ...]
    to_collector: bool = False
    """For the router that adds up what its availability zone reports, and sends it on."""


class ShareLevel(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """The equal part of a pool's capacity that no workspace may exceed within the window."""

    pool: str
    level_tokens: int
    rows: tuple[DemandRow, ...]
    """The workspaces that ask for more, with all that they ask across the fleet."""
