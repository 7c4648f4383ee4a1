"""Admission control: load shedding at the entry."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, log
from typing import Final

from laurelstep.balancing.concurrency_limit import WINDOW_RESULTS_MIN, ConcurrencyLimit
from laurelstep.balancing.events import ERROR, OK, RESET, Goal
from laurelstep.balancing.latency import LOST_DEVIATIONS, LatencyTracker
from laurelstep.balancing.requests import Request

# Share of admitted requests answered within their objective below which load is shed. Chance
# and a small fault must not cause a refusal.
GOOD_SHARE: Final = 0.85
# Part of that share that is still required when almost nothing is admitted.
# Guards against shedding for lateness that fewer requests do not cure.
GOOD_SHARE_MIN_PART: Final = 0.5
# One window of good results raises the admitted share by this factor.
ADMITTED_SHARE_GROWTH: Final = 2.0
# Good results save up as much as one bad one takes: a single heavy request sheds no load.
ADMITTED_SHARE_MAX: Final = ADMITTED_SHARE_GROWTH ** (GOOD_SHARE / (1.0 - GOOD_SHARE) / WINDOW_RESULTS_MIN)
# Least share admitted: the trial that shows recovery. By chance it may admit none for many
# seconds, and requests that hang further down may fill the limit: after this many refusals in a
# row, and this long, the next request is admitted.
ADMITTED_SHARE_MIN: Final = 0.1
TRIAL_AFTER_REFUSALS: Final = 10
TRIAL_INTERVAL_US: Final = 1_000_000
# Work of the highest priority may exceed the concurrency limit by this much more than work of
# the lowest, so that the lowest is shed first.
HIGH_PRIORITY_EXTRA: Final = 0.5
# Work of the lowest priority still gets this part of an equal share: no class may starve.
LOW_PRIORITY_MIN_PART: Final = 0.5
# A request is not stuck before this part of the longest objective, however quick and even
# answers are: a queue that forms at once must first meet the concurrency limit.
STUCK_OBJECTIVES_MIN: Final = 0.25


def good_part_of_objective(goal: Goal) -> float:
    """The part of its objective within which an answer counts as good.

    Guards punctuality where it counts: with tails that fall off evenly, a share of
    1 - GOOD_SHARE past this part of the objective is as many misses as are allowed.
    """
    if goal.punctual > 0.0 and 0.0 < goal.miss_allowed < 1.0:
        return min(1.0, log(1.0 - GOOD_SHARE) / log(goal.miss_allowed))
    return 1.0


class AdmissionController:
    """Load shedding at the entry, from the results of own requests alone.

    Guards against congestion collapse: queues so long that every answer is
    late, and clients' retries that keep them so. Once the share of answers
    in time falls, fewer are admitted, and recovery doubles the share.
    """

    __slots__ = (
        "admitted_share",
        "consecutive_refusals",
        "good_objective_share",
        "last_admitted_at",
        "latencies",
        "limit",
    )

    def __init__(self, latencies: LatencyTracker, goal: Goal) -> None:
        self.latencies = latencies
        self.good_objective_share = good_part_of_objective(goal)
        self.limit = ConcurrencyLimit(latencies.longest_objective_us)
        self.consecutive_refusals = self.last_admitted_at = 0
        self.admitted_share = 1.0  # of requests admitted; above 1 it is saved up

    def admits(self, now: int, held: int, rank: tuple[float, float], chance: float) -> bool:
        """Whether to admit a request: work of the lowest priority is shed first.

        `rank` is the parts of the work with less and with more priority, `chance` a number
        drawn from [0, 1).
        """
        less, more = rank
        alike = max(1e-9, 1.0 - less - more)
        share = min(1.0, self.admitted_share)
        part = max(LOW_PRIORITY_MIN_PART * share, min(1.0, (share - more) / alike))
        is_trial = (
            self.consecutive_refusals >= TRIAL_AFTER_REFUSALS
            and now - self.last_admitted_at >= TRIAL_INTERVAL_US
        )
        scaled = held / (1.0 + HIGH_PRIORITY_EXTRA * less)
        if not is_trial and (chance >= part or self.limit.exceeds_concurrency_limit(now, scaled)):
            self.consecutive_refusals += 1
            return False
        self.last_admitted_at, self.consecutive_refusals = now, 0
        self.limit.record_admitted(now)
        return True

    def record_outcome(self, now: int, request: Request, outcome: int) -> None:
        """Take how a request ended. Errors and resets are left out: they come from broken
        endpoints, which fewer requests would not cure.
        """
        if outcome in (ERROR, RESET) or request.has_pending_body:
            return
        took_us = now - request.arrived_at
        is_good = outcome == OK and took_us <= self.good_objective_share * request.request_class.aim_us
        was_lost = outcome != OK and self._was_lost(request)
        self.record_result(now, took_us, is_good, outcome == OK, request.request_class.aim_us, was_lost)

    def record_result(
        self,
        now: int,
        took_us: int,
        is_good: bool,
        answered: bool,
        objective_us: float = 0.0,
        was_lost: bool = False,
    ) -> None:
        """Take one result; the steps balance at GOOD_SHARE, at less the more load is shed."""
        window = self.limit.record_result(now, took_us, answered, objective_us, was_lost)
        step = log(ADMITTED_SHARE_GROWTH) / window
        if not is_good and now - took_us <= self.limit.last_refused_at:
            return  # admitted before the limit last refused one, which was the response to it
        if not is_good:
            asked = GOOD_SHARE * (
                GOOD_SHARE_MIN_PART + (1.0 - GOOD_SHARE_MIN_PART) * min(1.0, self.admitted_share)
            )
            step *= -asked / (1.0 - asked)
            if not answered:  # not just heavy work: the saved-up share is void
                self.admitted_share = min(1.0, self.admitted_share)
        self.admitted_share = min(
            ADMITTED_SHARE_MAX, max(ADMITTED_SHARE_MIN, self.admitted_share * exp(step))
        )

    def is_answer_due(self, now: int, request: Request) -> bool:
        """Whether an answer was due by now: a client that left earlier is no sign of lateness."""
        due_us = min(self.limit.service_us, self.good_objective_share * request.request_class.aim_us)
        return now - request.arrived_at > due_us

    def count_stuck(self, now: int, requests: Iterable[Request]) -> int:
        """How many requests are held far longer than answers take now: lost further down, no load.

        `requests` come oldest first. Guards admission against refusing everything because
        some requests hang (lost messages, dead flows, a frozen tier): answers stop as nothing
        is sent, and the limit that follows their rate would stay shut until the last deadline.
        Where everything queues for long, this admits one more limit in each such span.
        """
        stuck = 0
        for request in requests:
            if request.has_pending_body:
                continue
            if not self._is_stuck(now - request.arrived_at):
                break
            stuck += 1
        return stuck

    def _is_stuck(self, held_us: int) -> bool:
        least_us = STUCK_OBJECTIVES_MIN * self.latencies.longest_objective_us
        return held_us >= least_us and self.latencies.is_overdue(held_us, LOST_DEVIATIONS)

    def _was_lost(self, request: Request) -> bool:
        """Whether its endpoint answered a request that was sent when this one was already overdue:
        a queue answers in order, so this one was lost.
        """
        if not request.attempts or not self.latencies.is_known():
            return False
        last = request.attempts[-1]
        overdue_at = last.sent_at + self.latencies.overall.upper_bound(LOST_DEVIATIONS)
        return last.endpoint.latest_answered_sent_at > overdue_at
