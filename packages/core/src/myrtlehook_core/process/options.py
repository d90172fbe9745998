"""The core's options: tunable intervals and limits, with their defaults."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """Intervals, limits and switches of one router; see docs/operators/settings.md.

    Names that end in ``_part`` are fractions between 0 and 1. An ``aim`` is a request's target
    for the time to the first token.
    """

    refresh_interval_s: float = 0.1
    """Interval between bids and between service reports, while something changes."""
    spread_delay_s: float = 0.03
    """How long a queue is offered to a single owner before bids offer it to all owners."""
    bid_lease_s: float = 0.7
    """How long an owner uses a bid that is not refreshed."""
    grant_lease_s: float = 1.0
    """How long after its bid was sent a grant may start a request."""
    unconfirmed_lease_s: float = 1.5
    """How long an owner counts a slot as held for a grant that its holder has not confirmed."""
    hold_interval_s: float = 1.0
    hold_lease_s: float = 3.5
    """How long an owner counts a slot as held without a renewal from its holder."""
    adopt_delay_s: float = 0.2
    """How long a new owner waits for reports of the holders before it grants."""
    load_interval_s: float = 1.0
    """Interval between polls of a backend server's load report; infinity disables polling."""
    probe_interval_s: float = 0.15
    probe_timeout_s: float = 0.1
    indirect_timeout_s: float = 0.15
    suspicion_s: float = 0.3
    indirect_helpers: int = 2
    pause_threshold_s: float = 1.0
    """If no tick is handled for longer than this, the process was paused, and state that may be
    out of date is dropped."""
    ledger_count: int = 2
    handover_s: float = 1.0
    """How long a new ledger account accepts the totals that ingress routers hand over, and how
    long they send them after a change of ownership."""
    idle_grace_s: float = 1.0
    """A workspace that has had no requests waiting for this long counts as idle."""
    idle_drop_s: float = 120.0
    """An idle account is dropped after this long; a workspace that returns gains no credit."""
    cut_memory_s: float = 60.0
    """During a network partition, how long after an unreachable router's last report the service
    on its side is extrapolated."""
    early_charge: bool = True
    """Whether owners charge a grant to its workspace at once, before service reports show it."""
    charge_fanout: int = 16
    """An owner sends early charges to the pool's other owners if there are at most this many."""
    overfill_slots: int = 0
    """Requests granted beyond a server's slots, to hide the delay between the release of a slot
    and its next use."""
    choice_spread_units: float = 0.0
    """Spread (H) of the weighted random choice of a workspace, in service units per share; 0 uses
    the cost of two mean requests per share."""
    weighted_choice: bool = True
    """Whether owners choose workspaces by weighted random choice in pools with too many owners for
    early charges; else they always choose the one with the lowest virtual service."""
    fetches_memory: bool = True
    """Whether an engine fetches the cached prefix of a prompt from another engine that caches
    more of it, instead of reading that prefix again."""
    urgent_wait_part: float = 0.3
    """A request of a workspace that asks for more than its share waits for an engine for at most
    this part of the shortest first-token target among the engine's requests, if its own target
    is longer; 0 lets each request wait for most of its own target."""
    learns_engines: bool = True
    """Whether an engine's estimated rate and delay are updated from its answers; else they keep
    their initial values."""
    window_gain: float = 1.0
    """An engine is granted prompts to read ahead for a period: its own delay times this."""
    window_margin_s: float = 0.02
    """Added to that period, for one turn of the owner's loop and the delivery of the grant."""
    fewest_near_engines: int = 4
    """With at least this many engines in its own availability zone, a router asks there first."""
    engines_asked: int = 3
    """The number of engines that may refuse a request before it is refused to its client."""
    excess_engines_asked: int = 1
    """The same, for a request beyond its workspace's share."""
    eager_aim_part: float = 0.4
    """An engine of the own zone that is asked before all others accepts a request only if its
    answer is expected to begin within this part of its first-token target, so that a zone with
    more clients than others does not keep them waiting while engines elsewhere are free."""
    aim_slack_part: float = 0.85
    """A request is accepted only if its answer is expected to begin within this part of its
    first-token target; the rest allows for errors of the estimate."""
    stranger_aim_part: float = 0.7
    """The same at engines that are asked after the one that most likely has the prompt cached."""
    quota_window_s: float = 2.0
    """Shares of a pool's capacity are enforced within every window of this length. A workspace
    that suddenly floods the pool uses one window's share at once, so this should be half of
    the period over which flooding workspaces must receive equal service."""
    demand_interval_s: float = 0.2
    """Interval between routers' reports of the demand for model engines."""
    keeps_shares: bool = True
    """Whether requests beyond their workspace's share are served after all others."""
    small_workspaces_first: bool = True
    """Whether workspaces that ask for less than their share are served before those that ask for
    more, even before those requests of the latter that are within their share."""
    refuses_at_arrival: bool = True
    """Whether an engine's owner refuses a request at once if it cannot be served in time."""
    refuses_full_tiers: bool = True
    """Whether a router itself refuses most requests beyond a share while engines accept none
    of them."""
    favours_returned: bool = True
    """Whether a request that was refused before is preferred when its client retries it."""
    ejects_servers: bool = True
    """Whether a backend server that fails repeatedly is ejected, so that it gets no requests for a
    while."""
    quarantines_requests: bool = True
    """Whether a request during which backend servers repeatedly ended is quarantined."""
    sheds_overload: bool = True
    """Whether a router that is short of processor time sheds load by refusing requests."""
    passes_connections: bool = True
    """Whether a router that is short of processor time passes client connections to neighbours."""
    passing_starts_part: float = 0.6
    """Up to this utilisation of its processor time, a router serves every new connection itself."""
    passing_all_part: float = 0.85
    """From this utilisation on, a router passes on every new connection; between the two limits, a
    part that rises linearly."""
    helping_limit_part: float = 0.7
    """A router with at least this utilisation accepts no connections from neighbours."""
    capacity_factor: float = 1.0
    """Correction factor for the engine capacity that a configuration states."""
    source_readers: int = 0
    """The number of routers that read the source on behalf of all; 0 if each reads for itself."""
    first_read_delay_s: float = 0.0
    """Where all routers start together: how long they discover each other before some of them
    begin to read the source; 0 if a starting router reads it at once."""
    reader_age_limit_s: float = 1.5
    """A reader that has not reported for this long that the source answers it is not counted."""
    source_silence_s: float = 1.25
    """How long after an answer of the source a reader may report that the source still answers.
    It is longer than the source takes to answer a reader for which it has no news."""
    lapse_after_s: float = 2.1
    """The shortest outage of the source in which the entry of a live server can lapse."""
    exchange_totals: bool = True
    """Whether routers exchange service totals; False only in the benchmark's baseline, where each
    router keeps its own counters."""
    serves_while_draining: bool = False
    """Whether a draining router accepts new requests until its load balancer has noticed."""
    cold_overshoot: float = 1.0
    """The requests per second that a cold engine may get from all routers together, as a multiple
    of what its pool states for cold engines."""
    cold_tolerance_requests: float = 0.0
    """Requests per second that a cold engine may get in addition to that."""
    router_requests: int = 20_000
    router_bytes: int = 512 * 1024 * 1024
    retry_ratio: float = 0.2
    retry_burst: float = 10.0
    attempts: int = 4
    earliest_goal_first: bool = True
    """Whether, of a workspace's waiting calls to a plain service, those that can still be in time
    get free slots before those that are late; else a router is drawn, and its oldest one goes."""
    places_by_capacity: bool = True
    """Whether this router states its VM's processor time, by which owners are placed. While one
    router of the fleet states none, all count as equal."""
    most_spread_owners: int = 8
    """The number of a pool's other owners that are told at once when one has no slot for a waiting
    request, or has granted one that was offered to them too; 0 leaves both to the next refresh."""
    tallies_requests: bool = True
    """Whether a router counts what callers got, by workspace and by kind of work."""
    paces_streams: bool = True
    """Whether an engine reads with gaps where reading without a break delays the events of its
    streams beyond the longest pause that their routes allow."""
    early_engines_drawn: int = 2
    """The number of engines that are drawn and asked, after a prompt's homes, to begin an answer
    early, before the one that can begin it first is asked to take the request at all; 0 asks none
    of them, and only the home of the own zone for an early beginning."""
    weighs_engines: bool = False
    """Whether engines that read about twice or half as fast as their pool's median are the homes of
    twice or half as many prompts."""
