"""Admission control: load shedding at the entry."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp, log
from typing import Final

from laurelstep.balancing.concurrency_limit import LOOK_SAMPLES, ConcurrencyLimit
from laurelstep.balancing.events import ERROR, OK, RESET, Goal
from laurelstep.balancing.latency import LOST_DEVIATIONS, LatencyTracker
from laurelstep.balancing.requests import Request

# The share of admitted requests answered within their objective below which fewer are let
# through. Chance and a small fault must refuse nobody.
GOOD_SHARE: Final = 0.85
# Part of that which is still asked for when next to nothing is let through.
# Guards against shedding for lateness that fewer requests do not mend.
GOOD_SHARE_PART: Final = 0.5
# One look of good results alone raises the share let through by this factor.
SHARE_RISE: Final = 2.0
# Good results save up as much as one bad one takes: heavy work refuses nobody.
SHARE_MOST: Final = SHARE_RISE ** (GOOD_SHARE / (1.0 - GOOD_SHARE) / LOOK_SAMPLES)
# Share let through however bad it looks: the trial that shows recovery. By chance it may be
# none for many seconds, and what hangs below may fill the bound: after so many refused on end,
# and so long, the next is let through.
SHARE_LEAST: Final = 0.1
TRIAL_AFTER: Final = 10
TRIAL_EVERY_US: Final = 1_000_000
# The most worthy work may fill the bound on held requests by this much more
# than the least worthy, so that the least gives way first.
WORTHY_MORE: Final = 0.5
# The least worthy still gets this part of what all would get alike: a class
# must not starve while others have some of everything.
LEAST_WORTHY_PART: Final = 0.5
# A request is not stuck before this part of the longest objective, however quick and even
# answers are: a queue that forms at once must first meet the bound.
STUCK_LEAST: Final = 0.25


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
    in time falls, fewer are let through, and recovery doubles up.
    """

    __slots__ = ("admitted_at", "good_part", "latencies", "limit", "refused_in_a_row", "share")

    def __init__(self, latencies: LatencyTracker, goal: Goal) -> None:
        self.latencies = latencies
        self.good_part = good_part_of_objective(goal)
        self.limit = ConcurrencyLimit(latencies.longest_objective_us)
        self.refused_in_a_row = self.admitted_at = 0
        self.share = 1.0  # let through; above 1 it is saved up

    def admits(self, now: int, held: int, rank: tuple[float, float], chance: float) -> bool:
        """Whether to take a request: the least worthy work gives way first.

        `rank` is the parts of the work that are worth less and more, `chance` a number
        drawn from [0, 1).
        """
        less, more = rank
        alike = max(1e-9, 1.0 - less - more)
        share = min(1.0, self.share)
        part = max(LEAST_WORTHY_PART * share, min(1.0, (share - more) / alike))
        is_trial = self.refused_in_a_row >= TRIAL_AFTER and now - self.admitted_at >= TRIAL_EVERY_US
        if not is_trial and (
            chance >= part or self.limit.exceeds_concurrency_limit(now, held / (1.0 + WORTHY_MORE * less))
        ):
            self.refused_in_a_row += 1
            return False
        self.admitted_at, self.refused_in_a_row = now, 0
        self.limit.record_admitted(now)
        return True

    def record_outcome(self, now: int, request: Request, outcome: int) -> None:
        """How a request ended. Errors and resets are left out: they tell of broken endpoints,
        which fewer requests would not mend."""
        if outcome in (ERROR, RESET) or request.body_pending:
            return
        took_us = now - request.arrived_at
        is_good = outcome == OK and took_us <= self.good_part * request.cls.aim_us
        was_lost = outcome != OK and self._was_lost(request)
        self.record_result(now, took_us, is_good, outcome == OK, request.cls.aim_us, was_lost)

    def record_result(
        self,
        now: int,
        took_us: int,
        is_good: bool,
        answered: bool,
        objective_us: float = 0.0,
        was_lost: bool = False,
    ) -> None:
        """One admitted request's result; the steps balance at GOOD_SHARE, at less the more is shed."""
        look = self.limit.record_result(now, took_us, answered, objective_us, was_lost)
        step = log(SHARE_RISE) / look
        if not is_good and now - took_us <= self.limit.bounded_at:
            return  # taken before the bound last acted, which has answered it
        if not is_good:
            asked = GOOD_SHARE * (GOOD_SHARE_PART + (1.0 - GOOD_SHARE_PART) * min(1.0, self.share))
            step *= -asked / (1.0 - asked)
            if not answered:  # no mere heavy work: what was saved up is gone
                self.share = min(1.0, self.share)
        self.share = min(SHARE_MOST, max(SHARE_LEAST, self.share * exp(step)))

    def is_answer_due(self, now: int, request: Request) -> bool:
        """Whether an answer was due by now: a client that left before tells nothing."""
        due_us = min(self.limit.took_us, self.good_part * request.cls.aim_us)
        return now - request.arrived_at > due_us

    def count_stuck(self, now: int, requests: Iterable[Request]) -> int:
        """Requests held far longer than answers now take: lost somewhere below, no load.

        Guards admission against refusing all for some that hang, whatever hangs them (lost
        messages, dead flows, a frozen tier): answers stop as nothing is sent, and the bound
        that follows them stays shut until the last deadline. Where all queue at once for
        long, it lets in one more bound's worth in each such span.
        """
        stuck = 0
        for request in requests:  # the oldest first
            if request.body_pending:
                continue
            if not self._is_stuck(now - request.arrived_at):
                break
            stuck += 1
        return stuck

    def _is_stuck(self, held_us: int) -> bool:
        least_us = STUCK_LEAST * self.latencies.longest_objective_us
        return held_us >= least_us and self.latencies.is_overdue(held_us, LOST_DEVIATIONS)

    def _was_lost(self, request: Request) -> bool:
        """Whether its endpoint answered one that was sent when this one was overdue already:
        a queue answers in its order, so this one got lost below."""
        if not request.attempts or not self.latencies.is_known():
            return False
        last = request.attempts[-1]
        overdue_at = last.sent_at + self.latencies.overall.upper_bound(LOST_DEVIATIONS)
        return last.endpoint.latest_answered_sent_at > overdue_at
