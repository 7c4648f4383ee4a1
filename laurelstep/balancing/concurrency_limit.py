"""The concurrency limit: how many requests a copy may hold, from their own latencies (Little's law)."""

from __future__ import annotations

from math import exp, sqrt
from typing import Final

# Length of the observation window, as a multiple of the present service time: the result of a
# decision arrives that late. A window has this many results at least.
WINDOW_SERVICE_TIMES: Final = 2.0
WINDOW_RESULTS_MIN: Final = 5
# Part of a window that must have passed before its answers are extrapolated to a rate: after a
# start the first few are mostly chance.
WINDOW_SEEN_MIN: Final = 0.3
# A burst: requests in flight may grow to this multiple of what the same rate of answers needs
# without load (Little's law), plus this many standard deviations.
BURST_MULTIPLE: Final = 2.0
BURST_DEVIATIONS: Final = 1.5
# A standing queue: once more than this was in flight for a whole window, it is the limit until
# less was in flight for two. A burst passes, a standing queue does not.
STANDING_MULTIPLE: Final = 1.3
STANDING_DEVIATIONS: Final = 0.5
# Results that an unloaded service time needs at least: fewer are mostly chance.
UNLOADED_SAMPLES_MIN: Final = 30
# The first unloaded service time is the mean of the first UNLOADED_SAMPLES_MIN requests admitted, once
# this many of them have ended: the last ones may be lost.
EARLY_RESULTS_MIN: Final = 27
# Windows over which the service time is smoothed for the limit.
SMOOTHED_WINDOWS: Final = 2
# Share of the objective that answers may take before they count as slow: where work is small
# beside its objective, a multiple of the unloaded time does no harm yet.
QUICK_OBJECTIVE_SHARE: Final = 0.2
# Windows after which the tight limit must have made answers quicker; if it has not, the present
# time becomes the unloaded time, up to this share of the objective: past it all would be late.
INEFFECTIVE_AFTER_WINDOWS: Final = 2
UNLOADED_OBJECTIVE_SHARE_MAX: Final = 0.3
# Requests in flight that are always allowed, for each endpoint per copy, IN_FLIGHT_FLOOR at least: with
# many copies, eight from each of them would be a standing queue by itself; with few copies, eight
# from each would leave most cores idle. While answers are quick, IN_FLIGHT_MIN are always allowed.
IN_FLIGHT_MIN: Final = 8
IN_FLIGHT_FLOOR: Final = 2
# Requests in flight allowed right after a start, for each endpoint per copy, and one more for
# each result. Guards the endpoints against the rush on a copy that has just come back.
IN_FLIGHT_AT_START: Final = 16.0
# Relative rise per window of the unloaded service time: slow, so that a long queue does not soon
# pass for usual, but a service that has become slower does in time.
UNLOADED_GROWTH_PER_WINDOW: Final = 0.01
# Requests over which the mix of their latency objectives is remembered.
OBJECTIVE_MEMORY_REQUESTS: Final = 100.0


class ConcurrencyLimit:
    """How many requests a copy may have in flight before its endpoints queue; times in µs.

    `base_us` is the service time without load. The limit is a multiple of what the present
    rate of answers needs at that time: loose for a burst, tight while a queue is standing.
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
        "tight_since",
        "unloaded_us",
        "updated_at",
        "window_answers",
        "window_results",
    )

    def __init__(self, objective_us: float) -> None:
        self.service_us = objective_us  # present service time
        self.smoothed_service_us = objective_us  # the same over more windows, with less noise
        self.unloaded_us = objective_us  # service time without load: the least that smoothed_us was
        self.objectives_per_us = 1.0 / objective_us  # mean of 1 / objective over the requests
        self.result_count = self.admitted_count = 0  # results, and requests admitted
        self.window_results = self.window_answers = 0.0  # within the present window
        self.first_admitted_at = self.updated_at = 0
        self.early_results, self.last_early_admitted_at = (
            (0, 0.0),
            -1,
        )  # of the first admitted: results and time, the last
        self.is_unloaded_known = False  # whether base_us is known
        self.last_below_tight_at = self.last_above_tight_at = (
            0  # when the tight limit was last kept, and exceeded
        )
        self.is_queue_standing = False
        self.tight_since = 0, objective_us  # since when the tight limit acts, and smoothed_us then
        self.tight_results = 0, 0.0  # of those admitted since: results and time
        self.in_flight_min = self.in_flight_at_start = float(IN_FLIGHT_MIN)
        self.last_refused_at = -1  # when the limit last refused a request

    def set_endpoints_per_copy(self, endpoints: float) -> None:
        """Follow a change of the list or of the copies."""
        self.in_flight_min = max(IN_FLIGHT_FLOOR, IN_FLIGHT_MIN * endpoints)
        self.in_flight_at_start = IN_FLIGHT_AT_START * max(1.0, endpoints)

    def record_admitted(self, now: int) -> None:
        """A request was let through."""
        self.first_admitted_at = self.first_admitted_at or now
        self.admitted_count += 1
        if self.admitted_count == UNLOADED_SAMPLES_MIN:
            self.last_early_admitted_at = now

    def record_result(
        self, now: int, took_us: int, answered: bool, objective_us: float, was_lost: bool
    ) -> float:
        """Take one admitted request's result; returns how many results make one window.

        The wait for a request that was lost further down is not a service time.
        """
        keep = exp((self.updated_at - now) / (WINDOW_SERVICE_TIMES * self.service_us))
        self.window_results = self.window_results * keep + 1.0
        self.window_answers = self.window_answers * keep + answered
        self.updated_at = now
        self.result_count += 1
        window = max(self.window_results, WINDOW_RESULTS_MIN)
        if objective_us:
            self.objectives_per_us += (1.0 / objective_us - self.objectives_per_us) / min(
                self.result_count, OBJECTIVE_MEMORY_REQUESTS
            )
        # A request that was rejected at once has no service time.
        if answered or (took_us > self.service_us and not was_lost):
            self._record_time(now, took_us, window)
        if self.is_unloaded_known:
            self.unloaded_us = min(
                self.unloaded_us * (1.0 + UNLOADED_GROWTH_PER_WINDOW / window), self.smoothed_service_us
            )
        else:
            self._record_early_result(now - took_us, took_us, answered)
        return window

    def _record_time(self, now: int, took_us: int, window: float) -> None:
        self.service_us += (max(took_us, 1) - self.service_us) / min(self.result_count, window)
        samples = min(self.result_count, max(UNLOADED_SAMPLES_MIN, SMOOTHED_WINDOWS * window))
        self.smoothed_service_us += (max(took_us, 1) - self.smoothed_service_us) / samples
        if now - took_us > self.tight_since[0]:
            self.tight_results = self.tight_results[0] + 1, self.tight_results[1] + took_us

    def _record_early_result(self, arrived_at: int, took_us: int, answered: bool) -> None:
        """Take the unloaded time from the first requests, not from the first answers: those
        are the quick ones. A number of requests ends this phase, not a multiple of the
        service time: answers that slow down from the start would extend it for ever.
        """
        self.unloaded_us = self.smoothed_service_us
        if answered and (self.last_early_admitted_at < 0 or arrived_at <= self.last_early_admitted_at):
            self.early_results = self.early_results[0] + 1, self.early_results[1] + took_us
            if self.early_results[0] >= EARLY_RESULTS_MIN and self.last_early_admitted_at >= 0:
                self.is_unloaded_known, self.unloaded_us = True, self.early_results[1] / self.early_results[0]

    def exceeds_concurrency_limit(self, now: int, held: float) -> bool:
        """Whether this many requests in flight are too many.

        Guards against overloaded endpoints: they queue for seconds before an answer is late,
        and the answers that are still quick do not show it.
        """
        memory = WINDOW_SERVICE_TIMES * self.service_us
        seen = max(WINDOW_SEEN_MIN, 1.0 - exp((self.first_admitted_at - now) / memory))
        # Only answers count: time-outs are no sign of spare capacity.
        answers = self.window_answers * exp((self.updated_at - now) / memory) / (memory * seen)
        base = max(self.unloaded_us, QUICK_OBJECTIVE_SHARE / (self.objectives_per_us * STANDING_MULTIPLE))
        usual = answers * base
        tight = STANDING_MULTIPLE * usual + STANDING_DEVIATIONS * sqrt(usual)
        loose = BURST_MULTIPLE * usual + BURST_DEVIATIONS * sqrt(usual)
        stood = self._observe_queue(now, held, tight, memory)
        if not self.is_unloaded_known:
            return held > self.in_flight_at_start + self.result_count
        # While answers are quick, a high count is chance or the limit's own effect.
        slow = self.is_queue_standing and self.smoothed_service_us > STANDING_MULTIPLE * base
        is_overloaded = self.smoothed_service_us > BURST_MULTIPLE * base
        least = self.in_flight_min if is_overloaded else max(IN_FLIGHT_MIN, self.in_flight_min)
        self._review_tight_limit(now, stood and slow)
        if held <= max(least, tight if slow else loose):
            return False
        self.last_refused_at = now
        return True

    def _observe_queue(self, now: int, held: float, tight: float, memory_us: float) -> bool:
        """Update whether a queue is standing; returns whether one was before.

        It is standing once it lasted for a window, and over once none was seen for two.
        """
        if held <= tight:
            self.last_below_tight_at = now
        else:
            self.last_above_tight_at = now
        stood = self.is_queue_standing
        self.is_queue_standing |= self.is_unloaded_known and now - self.last_below_tight_at > memory_us
        self.is_queue_standing &= now - self.last_above_tight_at < 2.0 * memory_us
        return stood

    def _review_tight_limit(self, now: int, is_tight: bool) -> None:
        """Guards against shedding without effect, as other copies take what this one refuses:
        where the requests admitted under the tight limit take no less time, that time is the
        unloaded one by now. Requests admitted before do not count: their slowest results are
        still to come.
        """
        since, smoothed_us = self.tight_since
        if is_tight:
            acted_long = now - since > INEFFECTIVE_AFTER_WINDOWS * WINDOW_SERVICE_TIMES * smoothed_us
            if not acted_long or self.tight_results[0] < UNLOADED_SAMPLES_MIN:
                return
            took_us = self.tight_results[1] / self.tight_results[0]
            if took_us >= smoothed_us:
                self.unloaded_us = max(
                    self.unloaded_us, min(took_us, UNLOADED_OBJECTIVE_SHARE_MAX / self.objectives_per_us)
                )
        self.tight_since, self.tight_results = (now, self.smoothed_service_us), (0, 0.0)
