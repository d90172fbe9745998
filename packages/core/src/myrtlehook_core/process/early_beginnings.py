"""Early beginnings: which engines are asked to begin an answer soon, and which one is asked last.

At its home a request may find the slots used up, or a long queue, while most engines have room.
So a few engines are asked in turn whether they can begin its answer early. If none can, the one
whose refusal named the earliest time is asked to take the request as late as its target allows.
"""

from collections.abc import Callable

from myrtlehook_core.process.admission_requests import Admission


def choose_early_engines(
    homes: tuple[str, ...], ranked: tuple[str, ...], drawn: int, draw: Callable[[], float]
) -> tuple[str, ...]:
    """Return the engines asked for an early beginning: the homes of the prompt, then drawn ones.

    The others are drawn, since routers that all asked the same engine next would fill it at once.

    :param draw: returns a random number between 0 and 1.
    """
    strangers = [name for name in ranked if name not in homes]
    chosen = list(homes)
    for _ in range(min(drawn, len(strangers))):
        chosen.append(strangers.pop(int(draw() * len(strangers))))
    return tuple(chosen)


def order_last_engines(admission: Admission) -> None:
    """Rank the engines anew after none could begin the answer early.

    The one that named the earliest time is asked first. If it is not the prompt's home, it counts
    as a later one of the engines asked, so that it leaves room for prompts of its own, and the home
    follows, which also takes requests that cannot be in time anywhere.
    """
    waits_s = admission.early_waits_s
    refused = sorted(waits_s, key=lambda name: waits_s[name])
    best = refused[0] if refused else admission.home
    others = [name for name in admission.ranked_engines if name not in waits_s]
    ordered = dict.fromkeys((best, admission.home, *refused, *others))
    admission.ranked_engines = tuple(ordered)
    admission.tried.clear()
    admission.hop = 0 if best == admission.home else 1
