"""Steps of a workspace that begins to flood engines that others overload already."""

from typing import Any

from behave import then, when

from standins.flood_histories import FloodHistory


@when("one of eight workspaces suddenly asks for twenty times as much, seed {seed:d}")
def play_flood(context: Any, seed: int) -> None:
    context.flood = FloodHistory(seed)
    context.flood.play()


@then(
    "in any six seconds from its beginning on, each workspace receives {part:g} of what it asks"
    " or of what the best served one does"
)
def check_spans(context: Any, part: float) -> None:
    least = context.flood.find_least_span()
    assert least.fraction >= part, least
