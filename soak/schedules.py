"""Random schedules of faults, drawn from a seed; faults may overlap."""

import random
from dataclasses import dataclass
from typing import Any

from emulator.foreign_items import FOREIGN_ITEMS

ROUTER_KINDS = ("kill", "stop", "pause", "reload")
STORE_MODES = ("silent", "one_way", "reset", "delay")
SERVER_MODES = ("silent", "one_way", "reset", "delay")
SERVER_FAULTS = ("reset_answers", "refusals")
STORE_FAULTS = ("refuses", "nonsense", "forgets")
ENDINGS = ("end", "spoilt")
"""``end``: one engine ends by chance. ``spoilt``: a client's request ends each engine that
begins to run it."""

NOTICES = ("turns_away", "tells_leaving")
"""``turns_away``: for a time, a server refuses every second request and asks for back-off.
``tells_leaving``: an engine announces in all answers that it leaves, while its store entry
stays as it is."""

DEPARTURES = ("says", "goes", "says_and_goes", "says_then_goes")
"""How an engine leaves: its entry says so, or goes, or both at once, or one after the other. It
serves on, and another engine starts."""

MAX_SAYING_S = 1.5
"""How long an entry says that its engine leaves before it goes."""

FOREIGN_VALUES = ("item", "item", "configuration")
"""``item``: another program writes items of any kind. ``configuration``: one is published in which
a field of all routes is out of its bounds."""

UNSOUND_FIELDS: dict[str, Any] = {
    "TimeoutMs": 1e300,
    "TargetLatencyMs": float("inf"),
    "TargetItlMs": 1e300,
    "Priority": 2**70,
    "MaxAttempts": 2**70,
    "Name": "route \ud800",
    "Host": "host\r\n",
    "AllowedRegions": ["\ud800"],
}

SILENCES = ("one", "several", "all", "in_turn")
"""How many servers stand still at once; ``in_turn``: one does so several times."""

MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 3.0
MAX_SILENCE_IN_TURN_S = 1.6
MIN_GAP_S = 0.05
MAX_GAP_S = 0.5

PLANNED_WORK = (
    ("router", "stop"),
    ("router", "reload"),
    ("change", "configuration"),
    ("change", "drain"),
)
CONFIGURATION_CHANGES = ("version", "limits", "attempts", "connections", "routes")
"""What a new configuration changes; ``version``: nothing else."""

PACES = ("slower", "slow_spell")
"""``slower``: an engine is slower than the others for the whole run. ``slow_spell``: one turns slow
for a moment. Neither excuses a broken promise."""

FRAMINGS = ("chunks", "padded", "none")
"""How an engine frames its answers, for the whole run."""

MIN_SPELL_S = 0.3
MAX_SPELL_S = 1.0

CHANGES = ("configuration", "drain", "break_stream")
KINDS = ("router", "store_link", "server_link", "server", "store", "change")

FIRST_FAULT_S = 0.5
MAX_FAULT_S = 4.0
MIN_FAULT_S = 0.3


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, its target, and its begin and end in seconds after the start."""

    at_s: float
    until_s: float
    kind: str
    how: str
    target: str


def draw_framings(seed: int, engines: list[str]) -> dict[str, str]:
    """Draw how each engine frames its answers; one at least marks their end by nothing else."""
    draw = random.Random(f"framings {seed}")
    framings = {engine: draw.choice(FRAMINGS) for engine in engines}
    framings[draw.choice(engines)] = "none"
    return framings


def draw_schedule(seed: int, seconds: float, routers: list[str], servers: list[str]) -> list[Fault]:
    """Draw the faults of one run, ordered by their begin."""
    draw = random.Random(seed)
    faults = []
    for _ in range(draw.randint(3, 10)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        until_s = min(at_s + draw.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds)
        kind = draw.choice(KINDS)
        how, target = _draw_target(draw, kind, routers, servers)
        faults.append(Fault(round(at_s, 3), round(until_s, 3), kind, how, target))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_endings(seed: int, seconds: float, engines: list[str]) -> list[Fault]:
    """Draw when engines end, in addition to the other faults of the same seed."""
    draw = random.Random(f"endings/{seed}")
    faults = []
    for _ in range(draw.randint(1, 4)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        until_s = min(at_s + draw.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds)
        target = draw.choice(engines)
        how = draw.choice(ENDINGS)
        faults.append(Fault(round(at_s, 3), round(until_s, 3), "ending", how, target))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_notices(seed: int, seconds: float, servers: list[str], engines: list[str]) -> list[Fault]:
    """Draw the notices of servers in answers, in addition to the other faults of the same seed.

    At most one engine leaves, because a site without engines serves nobody.
    """
    draw = random.Random(f"notices/{seed}")
    faults: list[Fault] = []
    for _ in range(draw.randint(2, 4)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        until_s = min(at_s + draw.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds)
        how = draw.choice(NOTICES)
        if any(fault.how == "tells_leaving" for fault in faults):
            how = "turns_away"
        target = draw.choice(engines if how == "tells_leaving" else servers)
        faults.append(Fault(round(at_s, 3), round(until_s, 3), "notice", how, target))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_departures(seed: int, seconds: float, engines: list[str]) -> list[Fault]:
    """Draw which engines leave, in addition to the other faults of the same seed.

    Several may leave at once, but two always stay.
    """
    draw = random.Random(f"departures/{seed}")
    departures = []
    for target in draw.sample(engines, draw.randint(1, max(len(engines) - 2, 1))):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.7)
        until_s = at_s + draw.uniform(MIN_FAULT_S, MAX_SAYING_S)
        how = draw.choice(DEPARTURES)
        departures.append(Fault(round(at_s, 3), round(until_s, 3), "departure", how, target))
    return sorted(departures, key=lambda fault: fault.at_s)


def draw_paces(seed: int, seconds: float, engines: list[str]) -> list[Fault]:
    """Draw which engine is slower than the others, and slow spells of all of them."""
    draw = random.Random(f"paces/{seed}")
    paces = [Fault(0.0, seconds, "pace", "slower", draw.choice(engines))]
    for _ in range(draw.randint(2, 6)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        until_s = min(at_s + draw.uniform(MIN_SPELL_S, MAX_SPELL_S), seconds)
        target = draw.choice(engines)
        paces.append(Fault(round(at_s, 3), round(until_s, 3), "pace", "slow_spell", target))
    return sorted(paces, key=lambda fault: fault.at_s)


def draw_silences(seed: int, seconds: float, servers: list[str]) -> list[Fault]:
    """Draw which servers stand still, in addition to the other faults of the same seed.

    No two silences of one server overlap, or follow one another without a gap.
    """
    draw = random.Random(f"silences/{seed}")
    silences: list[Fault] = []
    for _ in range(draw.randint(2, 4)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        for silence in _draw_spell(draw, at_s, servers):
            if not any(_overlaps(silence, other) for other in silences):
                silences.append(silence)
    return sorted(silences, key=lambda fault: fault.at_s)


def _draw_spell(draw: random.Random, at_s: float, servers: list[str]) -> list[Fault]:
    """Draw silences that begin together, or follow one another at one server."""
    how = draw.choice(SILENCES)
    if how == "in_turn":
        return _draw_silences_in_turn(draw, at_s, draw.choice(servers))
    counts = {"one": 1, "several": draw.randint(2, max(len(servers) - 1, 2)), "all": len(servers)}
    silences = []
    for target in draw.sample(servers, min(counts[how], len(servers))):
        until_s = at_s + draw.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        silences.append(Fault(round(at_s, 3), round(until_s, 3), "silence", how, target))
    return silences


def _draw_silences_in_turn(draw: random.Random, at_s: float, target: str) -> list[Fault]:
    silences = []
    for _ in range(draw.randint(2, 3)):
        until_s = at_s + draw.uniform(MIN_SILENCE_S, MAX_SILENCE_IN_TURN_S)
        silences.append(Fault(round(at_s, 3), round(until_s, 3), "silence", "in_turn", target))
        at_s = until_s + draw.uniform(MIN_GAP_S, MAX_GAP_S)
    return silences


def _overlaps(one: Fault, other: Fault) -> bool:
    earlier, later = sorted((one, other), key=lambda fault: fault.at_s)
    return one.target == other.target and later.at_s < earlier.until_s + MIN_GAP_S


def draw_planned_work(
    seed: int, seconds: float, routers: list[str], engines: list[str]
) -> list[Fault]:
    """Draw planned work only: stops and reloads of routers, configurations, a drain."""
    draw = random.Random(f"planned work/{seed}")
    faults = []
    for _ in range(draw.randint(3, 6)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        until_s = min(at_s + draw.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds)
        kind, how = draw.choice(PLANNED_WORK)
        choices = routers if kind == "router" else engines
        choices = list(CONFIGURATION_CHANGES) if how == "configuration" else choices
        target = draw.choice(choices)
        faults.append(Fault(round(at_s, 3), round(until_s, 3), kind, how, target))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_foreign_values(seed: int, seconds: float) -> list[Fault]:
    """Draw what other programs write into the store, in addition to the other faults of the seed.

    Neither excuses a broken promise.
    """
    draw = random.Random(f"foreign values/{seed}")
    faults = []
    for _ in range(draw.randint(4, 10)):
        at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.8)
        until_s = min(at_s + draw.uniform(MIN_FAULT_S, MAX_FAULT_S), seconds)
        how = draw.choice(FOREIGN_VALUES)
        choices = FOREIGN_ITEMS if how == "item" else UNSOUND_FIELDS
        target = draw.choice(sorted(choices))
        faults.append(Fault(round(at_s, 3), round(until_s, 3), "foreign", how, target))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_version_count(seed: int, engines: int) -> int:
    """Draw how many software versions the engines are of: one, two, or each its own."""
    return random.Random(f"versions/{seed}").choice((1, 2, engines))


def draw_store_restorations(seed: int, seconds: float) -> list[Fault]:
    """Draw when the store saves a copy, and when it is restored from it."""
    draw = random.Random(f"copies/{seed}")
    at_s = draw.uniform(FIRST_FAULT_S, seconds * 0.5)
    until_s = at_s + draw.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return [Fault(round(at_s, 3), round(min(until_s, seconds), 3), "copy", "returns", "store")]


def _draw_target(
    draw: random.Random, kind: str, routers: list[str], servers: list[str]
) -> tuple[str, str]:
    if kind == "router":
        return draw.choice(ROUTER_KINDS), draw.choice(routers)
    if kind == "store_link":
        return draw.choice(STORE_MODES), draw.choice(routers)
    if kind == "server_link":
        return draw.choice(SERVER_MODES), draw.choice(servers)
    if kind == "server":
        return draw.choice(SERVER_FAULTS), draw.choice(servers)
    if kind == "store":
        return draw.choice(STORE_FAULTS), "store"
    change = draw.choice(CHANGES)
    return change, draw.choice(servers) if change == "drain" else ""
