"""Detection of outages of the source that were long enough for live servers' entries to lapse.

A live server renews its entry at short intervals, and the entry lapses after several of them
without a renewal. So an entry that is missing after a failed call has lapsed only if no router
was answered for at least that long; otherwise its server has left. Entries that lapsed return
shortly after the source does.

An outage is the time between two proofs that the source was reachable. A proof is the time at
which a call was sent that was answered; routers hand the latest one on. It keeps the number that
its reader gave it, so that a proof that is heard twice is not taken for a later one.
"""

import math
from dataclasses import dataclass, field

from myrtlehook_core.process.source_messages import SourceProof
from myrtlehook_core.version.discovery import RETURN_GRACE_S

MAX_PROOFS = 32
"""The number of proofs that are told apart. During an outage there are no new ones."""

NUMBERS_PER_S = 1e6


@dataclass(slots=True)
class SourceOutages:
    """What is known of the source's last outage."""

    proofs_at_s: dict[int, float] = field(default_factory=dict)
    """By number, when the source was reachable."""
    proven_at_s: float = -math.inf
    """The time of the latest proof."""
    has_failed: bool = False
    """Whether a call of this router has failed before the first proof."""
    began_s: float = -math.inf
    """The last proof before the outage."""
    ended_s: float = -math.inf
    """The first proof after the outage."""


def record_own_proof(outages: SourceOutages, asked_at_s: float, lapse_after_s: float) -> None:
    """Record that the source has answered a call of this router.

    :param lapse_after_s: the shortest outage in which the entry of a live server can lapse.
    """
    _record_proof(outages, int(asked_at_s * NUMBERS_PER_S), asked_at_s, lapse_after_s)


def apply_proof(
    outages: SourceOutages, proof: SourceProof | None, lapse_after_s: float, now_s: float
) -> None:
    """Record a proof that another router has reported."""
    if proof is not None:
        at_s = now_s - max(proof.age_ms, 0) / 1000.0
        _record_proof(outages, proof.number, at_s, lapse_after_s)


def record_failed_call(outages: SourceOutages) -> None:
    """Record that a call of this router to the source has failed."""
    outages.has_failed = outages.has_failed or math.isinf(outages.proven_at_s)


def forget_proofs(outages: SourceOutages) -> None:
    """Forget all proofs after a pause of this process, in which it could have heard of none."""
    outages.proofs_at_s.clear()
    outages.proven_at_s = -math.inf
    outages.has_failed = False


def make_proof(outages: SourceOutages, now_s: float) -> SourceProof | None:
    """Return the latest proof, to be sent to another router; None if there is none."""
    if not outages.proofs_at_s:
        return None
    number = max(outages.proofs_at_s, key=lambda known: outages.proofs_at_s[known])
    return SourceProof(number, round((now_s - outages.proofs_at_s[number]) * 1000.0))


def find_return_deadline_s(outages: SourceOutages, now_s: float) -> float | None:
    """Return until when entries that are missing now may return; None if they are gone."""
    deadline_s = outages.ended_s + RETURN_GRACE_S
    return deadline_s if now_s < deadline_s else None


def _record_proof(outages: SourceOutages, number: int, at_s: float, lapse_after_s: float) -> None:
    known_at_s = outages.proofs_at_s.get(number)
    if known_at_s is not None and known_at_s <= at_s:
        return
    outages.proofs_at_s[number] = at_s
    if len(outages.proofs_at_s) > MAX_PROOFS:
        oldest = min(outages.proofs_at_s, key=lambda known: outages.proofs_at_s[known])
        del outages.proofs_at_s[oldest]
    if at_s > outages.proven_at_s:
        _extend(outages, at_s, lapse_after_s)
    elif outages.began_s < at_s < outages.ended_s:
        _split(outages, at_s, lapse_after_s)


def _extend(outages: SourceOutages, at_s: float, lapse_after_s: float) -> None:
    """Record the latest proof; there was an outage if the one before it is too long ago."""
    is_first = math.isinf(outages.proven_at_s)
    # A router that started during an outage does not know for how long that has lasted.
    if outages.has_failed if is_first else at_s - outages.proven_at_s >= lapse_after_s:
        outages.began_s = outages.proven_at_s
        outages.ended_s = at_s
    outages.proven_at_s = at_s
    outages.has_failed = False


def _split(outages: SourceOutages, at_s: float, lapse_after_s: float) -> None:
    """Correct an outage by a proof from within it, which arrived late."""
    if at_s - outages.began_s >= lapse_after_s:
        outages.ended_s = at_s
    elif outages.ended_s - at_s >= lapse_after_s:
        outages.began_s = at_s
    else:
        outages.began_s = outages.ended_s = -math.inf
