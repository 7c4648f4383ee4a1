"""The concurrency limit: how many requests a copy may have in flight, from their latencies (Little's law)."""

from __future__ import annotations

from math import exp, sqrt
from typing import Final

# Length of the observation window in present service times, because the result of a decision is only
# known after one service time; and the least number of results in a window.
WINDOW_SERVICE_TIMES: Final = 2.0
WINDOW_RESULTS_MIN: Final = 5
# Least part of a window from which a rate of answers is extrapolated: after a start, the first few
# answers are mostly chance.
WINDOW_SEEN_MIN: Final = 0.3
# Loose limit, for bursts: this multiple of the requests in flight that the present rate of answers
# needs without load (Little's law), plus this many standard deviations.
BURST_MULTIPLE: Final = 2.0
BURST_DEVIATIONS: Final = 1.5
# Tight limit, for a standing queue: it applies once it was exceeded for a whole window, until it was
# kept for two windows. A burst passes, a standing queue does not.
STANDING_MULTIPLE: Final = 1.3
STANDING_DEVIATIONS: Final = 0.5
# Least number of results for an unloaded service time: fewer are mostly chance.
UNLOADED_SAMPLES_MIN: Final = 30
# The first unloaded service time is the mean over the first UNLOADED_SAMPLES_MIN admitted requests. It
# is computed once this many of them were answered, because the others may be lost.
EARLY_RESULTS_MIN: Final = 27
# Number of windows over which the service time is smoothed for the limit.
SMOOTHED_WINDOWS: Final = 2
# Share of the objective that answers may take before they count as slow: where the work is short
# compared with its objective, a multiple of the unloaded service time does no harm.
QUICK_OBJECTIVE_SHARE: Final = 0.2
# Number of windows after which the tight limit must have shortened the service time. If it has not,
# the present service time becomes the unloaded one, up to this share of the objective: with a longer
# one, all answers would be late.
INEFFECTIVE_AFTER_WINDOWS: Final = 2
UNLOADED_OBJECTIVE_SHARE_MAX: Final = 0.3
# Requests in flight that are always allowed: IN_FLIGHT_MIN times the endpoints per copy, but at least
# IN_FLIGHT_FLOOR. With many copies, eight requests from each would already be a standing queue; with
# few copies, eight from each would leave most cores idle. While answers are quick, IN_FLIGHT_MIN are
# always allowed.
IN_FLIGHT_MIN: Final = 8
IN_FLIGHT_FLOOR: Final = 2
# Requests in flight allowed right after a start, for each endpoint per copy; each result allows one
# more. Guards the endpoints against the surge of requests to a copy that has just restarted.
IN_FLIGHT_AT_START: Final = 16.0
# Relative growth per window of the unloaded service time. It is slow, so that a long queue is not soon
# taken for the unloaded state, while a service that has become slower is adopted in time.
UNLOADED_GROWTH_PER_WINDOW: Final = 0.01
# Number of requests over which the mean of 1 / objective is taken.
OBJECTIVE_MEMORY_REQUESTS: Final = 100.0


class ConcurrencyLimit:
    """Limits the requests in flight of a copy to keep queues at its endpoints short; times in µs.

    `unloaded_us` is the service time without load. The limit is a multiple of the requests in flight
    that the present rate of answers needs at that service time. The multiple is larger for a burst
    (loose limit) and smaller while a queue is standing (tight limit).
    """

    __slots__ = (
        "admitted_count",
        "early_results",
        "first_admitted_at",
        "in_flight_at_start",
        "in_flight_min",
        "is_queue_standing",
        "is_unloaded_known",
        "last_above_tight_at",
        "last_below_tight_at",
        "last_early_admitted_at",
        "last_refused_at",
        "objectives_per_us",
        "result_count",
        "service_us",
        "smoothed_service_us",
        "tight_results",
        "tight_start",
        "unloaded_us",
        "updated_at",
        "window_answers",
        "window_results",
    )

    def __init__(self, objective_us: float) -> None:
        self.service_us = objective_us  # present service time
        self.smoothed_service_us = objective_us  # the same over more windows, with less noise
        self.unloaded_us = objective_us  # service time without load: least value of the smoothed one
        self.objectives_per_us = 1.0 / objective_us  # mean of 1 / objective over the requests
        self.result_count = self.admitted_count = 0
        self.window_results = self.window_answers = 0.0  # within the present window, with decay
        self.first_admitted_at = self.updated_at = 0
        # Of the first UNLOADED_SAMPLES_MIN admitted requests: number of answers and sum of their times;
        # when the last of them was admitted, -1 before.
        self.early_results, self.last_early_admitted_at = (0, 0.0), -1
        self.is_unloaded_known = False
        # When the requests in flight were last within the tight limit, and last above it.
        self.last_below_tight_at = self.last_above_tight_at = 0
        self.is_queue_standing = False
        self.tight_start = 0, objective_us  # when the tight limit began to apply, and the service time then
        self.tight_results = 0, 0.0  # of requests admitted since then: results and sum of their times
        self.in_flight_min = self.in_flight_at_start = float(IN_FLIGHT_MIN)
        self.last_refused_at = -1

    def set_endpoints_per_copy(self, endpoints: float) -> None:
        """Set the endpoints per copy after a change of the endpoint list."""
        self.in_flight_min = max(IN_FLIGHT_FLOOR, IN_FLIGHT_MIN * endpoints)
        self.in_flight_at_start = IN_FLIGHT_AT_START * max(1.0, endpoints)

    def record_admitted(self, now: int) -> None:
        """Record that a request was admitted."""
        self.first_admitted_at = self.first_admitted_at or now
        self.admitted_count += 1
        if self.admitted_count == UNLOADED_SAMPLES_MIN:
            self.last_early_admitted_at = now

    def record_result(
        self, now: int, took_us: int, is_answered: bool, objective_us: float, was_lost: bool
    ) -> float:
        """Record the result of an admitted request; returns the number of results in a window.

        The wait for a request that was lost in a later tier is not a service time. An `objective_us`
        of 0 leaves the mean of 1 / objective as it is.
        """
        decay = exp((self.updated_at - now) / (WINDOW_SERVICE_TIMES * self.service_us))
        self.window_results = self.window_results * decay + 1.0
        self.window_answers = self.window_answers * decay + is_answered
        self.updated_at = now
        self.result_count += 1
        window_results = max(self.window_results, WINDOW_RESULTS_MIN)
        if objective_us:
            self.objectives_per_us += (1.0 / objective_us - self.objectives_per_us) / min(
                self.result_count, OBJECTIVE_MEMORY_REQUESTS
            )
        # A request that was rejected immediately has no service time.
        if is_answered or (took_us > self.service_us and not was_lost):
            self._record_time(now, took_us, window_results)
        if self.is_unloaded_known:
            self.unloaded_us = min(
                self.unloaded_us * (1.0 + UNLOADED_GROWTH_PER_WINDOW / window_results),
                self.smoothed_service_us,
            )
        else:
            self._record_early_result(now - took_us, took_us, is_answered)
        return window_results

    def _record_time(self, now: int, took_us: int, window_results: float) -> None:
        self.service_us += (max(took_us, 1) - self.service_us) / min(self.result_count, window_results)
        samples = min(self.result_count, max(UNLOADED_SAMPLES_MIN, SMOOTHED_WINDOWS * window_results))
        self.smoothed_service_us += (max(took_us, 1) - self.smoothed_service_us) / samples
        if now - took_us > self.tight_start[0]:
            self.tight_results = self.tight_results[0] + 1, self.tight_results[1] + took_us

    def _record_early_result(self, arrived_at: int, took_us: int, is_answered: bool) -> None:
        """Compute the first unloaded service time from the first admitted requests.

        The first answers alone would be those of the quick requests. This phase ends after a number
        of requests, not after a multiple of the service time: if answers became slower from the
        start, that multiple would grow and the phase would never end.
        """
        self.unloaded_us = self.smoothed_service_us
        if is_answered and (self.last_early_admitted_at < 0 or arrived_at <= self.last_early_admitted_at):
            self.early_results = self.early_results[0] + 1, self.early_results[1] + took_us
            if self.early_results[0] >= EARLY_RESULTS_MIN and self.last_early_admitted_at >= 0:
                self.is_unloaded_known, self.unloaded_us = True, self.early_results[1] / self.early_results[0]

    def exceeds_concurrency_limit(self, now: int, in_flight: float) -> bool:
        """Return whether this many requests in flight exceed the limit; updates the limit's state.

        Guards against overloaded endpoints: requests queue there for seconds before an answer is
        late, and the answers that are still quick do not show the queue.
        """
        memory_us = WINDOW_SERVICE_TIMES * self.service_us
        window_part_seen = max(WINDOW_SEEN_MIN, 1.0 - exp((self.first_admitted_at - now) / memory_us))
        # Only answers count: a high rate of time-outs is no sign of capacity.
        answers_per_us = (
            self.window_answers * exp((self.updated_at - now) / memory_us) / (memory_us * window_part_seen)
        )
        unloaded_us = max(
            self.unloaded_us, QUICK_OBJECTIVE_SHARE / (self.objectives_per_us * STANDING_MULTIPLE)
        )
        needed_in_flight = answers_per_us * unloaded_us
        tight_limit = STANDING_MULTIPLE * needed_in_flight + STANDING_DEVIATIONS * sqrt(needed_in_flight)
        loose_limit = BURST_MULTIPLE * needed_in_flight + BURST_DEVIATIONS * sqrt(needed_in_flight)
        was_queue_standing = self._observe_queue(now, in_flight, tight_limit, memory_us)
        if not self.is_unloaded_known:
            return in_flight > self.in_flight_at_start + self.result_count
        # While answers are quick, many requests in flight are due to chance or to the limit itself.
        is_slow = self.is_queue_standing and self.smoothed_service_us > STANDING_MULTIPLE * unloaded_us
        is_overloaded = self.smoothed_service_us > BURST_MULTIPLE * unloaded_us
        in_flight_min = self.in_flight_min if is_overloaded else max(IN_FLIGHT_MIN, self.in_flight_min)
        self._review_tight_limit(now, was_queue_standing and is_slow)
        if in_flight <= max(in_flight_min, tight_limit if is_slow else loose_limit):
            return False
        self.last_refused_at = now
        return True

    def _observe_queue(self, now: int, in_flight: float, tight_limit: float, memory_us: float) -> bool:
        """Update `is_queue_standing`; returns its former value.

        A queue is standing once the tight limit was exceeded for a window, and no longer once that
        limit was kept for two windows.
        """
        if in_flight <= tight_limit:
            self.last_below_tight_at = now
        else:
            self.last_above_tight_at = now
        was_queue_standing = self.is_queue_standing
        self.is_queue_standing |= self.is_unloaded_known and now - self.last_below_tight_at > memory_us
        self.is_queue_standing &= now - self.last_above_tight_at < 2.0 * memory_us
        return was_queue_standing

    def _review_tight_limit(self, now: int, is_tight: bool) -> None:
        """Raise the unloaded service time if the tight limit has not shortened the service time.

        Guards against shedding load without effect, because other copies take the requests that this
        one refuses. Only requests admitted under the tight limit count: of those admitted before it,
        the slowest results are still to come.
        """
        started_at, smoothed_us = self.tight_start
        if is_tight:
            is_review_due = now - started_at > INEFFECTIVE_AFTER_WINDOWS * WINDOW_SERVICE_TIMES * smoothed_us
            if not is_review_due or self.tight_results[0] < UNLOADED_SAMPLES_MIN:
                return
            took_us = self.tight_results[1] / self.tight_results[0]
            if took_us >= smoothed_us:
                self.unloaded_us = max(
                    self.unloaded_us, min(took_us, UNLOADED_OBJECTIVE_SHARE_MAX / self.objectives_per_us)
                )
        self.tight_start, self.tight_results = (now, self.smoothed_service_us), (0, 0.0)
