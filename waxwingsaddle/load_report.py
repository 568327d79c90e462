"""Reports of the load tool; latencies are recorded in HdrHistograms."""

from collections import Counter
from collections.abc import Iterator
from typing import Protocol

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
PERCENTILES = (50, 90, 99, 99.9, 100)
START_LAG_PERCENTILE = 99


class _Flow(Protocol):
    name: str


class RecordedCall(Protocol):
    """The part of a call that the recorder uses."""

    at_s: float
    flow: _Flow


class RecordedAnswer(Protocol):
    """The part of an answer that the recorder uses."""

    outcome: str
    status: int
    is_success: bool


class FlowReport(msgspec.Struct, frozen=True):
    """Figures of one flow.

    Attributes:
        calls: Calls sent.
        success_percent: Share of calls that ran and whose complete answer
            arrived.
        outcomes: Calls by outcome.
        percentiles_ms: Latency of successful calls by percentile, from the
            scheduled start.
        start_lag_p99_ms: Delay of the start of calls in the load tool itself.
            The latencies include it, so a large value means that the load
            tool, not the system, was short of processor time.
        successes_by_second: Successful calls by second of their start.
    """

    calls: int
    success_percent: float
    outcomes: dict[str, int]
    percentiles_ms: dict[str, float]
    start_lag_p99_ms: float
    successes_by_second: dict[int, int]


class Recorder:
    """Records outcomes and latencies of one run, by flow."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._start_lags: dict[str, HdrHistogram] = {}
        self._outcomes: dict[str, Counter[str]] = {}
        self._successes_by_second: dict[str, Counter[int]] = {}

    def record(
        self,
        call: RecordedCall,
        answer: RecordedAnswer,
        elapsed_ms: float,
        start_lag_ms: float,
    ) -> None:
        """Records the final answer to one call.

        Args:
            call: The call; its flow and scheduled start are used.
            answer: The answer.
            elapsed_ms: Time from the scheduled start to the answer.
            start_lag_ms: Delay of the actual start in the load tool.
        """
        name = call.flow.name
        start_lags = self._start_lags.setdefault(name, _new_histogram())
        start_lags.record_value(_to_us(start_lag_ms))
        self._outcomes.setdefault(name, Counter())[_outcome_label(answer)] += 1
        if not answer.is_success:
            return
        self._successes_by_second.setdefault(name, Counter())[
            int(call.at_s)
        ] += 1
        histogram = self._histograms.setdefault(name, _new_histogram())
        histogram.record_value(_to_us(elapsed_ms))

    def report(self) -> dict[str, FlowReport]:
        """Returns the figures of each flow by its name."""
        return {
            name: self._flow_report(name, outcomes)
            for name, outcomes in sorted(self._outcomes.items())
        }

    def _flow_report(self, name: str, outcomes: Counter[str]) -> FlowReport:
        histogram = self._histograms.get(name, _new_histogram())
        calls = sum(outcomes.values())
        return FlowReport(
            calls=calls,
            success_percent=round(100 * outcomes['success'] / calls, 3),
            outcomes=dict(outcomes),
            percentiles_ms={
                str(percentile): _to_ms(
                    histogram.get_value_at_percentile(percentile)
                )
                for percentile in PERCENTILES
            },
            start_lag_p99_ms=_to_ms(
                self._start_lags[name].get_value_at_percentile(
                    START_LAG_PERCENTILE
                ),
            ),
            successes_by_second=dict(
                sorted(self._successes_by_second.get(name, Counter()).items()),
            ),
        )


def format_report(title: str, flows: dict[str, FlowReport]) -> Iterator[str]:
    """Yields the lines of a report."""
    yield title
    for name, flow in flows.items():
        percentiles = '  '.join(
            f'p{percentile} {value_ms:.2f} ms'
            for percentile, value_ms in flow.percentiles_ms.items()
        )
        yield (
            f'  {name}: {flow.calls} calls, '
            f'{flow.success_percent:.3f}% success  {percentiles}  '
            f'(start lag p99 {flow.start_lag_p99_ms:.2f} ms)'
        )
        yield f'    outcomes: {flow.outcomes}'


def _outcome_label(answer: RecordedAnswer) -> str:
    if answer.is_success:
        return 'success'
    if answer.outcome == 'ran':
        return f'ran-{answer.status}'
    return answer.outcome


def _to_us(elapsed_ms: float) -> int:
    return max(LOWEST_US, int(elapsed_ms * US_PER_MS))


def _to_ms(value_us: int) -> float:
    return round(value_us / US_PER_MS, 3)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
