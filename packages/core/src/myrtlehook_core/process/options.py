"""The core's tunable constants, with the defaults that the measurements chose."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """Intervals and bounds of one router; see docs/operators/settings.md."""

    refresh_interval_s: float = 0.1
    """How often bids and service reports go out while something changes."""
    spread_delay_s: float = 0.03
    """How long a queue is offered to one owner before all owners hear of it."""
    bid_lease_s: float = 0.7
    """How long an owner believes a bid that is not refreshed."""
    grant_lease_s: float = 1.0
    """How long after its bid was sent a grant may start a request."""
    unconfirmed_lease_s: float = 1.5
    """How long an owner counts a grant as held that its holder has not confirmed."""
    hold_interval_s: float = 1.0
    hold_lease_s: float = 3.5
    """How long an owner counts a slot as held without hearing from its holder."""
    adopt_delay_s: float = 0.2
    """How long a new owner waits for holders to report before it grants."""
    load_interval_s: float = 1.0
    """Infinity where load reports are not asked for."""
    probe_interval_s: float = 0.15
    probe_timeout_s: float = 0.1
    indirect_timeout_s: float = 0.15
    suspicion_s: float = 0.3
    indirect_helpers: int = 2
    pause_threshold_s: float = 1.0
    """A loop this late has been paused; what it believed is dropped."""
    ledger_count: int = 2
    handover_s: float = 1.0
    """How long a new ledger account takes over totals that entries hand to it."""
    idle_grace_s: float = 1.0
    """A workspace with nothing waiting for this long counts as idle."""
    idle_drop_s: float = 120.0
    """An idle account is dropped after this long; its return brings no credit."""
    cut_memory_s: float = 60.0
    """How long the share of service beyond a cut is extrapolated."""
    early_charge: bool = True
    charge_fanout: int = 16
    """An owner tells its early charges to the pool's other owners up to so many."""
    overfill_slots: int = 0
    """Requests granted beyond a server's slots, to hide the turn-around of a slot."""
    choice_spread_units: float = 0.0
    """H of the weighted random choice; 0 takes two mean requests a share."""
    weighted_choice: bool = True
    fetches_memory: bool = True
    """Whether an engine that is not the home of a prompt takes what the home keeps of it,
    instead of reading that again."""
    urgent_wait_part: float = 0.3
    """A request of a workspace that asks for more than its share waits for an engine at most
    this part of the shortest aim that is asked for there, if its own is longer; 0 where each
    request may wait for most of its own aim."""
    learns_engines: bool = True
    """Whether rate and delay of an engine follow its answers; else they stay as believed
    before the first one."""
    window_gain: float = 1.0
    """An engine is given prompts ahead for its own delay times this,"""
    window_margin_s: float = 0.02
    """and for this long, in which its owner takes a turn and the grant arrives."""
    fewest_near_engines: int = 4
    """With so many engines in its own availability zone, a router asks there first."""
    engines_asked: int = 3
    """How many engines a request asks for before it is refused."""
    excess_engines_asked: int = 1
    """The same for a request that exceeds its workspace's share."""
    eager_aim_part: float = 0.4
    """An engine of the own zone that is asked before these takes a request only if its answer
    begins within this part of its aim: a zone with more callers than others must not keep
    them waiting while engines elsewhere are free."""
    aim_slack_part: float = 0.85
    """A request is taken only if its answer is expected to begin within this part of its
    aim; estimates err."""
    stranger_aim_part: float = 0.7
    """An engine takes a request whose prompt another one keeps only if its answer begins
    within this part of its aim."""
    quota_window_s: float = 2.0
    """Shares of a pool's capacity are kept within every window of this length. A workspace
    that floods suddenly takes one window's share at once, so that this is to be half of
    the span over which workspaces that flood are to receive alike."""
    demand_interval_s: float = 0.2
    """How often routers report what was asked of model engines."""
    keeps_shares: bool = True
    """Whether what exceeds a workspace's share is served later."""
    small_workspaces_first: bool = True
    """Whether workspaces that ask for less than their share come before those that ask
    for more, also within the share of these."""
    refuses_at_arrival: bool = True
    """Whether an engine's owner refuses at once what cannot be in time."""
    refuses_full_tiers: bool = True
    """Whether a router refuses what exceeds a share itself while engines take none of it."""
    favours_returned: bool = True
    """Whether a request that was refused before is taken first when its caller is back."""
    ejects_servers: bool = True
    """Whether a backend server that fails again and again is left alone for a while."""
    quarantines_requests: bool = True
    """Whether a request under which backend servers end again and again is held back."""
    sheds_overload: bool = True
    """Whether a router short of processor time turns requests away."""
    passes_connections: bool = True
    """Whether a router short of processor time has neighbours serve callers of its own."""
    passing_starts_part: float = 0.6
    """Below this part of its processor time, a router serves every new connection itself;"""
    passing_all_part: float = 0.85
    """from here on it passes each on, and in between a part of them."""
    helping_limit_part: float = 0.7
    """A router that uses this part of its processor time takes no connection of another."""
    capacity_factor: float = 1.0
    """Corrects what a configuration says that its engines produce."""
    source_readers: int = 0
    """How many routers read the source for all; 0 where each reads for itself."""
    first_read_delay_s: float = 0.0
    """Where all routers start together: how long each learns of the others before those
    that read the source begin; 0 where a router that starts reads at once."""
    reader_age_limit_s: float = 1.5
    """A reader that has not said for this long that the source answers it counts no more."""
    source_silence_s: float = 1.4
    """How long after an answer of the source a reader may say that it still answers."""
    exchange_totals: bool = True
    """False only in the bench's baseline that keeps its own counters."""
    serves_while_draining: bool = False
    """Whether a stopping router takes new requests until its balancer has noticed."""
    cold_overshoot: float = 1.0
    """A cold engine may get so many times the requests a second that its pool is said to take,"""
    cold_tolerance_requests: float = 0.0
    """and so many more, from all routers together."""
    router_requests: int = 20_000
    router_bytes: int = 512 * 1024 * 1024
    retry_ratio: float = 0.2
    retry_burst: float = 10.0
    attempts: int = 4
