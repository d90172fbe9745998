"""Estimation of one engine's reading rate and delay from the times at which answers begin.

An engine reads prompts one after the other, in the order in which they reach it, and the
first event of an answer is received some time after its prompt was read. The reading of a
prompt counts from ``granted + delay`` if the engine had nothing to read, and otherwise from
the begin of the previous answer. The answer begins ``tokens / rate`` later:

    begun = max(granted + delay, begun of the previous answer) + tokens / rate

The model keeps the last answers and searches for the delay that fits them best; the rate
follows from the delay. See docs/design/engine-model.md for the alternatives considered.
"""

import math
from collections import deque
from dataclasses import dataclass, field, replace

from myrtlehook_core.process.admission_messages import EngineEstimate

PRIOR_RATE_TOKENS_PER_S = 30_000.0
PRIOR_DELAY_S = 0.04
PRIOR_TOKEN_S = 0.01
"""Estimates for an engine before its first answer, if no other engine of its pool is known; a
few answers replace them, whatever they are. The delay is a long one: an estimate that is too short
leaves the engine idle and hardly shows in the answers, one that is too long shows at once."""

PRIOR_TOKENS = 1_000
"""The prior has the weight of one answer to a prompt of this length."""

MAX_SAMPLES = 24
SAMPLE_DECAY = 0.93
"""Each new answer multiplies the weight of the older ones by this. About 14 answers count in all:
half a second to a second of a busy engine, enough to average over its steps."""

DELAY_FACTORS = (0.8, 1.25)
DELAY_STEP_S = 0.01
"""With each answer, the delay may change by one of these factors, or by this step."""

MAX_MISFIT_RATIO = 0.98
"""Another delay is adopted only if its misfit is below this fraction of the present one's: answers
of an engine that always has something to read do not show the delay."""

MIN_READING_S = 1e-6
"""Keeps the misfit finite for a delay that leaves no time to read."""

OUTLIER_FACTOR = 2.0
OUTLIER_EXTRA_S = 0.02
"""A reading time is limited to this multiple of the expected one, plus the extra: a lost message or
a pause does not mean that the engine is slow, and a slow one shows it repeatedly."""

MAX_RATE_RISE_FACTOR = 1.5
MAX_RATE_FALL_FACTOR = 2.0
"""One answer changes the rate by at most these factors: grants to an engine that looked fast only
for a moment cannot be withdrawn."""

DEVIATION_FACTOR = 1.5
DEVIATION_S = 0.01
MAX_CONSECUTIVE_DEVIATIONS = 3
"""This many consecutive answers that all come far later, or all far sooner, than expected show that
the engine has changed: older samples are dropped."""

TOKEN_TIME_WEIGHT = 0.05
"""Weight of one answer's time per output token in the moving average."""


@dataclass(frozen=True, slots=True)
class ReadSample:
    """Prompts that the engine finished reading together, by the times of grants and answers."""

    granted_s: float
    """When the first of them was granted."""
    previous_s: float
    """When the answer before theirs began."""
    begun_s: float
    """When the last of their answers began."""
    tokens: int
    """The number of prompt tokens that had to be read."""


@dataclass(slots=True)
class EngineModel:
    """The estimated performance of one engine."""

    rate_tokens_per_s: float = PRIOR_RATE_TOKENS_PER_S
    """How fast it reads prompts."""
    delay_s: float = PRIOR_DELAY_S
    """From a grant to the answer's first event received, without the reading time."""
    token_s: float = PRIOR_TOKEN_S
    """Between two output tokens of a request."""
    samples: int = 0
    """The number of answers learned from, including those of earlier owners."""
    sampled_at_s: float = -math.inf
    recent: deque[ReadSample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    """The newest first."""
    consecutive_deviations: int = 0
    """Consecutive answers that came far too late, or, if negative, far too soon."""


@dataclass(frozen=True, slots=True)
class _DelayFit:
    """A candidate for the engine's delay, and how well it fits the answers."""

    delay_s: float
    token_read_s: float
    """Reading time per token that follows from the delay."""
    misfit: float
    """Weighted deviation of the last answers, older ones with less weight, as a fraction of their
    reading time. It is relative since a delay that is too long leaves less reading time to miss."""


def make_model(similar: EngineEstimate | None) -> EngineModel:
    """Return the initial model of an engine.

    :param similar: an estimate of it by another owner, or of another engine of its pool.
    """
    model = EngineModel()
    if similar is not None and similar.rate_tokens_per_s > 0.0:
        model.rate_tokens_per_s = similar.rate_tokens_per_s
        model.delay_s = max(similar.delay_ms, 0.0) / 1000.0
        model.token_s = max(similar.token_ms, 0.0) / 1000.0
    read_s = PRIOR_TOKENS / model.rate_tokens_per_s
    model.recent.append(ReadSample(0.0, -math.inf, model.delay_s + read_s, PRIOR_TOKENS))
    return model


def adopt_estimate(model: EngineModel, estimate: EngineEstimate, now_s: float) -> EngineModel:
    """Return the model of an earlier owner's estimate, if that is based on more answers."""
    if estimate.samples <= model.samples:
        return model
    adopted = make_model(estimate)
    adopted.samples = estimate.samples
    adopted.sampled_at_s = now_s - estimate.age_ms / 1000.0
    return adopted


def make_estimate(model: EngineModel, now_s: float) -> EngineEstimate:
    """Return a model as the estimate that is sent to other routers."""
    age_s = now_s - model.sampled_at_s if model.samples else 0.0
    return EngineEstimate(
        rate_tokens_per_s=round(model.rate_tokens_per_s, 1),
        delay_ms=round(model.delay_s * 1000.0, 2),
        token_ms=round(model.token_s * 1000.0, 3),
        samples=model.samples,
        age_ms=round(age_s * 1000.0),
    )


def learn_reading_rate(model: EngineModel, sample: ReadSample, now_s: float) -> None:
    """Update the reading rate and delay from answers that have begun."""
    start_s = max(sample.granted_s + model.delay_s, sample.previous_s)
    expected_s = sample.tokens / model.rate_tokens_per_s
    elapsed_s = sample.begun_s - start_s
    _reset_after_change(model, elapsed_s, expected_s)
    longest_s = OUTLIER_FACTOR * expected_s + OUTLIER_EXTRA_S
    if elapsed_s > longest_s:
        sample = replace(sample, begun_s=start_s + longest_s)
    model.recent.appendleft(sample)
    model.samples += 1
    model.sampled_at_s = now_s
    _fit_delay_and_rate(model)


def learn_token_time(model: EngineModel, tokens: int, elapsed_s: float) -> None:
    """Update the time per output token from an answer that has ended.

    :param tokens: its expected output tokens, since forecasts are based on these as well.
    """
    if tokens > 0 and elapsed_s > 0.0:
        model.token_s += TOKEN_TIME_WEIGHT * (elapsed_s / tokens - model.token_s)


def _reset_after_change(model: EngineModel, elapsed_s: float, expected_s: float) -> None:
    """Drop older samples when consecutive deviations show that the engine has changed."""
    late = elapsed_s > DEVIATION_FACTOR * expected_s + DEVIATION_S
    soon = elapsed_s < expected_s / DEVIATION_FACTOR - DEVIATION_S
    if late:
        model.consecutive_deviations = max(model.consecutive_deviations, 0) + 1
    elif soon:
        model.consecutive_deviations = min(model.consecutive_deviations, 0) - 1
    else:
        model.consecutive_deviations = 0
    if abs(model.consecutive_deviations) < MAX_CONSECUTIVE_DEVIATIONS:
        return
    model.consecutive_deviations = 0
    while len(model.recent) >= MAX_CONSECUTIVE_DEVIATIONS:
        model.recent.pop()


def _fit_delay_and_rate(model: EngineModel) -> None:
    """Adopt the delay near the present one that fits the answers best, and its rate."""
    best = _evaluate_delay(model, model.delay_s)
    least_misfit = MAX_MISFIT_RATIO * best.misfit
    candidates = [model.delay_s * factor for factor in DELAY_FACTORS]
    candidates += [max(model.delay_s - DELAY_STEP_S, 0.0), model.delay_s + DELAY_STEP_S]
    for delay_s in candidates:
        fit = _evaluate_delay(model, delay_s)
        if fit.misfit < least_misfit:
            best = fit
            least_misfit = fit.misfit
    before = model.rate_tokens_per_s
    shortest_s = 1.0 / (MAX_RATE_RISE_FACTOR * before)
    longest_s = MAX_RATE_FALL_FACTOR / before
    model.delay_s = best.delay_s
    model.rate_tokens_per_s = 1.0 / min(max(best.token_read_s, shortest_s), longest_s)


def _evaluate_delay(model: EngineModel, delay_s: float) -> _DelayFit:
    """Return the reading time per token that a delay implies, and the misfit of both."""
    tokens = 0.0
    reading_s = 0.0
    weight = 1.0
    weighted = []
    for sample in model.recent:
        elapsed_s = sample.begun_s - max(sample.granted_s + delay_s, sample.previous_s)
        weighted.append((weight, elapsed_s, sample.tokens))
        tokens += weight * sample.tokens
        reading_s += weight * elapsed_s
        weight *= SAMPLE_DECAY
    token_read_s = reading_s / tokens
    missed_s = sum(
        weight * abs(elapsed_s - token_read_s * read) for weight, elapsed_s, read in weighted
    )
    return _DelayFit(delay_s, token_read_s, missed_s / max(reading_s, MIN_READING_S))
