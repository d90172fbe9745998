"""Slow spells: an engine whose answers begin much later than forecast gets no new work for a while.

The estimate of an engine's rate follows its answers and is late for a spell of half a second. So
an engine's owner compares each answer with the forecast made at its grant. After some late answers
in a row, begun or still overdue, requests that ask for an early beginning are refused, so that
they go elsewhere; those that no engine can begin early are still taken.
"""

import math
from dataclasses import dataclass

LATE_FACTOR = 1.5
LATE_EXTRA_S = 0.02
"""An answer is late if its time since the grant exceeds the forecast by this factor and extra:
engines read in steps, and routers report with the delay of a turn of their loops."""

LATE_ANSWERS = 2
"""This many late answers in a row show a spell: one alone may be a lost message."""

PUNCTUAL_ANSWERS = 2
"""This many punctual answers in a row end a spell."""

SPELL_S = 0.3
"""A spell without further late answers ends after this long, so that an engine without work gets
some again. A spell that comes back is recognised again from two answers."""


@dataclass(slots=True)
class SlowSpell:
    """Whether an engine is in a slow spell, as its owner believes."""

    late_answers: int = 0
    """The number of late answers in a row."""
    punctual_answers: int = 0
    until_s: float = -math.inf


def is_slow(spell: SlowSpell, now_s: float) -> bool:
    """Return whether the engine is in a slow spell."""
    return now_s < spell.until_s


def find_due_s(granted_at_s: float, expected_begin_s: float) -> float:
    """Return the time after which an answer counts as late."""
    return granted_at_s + LATE_FACTOR * (expected_begin_s - granted_at_s) + LATE_EXTRA_S


def record_late_answer(spell: SlowSpell, now_s: float) -> bool:
    """Count a late answer; True when a spell is recognised by it."""
    spell.late_answers += 1
    spell.punctual_answers = 0
    if spell.late_answers < LATE_ANSWERS:
        return False
    was_slow = is_slow(spell, now_s)
    spell.until_s = now_s + SPELL_S
    return not was_slow


def record_punctual_answer(spell: SlowSpell, now_s: float) -> None:
    """Count an answer that began in time, and end the spell after some of them."""
    spell.punctual_answers += 1
    if spell.punctual_answers >= PUNCTUAL_ANSWERS or not is_slow(spell, now_s):
        spell.late_answers = 0
        spell.until_s = -math.inf
