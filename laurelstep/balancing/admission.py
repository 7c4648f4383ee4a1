"""Admission control: load shedding at the entry tier."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, log
from typing import Final

from laurelstep.balancing.concurrency_limit import WINDOW_RESULTS_MIN, ConcurrencyLimit
from laurelstep.balancing.events import ERROR, OK, RESET, Goal
from laurelstep.balancing.latency import LOST_DEVIATIONS, LatencyTracker
from laurelstep.balancing.requests import Request

# Load is shed while a smaller share of the admitted requests is answered within their objective.
# Below 1 so that chance and a small fault cause no refusal.
GOOD_SHARE: Final = 0.85
# Part of GOOD_SHARE that is still required when almost nothing is admitted. Guards against shedding
# load because of late answers where less load does not make answers faster.
GOOD_SHARE_MIN_PART: Final = 0.5
# Factor by which one window of good results raises the admitted share.
ADMITTED_SHARE_GROWTH: Final = 2.0
# Good results can raise the admitted share above 1 by as much as one bad result lowers it, so that a
# single heavy request sheds no load.
ADMITTED_SHARE_MAX: Final = ADMITTED_SHARE_GROWTH ** (GOOD_SHARE / (1.0 - GOOD_SHARE) / WINDOW_RESULTS_MIN)
# Least share admitted: only admitted requests can show a recovery. Even so, chance may admit none for
# many seconds, and requests that hang in a later tier may fill the concurrency limit. Therefore one
# trial request is admitted after this many refusals in a row, this long after the last admission.
ADMITTED_SHARE_MIN: Final = 0.1
TRIAL_AFTER_REFUSALS: Final = 10
TRIAL_INTERVAL_US: Final = 1_000_000
# Part by which requests of the highest priority may exceed the concurrency limit, so that those of
# the lowest priority are shed first.
HIGH_PRIORITY_EXTRA: Final = 0.5
# Part of an equal share that requests of the lowest priority still get, so that no class starves.
LOW_PRIORITY_MIN_PART: Final = 0.5
# Part of the longest objective before which no request counts as stuck, however short and even the
# latencies are: the requests of a queue that forms suddenly must count against the concurrency limit.
STUCK_OBJECTIVES_MIN: Final = 0.25


def good_part_of_objective(goal: Goal) -> float:
    """Return the part of its objective within which an answer counts as good.

    Guards the share of requests that may miss their objective, where the goal counts it: with an
    exponential latency tail, that share is reached when 1 - GOOD_SHARE of the answers take longer
    than this part of the objective.
    """
    if goal.punctual > 0.0 and 0.0 < goal.miss_allowed < 1.0:
        return min(1.0, log(1.0 - GOOD_SHARE) / log(goal.miss_allowed))
    return 1.0


class AdmissionController:
    """Sheds load at the entry tier, based only on the results of this copy's own requests.

    Guards against congestion collapse: queues so long that every answer is late, and client retries
    that keep them that long. A smaller share of requests is admitted while too few answers are in
    time; during recovery, each window of good results doubles the admitted share.
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
        self.admitted_share = 1.0  # above 1: reserve that a bad result uses up first

    def admits(self, now: int, in_flight: int, rank: tuple[float, float], chance: float) -> bool:
        """Return whether to admit a request; requests of the lowest priority are shed first.

        `rank` is the result of `PriorityWeights.rank`; `chance` is a random number from [0, 1).
        Updates the state of the concurrency limit.
        """
        lower, higher = rank
        equal = max(1e-9, 1.0 - lower - higher)
        share = min(1.0, self.admitted_share)
        admitted_part = max(LOW_PRIORITY_MIN_PART * share, min(1.0, (share - higher) / equal))
        is_trial = (
            self.consecutive_refusals >= TRIAL_AFTER_REFUSALS
            and now - self.last_admitted_at >= TRIAL_INTERVAL_US
        )
        scaled_in_flight = in_flight / (1.0 + HIGH_PRIORITY_EXTRA * lower)
        if not is_trial and (
            chance >= admitted_part or self.limit.exceeds_concurrency_limit(now, scaled_in_flight)
        ):
            self.consecutive_refusals += 1
            return False
        self.last_admitted_at, self.consecutive_refusals = now, 0
        self.limit.record_admitted(now)
        return True

    def record_outcome(self, now: int, request: Request, outcome: int) -> None:
        """Record the result of a request.

        Errors and resets are ignored: they come from broken endpoints, which load shedding does not
        repair.
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
        is_answered: bool,
        objective_us: float = 0.0,
        was_lost: bool = False,
    ) -> None:
        """Adjust the admitted share by one result.

        The share is stable while GOOD_SHARE of the results are good; the more load is shed, the
        smaller this required share is.
        """
        window = self.limit.record_result(now, took_us, is_answered, objective_us, was_lost)
        step = log(ADMITTED_SHARE_GROWTH) / window
        if not is_good and now - took_us <= self.limit.last_refused_at:
            return  # admitted before the limit last refused a request: that was already the response
        if not is_good:
            required_share = GOOD_SHARE * (
                GOOD_SHARE_MIN_PART + (1.0 - GOOD_SHARE_MIN_PART) * min(1.0, self.admitted_share)
            )
            step *= -required_share / (1.0 - required_share)
            if not is_answered:  # not merely heavy work: drop the reserve above 1
                self.admitted_share = min(1.0, self.admitted_share)
        self.admitted_share = min(
            ADMITTED_SHARE_MAX, max(ADMITTED_SHARE_MIN, self.admitted_share * exp(step))
        )

    def is_answer_due(self, now: int, request: Request) -> bool:
        """Return whether the answer was due: a client that leaves before that shows no late answer."""
        due_us = min(self.limit.service_us, self.good_objective_share * request.request_class.aim_us)
        return now - request.arrived_at > due_us

    def count_stuck(self, now: int, requests: Iterable[Request]) -> int:
        """Count the requests in flight for far longer than answers take now, which are not load.

        `requests` are ordered from the oldest. Guards against refusing every request because some
        hang (lost messages, dropped connections, a frozen tier): nothing is sent, so no answers come,
        and the concurrency limit, which follows the rate of answers, would refuse requests until the
        last deadline. Where all requests queue for that long, as many again as the limit allows are
        admitted in each such period.
        """
        stuck_count = 0
        for request in requests:
            if request.has_pending_body:
                continue
            if not self._is_stuck(now - request.arrived_at):
                break
            stuck_count += 1
        return stuck_count

    def _is_stuck(self, waited_us: int) -> bool:
        stuck_after_us = STUCK_OBJECTIVES_MIN * self.latencies.longest_objective_us
        return waited_us >= stuck_after_us and self.latencies.is_overdue(waited_us, LOST_DEVIATIONS)

    def _was_lost(self, request: Request) -> bool:
        """Return whether the request was lost, not queued.

        A queue answers in order. If the endpoint answered a request that was sent when this one was
        already overdue, this one was lost.
        """
        if not request.attempts or not self.latencies.is_known():
            return False
        last_attempt = request.attempts[-1]
        overdue_at = last_attempt.sent_at + self.latencies.overall.upper_bound(LOST_DEVIATIONS)
        return last_attempt.endpoint.latest_answered_sent_at > overdue_at
