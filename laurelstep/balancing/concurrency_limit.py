"""The concurrency limit: how many requests a copy may hold, from their own latencies (Little's law)."""

from __future__ import annotations

from math import exp, sqrt
from typing import Final

# Length of the observation window, as a multiple of the present service time: the result of a
# decision arrives that late. A window has this many results at least.
WINDOW_MEMORY: Final = 2.0
WINDOW_SAMPLES: Final = 5
# Part of a window that must have passed before its answers are extrapolated to a rate: after a
# start the first few are mostly chance.
WINDOW_LEAST: Final = 0.3
# A burst: requests in flight may grow to this multiple of what the same rate of answers needs
# without load (Little's law), plus this many standard deviations.
BURST_MULTIPLE: Final = 2.0
BURST_DEVIATIONS: Final = 1.5
# A standing queue: once more than this was in flight for a whole window, it is the limit until
# less was in flight for two. A burst passes, a standing queue does not.
STANDING_MULTIPLE: Final = 1.3
STANDING_DEVIATIONS: Final = 0.5
# Results that an unloaded service time needs at least: fewer are mostly chance.
BASE_SAMPLES: Final = 30
# The first unloaded service time is the mean of the first BASE_SAMPLES requests admitted, once
# this many of them have ended: the last ones may be lost.
EARLY_SAMPLES: Final = 27
# Windows over which the service time is smoothed for the limit.
SMOOTHED_WINDOWS: Final = 2
# Share of the objective that answers may take before they count as slow: where work is small
# beside its objective, a multiple of the unloaded time does no harm yet.
COMFORT: Final = 0.2
# Windows after which the tight limit must have made answers quicker; if it has not, the present
# time becomes the unloaded time, up to this share of the objective: past it all would be late.
FUTILE_WINDOWS: Final = 2
FUTILE_MOST: Final = 0.3
# Requests in flight that are always allowed, for each endpoint per copy, HELD_FEW at least: with
# many copies, eight from each of them would be a standing queue by itself; with few copies, eight
# from each would leave most cores idle. While answers are quick, HELD_MIN are always allowed.
HELD_MIN: Final = 8
HELD_FEW: Final = 2
# Requests in flight allowed right after a start, for each endpoint per copy, and one more for
# each result. Guards the endpoints against the rush on a copy that has just come back.
HELD_FIRST: Final = 16.0
# Relative rise per window of the unloaded service time: slow, so that a long queue does not soon
# pass for usual, but a service that has become slower does in time.
BASE_RISE: Final = 0.01
# Requests over which the mix of their latency objectives is remembered.
OBJECTIVE_MEMORY: Final = 100.0


class ConcurrencyLimit:
    """How many requests a copy may have in flight before its endpoints queue; times in µs.

    `base_us` is the service time without load. The limit is a multiple of what the present
    rate of answers needs at that time: loose for a burst, tight while a queue is standing.
    """

    __slots__ = (
        "above_tight_at",
        "answers",
        "base_us",
        "began_at",
        "below_tight_at",
        "bounded_at",
        "count",
        "early",
        "early_end_at",
        "held_at_least",
        "held_at_start",
        "objectives_per_us",
        "results",
        "settled",
        "smoothed_us",
        "standing",
        "taken",
        "tight",
        "tight_results",
        "took_us",
        "updated_at",
    )

    def __init__(self, objective_us: float) -> None:
        self.took_us = objective_us  # present service time
        self.smoothed_us = objective_us  # the same over more windows, with less noise
        self.base_us = objective_us  # service time without load: the least that smoothed_us was
        self.objectives_per_us = 1.0 / objective_us  # mean of 1 / objective over the requests
        self.count = self.taken = 0  # results, and requests admitted
        self.results = self.answers = 0.0  # within the present window
        self.began_at = self.updated_at = 0
        self.early, self.early_end_at = (0, 0.0), -1  # of the first admitted: results and time, the last
        self.settled = False  # whether base_us is known
        self.below_tight_at = self.above_tight_at = 0  # when the tight limit was last kept, and exceeded
        self.standing = False
        self.tight = 0, objective_us  # since when the tight limit acts, and smoothed_us then
        self.tight_results = 0, 0.0  # of those admitted since: results and time
        self.held_at_least = self.held_at_start = float(HELD_MIN)
        self.bounded_at = -1  # when the limit last refused a request

    def set_endpoints_per_copy(self, endpoints: float) -> None:
        """Follow a change of the list or of the copies."""
        self.held_at_least = max(HELD_FEW, HELD_MIN * endpoints)
        self.held_at_start = HELD_FIRST * max(1.0, endpoints)

    def record_admitted(self, now: int) -> None:
        """A request was let through."""
        self.began_at = self.began_at or now
        self.taken += 1
        if self.taken == BASE_SAMPLES:
            self.early_end_at = now

    def record_result(
        self, now: int, took_us: int, answered: bool, objective_us: float, was_lost: bool
    ) -> float:
        """Take one admitted request's result; returns how many results make one window.

        The wait for a request that was lost further down is not a service time.
        """
        keep = exp((self.updated_at - now) / (WINDOW_MEMORY * self.took_us))
        self.results = self.results * keep + 1.0
        self.answers = self.answers * keep + answered
        self.updated_at = now
        self.count += 1
        window = max(self.results, WINDOW_SAMPLES)
        if objective_us:
            self.objectives_per_us += (1.0 / objective_us - self.objectives_per_us) / min(
                self.count, OBJECTIVE_MEMORY
            )
        # A request that was rejected at once has no service time.
        if answered or (took_us > self.took_us and not was_lost):
            self._record_time(now, took_us, window)
        if self.settled:
            self.base_us = min(self.base_us * (1.0 + BASE_RISE / window), self.smoothed_us)
        else:
            self._settle(now - took_us, took_us, answered)
        return window

    def _record_time(self, now: int, took_us: int, window: float) -> None:
        self.took_us += (max(took_us, 1) - self.took_us) / min(self.count, window)
        samples = min(self.count, max(BASE_SAMPLES, SMOOTHED_WINDOWS * window))
        self.smoothed_us += (max(took_us, 1) - self.smoothed_us) / samples
        if now - took_us > self.tight[0]:
            self.tight_results = self.tight_results[0] + 1, self.tight_results[1] + took_us

    def _settle(self, arrived_at: int, took_us: int, answered: bool) -> None:
        """Take the unloaded time from the first requests, not from the first answers: those
        are the quick ones. A number of requests ends this phase, not a multiple of the
        service time: answers that slow down from the start would extend it for ever.
        """
        self.base_us = self.smoothed_us
        if answered and (self.early_end_at < 0 or arrived_at <= self.early_end_at):
            self.early = self.early[0] + 1, self.early[1] + took_us
            if self.early[0] >= EARLY_SAMPLES and self.early_end_at >= 0:
                self.settled, self.base_us = True, self.early[1] / self.early[0]

    def exceeds_concurrency_limit(self, now: int, held: float) -> bool:
        """Whether this many requests in flight are too many.

        Guards against overloaded endpoints: they queue for seconds before an answer is late,
        and the answers that are still quick do not show it.
        """
        memory = WINDOW_MEMORY * self.took_us
        seen = max(WINDOW_LEAST, 1.0 - exp((self.began_at - now) / memory))
        # Only answers count: time-outs are no sign of spare capacity.
        answers = self.answers * exp((self.updated_at - now) / memory) / (memory * seen)
        base = max(self.base_us, COMFORT / (self.objectives_per_us * STANDING_MULTIPLE))
        usual = answers * base
        tight = STANDING_MULTIPLE * usual + STANDING_DEVIATIONS * sqrt(usual)
        loose = BURST_MULTIPLE * usual + BURST_DEVIATIONS * sqrt(usual)
        stood = self._observe_queue(now, held, tight, memory)
        if not self.settled:
            return held > self.held_at_start + self.count
        # While answers are quick, a high count is chance or the limit's own effect.
        slow = self.standing and self.smoothed_us > STANDING_MULTIPLE * base
        is_overloaded = self.smoothed_us > BURST_MULTIPLE * base
        least = self.held_at_least if is_overloaded else max(HELD_MIN, self.held_at_least)
        self._review_tight_limit(now, stood and slow)
        if held <= max(least, tight if slow else loose):
            return False
        self.bounded_at = now
        return True

    def _observe_queue(self, now: int, held: float, tight: float, memory_us: float) -> bool:
        """Update whether a queue is standing; returns whether one was before.

        It is standing once it lasted for a window, and over once none was seen for two.
        """
        if held <= tight:
            self.below_tight_at = now
        else:
            self.above_tight_at = now
        stood = self.standing
        self.standing |= self.settled and now - self.below_tight_at > memory_us
        self.standing &= now - self.above_tight_at < 2.0 * memory_us
        return stood

    def _review_tight_limit(self, now: int, is_tight: bool) -> None:
        """Guards against shedding without effect, as other copies take what this one refuses:
        where the requests admitted under the tight limit take no less time, that time is the
        unloaded one by now. Requests admitted before do not count: their slowest results are
        still to come.
        """
        since, smoothed_us = self.tight
        if is_tight:
            acted_long = now - since > FUTILE_WINDOWS * WINDOW_MEMORY * smoothed_us
            if not acted_long or self.tight_results[0] < BASE_SAMPLES:
                return
            took_us = self.tight_results[1] / self.tight_results[0]
            if took_us >= smoothed_us:
                self.base_us = max(self.base_us, min(took_us, FUTILE_MOST / self.objectives_per_us))
        self.tight, self.tight_results = (now, self.smoothed_us), (0, 0.0)
