"""Estimation of one engine's reading rate and delay from the times at which answers begin.

An engine reads prompts one after the other, in the order in which they reach it, and the
first event of an answer is received some time after its prompt was read. The reading of a
prompt counts from ``granted + delay`` if the engine had nothing to read, and otherwise from
the begin of the previous answer. The answer begins ``tokens / rate`` later:

    begun = max(granted + delay, begun of the previous answer) + tokens / rate

The model keeps the last answers and searches for the delay that fits them best; the rate
follows from the delay. The delay moves by small steps, because the answers of an engine that
always has something to read hardly show it. It moves further when the newest answers fit much
better with another one: a changed engine may show that an earlier belief was far off. See
docs/design/engine-model.md for the alternatives considered.
"""

import itertools
import math
from collections import deque
from collections.abc import Collection, Iterable
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

FAR_DELAY_FACTORS = (0.5, 1.5, 2.0, 3.0)
"""With each answer, the delay may also change by one of these factors if that fits much better."""

IDLE_DELAY_PARTS = (0.9, 0.97)
"""An engine that has nothing to read before each grant shows its delay in the answer that came
soonest. The delay may change to one of these parts of that answer's time since its grant."""

MIN_DELAY_SAMPLES = 8
"""The delay changes only once this many answers are kept, unless one of them came sooner. Fewer fit
almost any delay, since the steps in which an engine reads may be longer than the delay itself. This
many of the newest answers decide on a far change."""

MAX_FAR_MISFIT_RATIO = 0.6
MAX_IDLE_MISFIT_RATIO = 0.3
"""A far change needs a misfit below this fraction of the present delay's, and one to the delay of
an idle engine a much lower one: the answer that came soonest says little of a busy engine."""

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
the engine has changed: older samples are dropped, and these are kept with their whole times. The
first late one is dropped as well, since it may have been read in part before the change."""

STEP_WAIT_PART = 0.5
"""A prompt that reaches an engine during a step waits for its end: for half a step on average."""

MIN_SLOW_TOKENS = 200
"""Late answers to prompts with fewer unread tokens than this in all do not show a slow engine: most
of such a prompt is cached."""

MAX_SLOWDOWN = 20.0
"""An engine is estimated as slower by at most this factor at once. With a far lower estimate its
owner would refuse nearly all requests, and few answers would be left to correct it."""

TOKEN_TIME_WEIGHT = 0.05
"""Weight of one answer's time per output token in the moving average."""

FORECAST_ERROR_WEIGHT = 0.1
"""Weight of one answer's forecast error in the moving average."""


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
    late_samples: list[ReadSample] = field(default_factory=list)
    """Consecutive answers that came far too late, with their whole reading times."""
    soon_samples: list[ReadSample] = field(default_factory=list)
    """Consecutive answers that came far too soon."""
    delay_before_slow_s: float = math.inf
    """The delay before answers showed that the engine had become slower; infinite once it has been
    found faster again."""
    forecast_error_s: float = 0.0
    """How far answers began from when they were forecast at their grants: a moving average."""


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
    _record_deviation(model, sample, elapsed_s, expected_s)
    longest_s = OUTLIER_FACTOR * expected_s + OUTLIER_EXTRA_S
    limited = replace(sample, begun_s=min(sample.begun_s, start_s + longest_s))
    model.recent.appendleft(limited)
    _reset_after_change(model)
    model.samples += 1
    model.sampled_at_s = now_s
    _fit_delay_and_rate(model)


def learn_token_time(model: EngineModel, tokens: int, elapsed_s: float) -> None:
    """Update the time per output token from an answer that has ended.

    :param tokens: its expected output tokens, since forecasts are based on these as well.
    """
    if tokens > 0 and elapsed_s > 0.0:
        model.token_s += TOKEN_TIME_WEIGHT * (elapsed_s / tokens - model.token_s)


def learn_forecast_error(model: EngineModel, error_s: float) -> None:
    """Update the mean forecast error from an answer that has begun."""
    model.forecast_error_s += FORECAST_ERROR_WEIGHT * (abs(error_s) - model.forecast_error_s)


def _record_deviation(
    model: EngineModel, sample: ReadSample, elapsed_s: float, expected_s: float
) -> None:
    """Add an answer to the consecutive late or early ones, or end their series."""
    if elapsed_s > DEVIATION_FACTOR * expected_s + DEVIATION_S:
        model.late_samples.append(sample)
    else:
        model.late_samples.clear()
    if elapsed_s < expected_s / DEVIATION_FACTOR - DEVIATION_S:
        model.soon_samples.append(sample)
    else:
        model.soon_samples.clear()


def _reset_after_change(model: EngineModel) -> None:
    """Keep only the deviating answers when they show that the engine has changed."""
    if len(model.late_samples) >= MAX_CONSECUTIVE_DEVIATIONS:
        slow_samples = model.late_samples[1:]
        _adopt_slower_engine(model, slow_samples)
        _keep_only(model, slow_samples)
        model.late_samples.clear()
    if len(model.soon_samples) >= MAX_CONSECUTIVE_DEVIATIONS:
        if len(model.recent) < MIN_DELAY_SAMPLES:
            # The engine was held up for a moment: too few answers have shown another delay.
            model.delay_s = min(model.delay_s, model.delay_before_slow_s)
        model.delay_before_slow_s = math.inf
        _keep_only(model, model.soon_samples)
        model.soon_samples.clear()


def _keep_only(model: EngineModel, samples: Iterable[ReadSample]) -> None:
    """Forget all other answers.

    :param samples: the newest last.
    """
    model.recent.clear()
    model.recent.extendleft(samples)


def _adopt_slower_engine(model: EngineModel, samples: Collection[ReadSample]) -> None:
    """Estimate an engine as slow as these answers show it, and its delay as much longer.

    Steps of a slow engine are long, and so is the wait for the next one. With too short a delay
    the steps would be partly empty, and the engine would look slower than it is.
    """
    tokens = sum(sample.tokens for sample in samples)
    if tokens < MIN_SLOW_TOKENS:
        # The reading of so few tokens takes next to no time, so the answers are late for another
        # reason, such as the steps of the engine or a delayed message.
        return
    elapsed_s = sum(_compute_elapsed_s(sample, model.delay_s) for sample in samples)
    elapsed_s = max(elapsed_s, MIN_READING_S)
    rate_tokens_per_s = max(tokens / elapsed_s, model.rate_tokens_per_s / MAX_SLOWDOWN)
    slowdown = model.rate_tokens_per_s / rate_tokens_per_s
    shortest_step_s = min(sample.begun_s - sample.previous_s for sample in samples)
    longest_s = min(STEP_WAIT_PART * shortest_step_s, _find_shortest_s(samples))
    model.delay_before_slow_s = model.delay_s
    model.delay_s = max(model.delay_s, min(model.delay_s * slowdown, longest_s))
    model.rate_tokens_per_s = min(model.rate_tokens_per_s, rate_tokens_per_s)


def _compute_elapsed_s(sample: ReadSample, delay_s: float) -> float:
    """Return how long the engine has read, if its delay is this."""
    return sample.begun_s - max(sample.granted_s + delay_s, sample.previous_s)


def _fit_delay_and_rate(model: EngineModel) -> None:
    """Adopt the delay that fits the answers best, near the present one or far, and its rate."""
    best = _find_best_fit(model.recent, model.delay_s, _list_near_delays_s(model))
    newest = tuple(itertools.islice(model.recent, MIN_DELAY_SAMPLES))
    far = _find_far_fit(newest, best.delay_s)
    if far.delay_s != best.delay_s:
        # The older answers do not fit this delay and would distort the rate.
        model.recent.clear()
        model.recent.extend(newest)
        best = far
    before = model.rate_tokens_per_s
    shortest_s = 1.0 / (MAX_RATE_RISE_FACTOR * before)
    longest_s = MAX_RATE_FALL_FACTOR / before
    model.delay_s = best.delay_s
    model.rate_tokens_per_s = 1.0 / min(max(best.token_read_s, shortest_s), longest_s)


def _find_far_fit(newest: Collection[ReadSample], delay_s: float) -> _DelayFit:
    """Return the fit of a delay far from the present one, or of that if none fits much better."""
    far_delays_s = _list_far_delays_s(newest, delay_s)
    far = _find_best_fit(newest, delay_s, far_delays_s, MAX_FAR_MISFIT_RATIO)
    idle_delays_s = _list_idle_delays_s(newest)
    idle = _find_best_fit(newest, delay_s, idle_delays_s, MAX_IDLE_MISFIT_RATIO)
    return min(far, idle, key=lambda fit: fit.misfit)


def _list_near_delays_s(model: EngineModel) -> list[float]:
    """Return the delays that one answer may lead to."""
    delay_s = model.delay_s
    if len(model.recent) < MIN_DELAY_SAMPLES and delay_s <= _find_shortest_s(model.recent):
        return []
    steps_s = [max(delay_s - DELAY_STEP_S, 0.0), delay_s + DELAY_STEP_S]
    return [delay_s * factor for factor in DELAY_FACTORS] + steps_s


def _list_far_delays_s(newest: Collection[ReadSample], delay_s: float) -> list[float]:
    """Return the delays that a much better fit may lead to, and that no answer came before."""
    if len(newest) < MIN_DELAY_SAMPLES:
        return []
    shortest_s = _find_shortest_s(newest)
    far_delays_s = (delay_s * factor for factor in FAR_DELAY_FACTORS)
    return [far_s for far_s in far_delays_s if far_s < shortest_s]


def _list_idle_delays_s(newest: Collection[ReadSample]) -> list[float]:
    """Return the delays of an engine that had nothing to read before each grant."""
    if len(newest) < MIN_DELAY_SAMPLES:
        return []
    return [_find_shortest_s(newest) * part for part in IDLE_DELAY_PARTS]


def _find_shortest_s(samples: Iterable[ReadSample]) -> float:
    """Return the shortest time from a grant to its answer: the delay cannot be longer."""
    return min(sample.begun_s - sample.granted_s for sample in samples)


def _find_best_fit(
    samples: Collection[ReadSample],
    delay_s: float,
    other_delays_s: Iterable[float],
    max_misfit_ratio: float = MAX_MISFIT_RATIO,
) -> _DelayFit:
    """Return the fit of the delay with the least misfit.

    :param delay_s: the present delay, which stays unless another one fits clearly better.
    :param max_misfit_ratio: the greatest misfit of another delay, as a fraction of the present's.
    """
    best = _evaluate_delay(samples, delay_s)
    least_misfit = max_misfit_ratio * best.misfit
    for other_s in other_delays_s:
        fit = _evaluate_delay(samples, other_s)
        if fit.misfit < least_misfit:
            best = fit
            least_misfit = fit.misfit
    return best


def _evaluate_delay(samples: Iterable[ReadSample], delay_s: float) -> _DelayFit:
    """Return the reading time per token that a delay implies, and the misfit of both."""
    tokens = 0.0
    reading_s = 0.0
    weight = 1.0
    weighted = []
    for sample in samples:
        elapsed_s = _compute_elapsed_s(sample, delay_s)
        weighted.append((weight, elapsed_s, sample.tokens))
        tokens += weight * sample.tokens
        reading_s += weight * elapsed_s
        weight *= SAMPLE_DECAY
    token_read_s = reading_s / tokens
    missed_s = sum(
        weight * abs(elapsed_s - token_read_s * read) for weight, elapsed_s, read in weighted
    )
    return _DelayFit(delay_s, token_read_s, missed_s / max(reading_s, MIN_READING_S))
