"""The bound on requests held at once, from the times of own requests alone (Little's law)."""

from __future__ import annotations

from math import exp, sqrt
from typing import Final

# Results seen within this multiple of what a request takes by now count as one look, as a
# decision's result comes that late; so many are one look at least.
LOOK_MEMORY: Final = 2.0
LOOK_SAMPLES: Final = 5
# Part of a look that has passed at least when its answers are made a rate: before, as on
# a start, few tell mostly chance.
LOOK_LEAST: Final = 0.3
# Requests held may grow to this multiple of what the same stream of answers
# holds unloaded (Little's law), and by so many deviations of chance: a burst.
BURST_MULTIPLE: Final = 2.0
BURST_DEVIATIONS: Final = 1.5
# Once more than this was held for a whole look, it is the bound until no more
# was held for two: a burst passes, a standing queue does not.
STANDING_MULTIPLE: Final = 1.3
STANDING_DEVIATIONS: Final = 0.5
# So many results at least make an unloaded time: fewer tell mostly chance.
BASE_SAMPLES: Final = 30
# The first unloaded time is that of the first requests taken, once so many of them have
# ended: the last ones may be lost.
EARLY_SAMPLES: Final = 27
# Looks over which the time of requests is taken for the bound.
SMOOTHED_LOOKS: Final = 2
# A part of the objective that answers may take before they count as slow: where work is small
# beside its objective, a multiple of the unloaded time is no harm yet.
COMFORT: Final = 0.2
# Looks after which the tight bound must have made answers quicker, and what it may take
# for the unloaded time then, as a part of the objective: past it all would be late.
FUTILE_LOOKS: Final = 2
FUTILE_MOST: Final = 0.3
# So many for each endpoint that falls to a copy are always let through, HELD_FEW at
# least: where copies are many, eight for each of them would be a standing queue by itself,
# and where they are few, eight for each would leave most cores idle. While answers are
# quick, small counts tell nothing.
HELD_MIN: Final = 8
HELD_FEW: Final = 2
# After a start so many for each endpoint that falls to a copy are held at first, and one
# more for each answer. Guards the endpoints against the rush on a copy that is back.
HELD_FIRST: Final = 16.0
# Rise per look of what a request is taken to take unloaded: slow, so that a
# long queue does not soon pass for usual, but a changed service does in time.
BASE_RISE: Final = 0.01
# Requests over which the mix of their latency objectives is remembered.
OBJECTIVE_MEMORY: Final = 100.0


class ConcurrencyLimit:
    """How many requests a copy may hold before its endpoints choke; times in µs.

    `base_us` is what a request takes unloaded. The limit is a multiple of what the present
    stream of answers would hold then: loose for a burst, tight while a queue stands.
    """

    __slots__ = (
        "answers",
        "base_us",
        "began_at",
        "bounded_at",
        "calm_at",
        "count",
        "crowded_at",
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
        self.took_us = objective_us  # what a request takes by now
        self.smoothed_us = objective_us  # the same over more looks, for less noise
        self.base_us = objective_us  # what it takes unloaded: the least that smoothed_us was
        self.objectives_per_us = 1.0 / objective_us  # mean of 1 / objective over the requests
        self.count = self.taken = 0  # results, and requests let through
        self.results = self.answers = 0.0  # within the present look
        self.began_at = self.updated_at = 0
        self.early, self.early_end_at = (0, 0.0), -1  # of the first taken: results and time, the last
        self.settled = False  # whether the unloaded time is known
        self.calm_at = self.crowded_at = 0  # when few were last held, and many
        self.standing = False
        self.tight = 0, objective_us  # since when the tight bound acts, and smoothed_us then
        self.tight_results = 0, 0.0  # of those taken since: results and time
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
        """One admitted request's result; returns the results that make one look.

        How long one that was lost below was waited for is not what answers take.
        """
        keep = exp((self.updated_at - now) / (LOOK_MEMORY * self.took_us))
        self.results = self.results * keep + 1.0
        self.answers = self.answers * keep + answered
        self.updated_at = now
        self.count += 1
        look = max(self.results, LOOK_SAMPLES)
        if objective_us:
            self.objectives_per_us += (1.0 / objective_us - self.objectives_per_us) / min(
                self.count, OBJECTIVE_MEMORY
            )
        # What was rejected at once says nothing of the time that an answer takes.
        if answered or (took_us > self.took_us and not was_lost):
            self._record_time(now, took_us, look)
        if self.settled:
            self.base_us = min(self.base_us * (1.0 + BASE_RISE / look), self.smoothed_us)
        else:
            self._settle(now - took_us, took_us, answered)
        return look

    def _record_time(self, now: int, took_us: int, look: float) -> None:
        self.took_us += (max(took_us, 1) - self.took_us) / min(self.count, look)
        samples = min(self.count, max(BASE_SAMPLES, SMOOTHED_LOOKS * look))
        self.smoothed_us += (max(took_us, 1) - self.smoothed_us) / samples
        if now - took_us > self.tight[0]:
            self.tight_results = self.tight_results[0] + 1, self.tight_results[1] + took_us

    def _settle(self, arrived_at: int, took_us: int, answered: bool) -> None:
        """Take the unloaded time from the first requests, not from the first answers:
        those are the quick ones. Nor after so many times what they take by now: answers
        that slow down from the start on would put the bound off for ever."""
        self.base_us = self.smoothed_us
        if answered and (self.early_end_at < 0 or arrived_at <= self.early_end_at):
            self.early = self.early[0] + 1, self.early[1] + took_us
            if self.early[0] >= EARLY_SAMPLES and self.early_end_at >= 0:
                self.settled, self.base_us = True, self.early[1] / self.early[0]

    def exceeds_concurrency_limit(self, now: int, held: float) -> bool:
        """Guards against choked endpoints: they queue for seconds before an
        answer is late, and the quick answers alone tell nothing of it."""
        memory = LOOK_MEMORY * self.took_us
        seen = max(LOOK_LEAST, 1.0 - exp((self.began_at - now) / memory))
        # Only what was answered: time-outs are no sign that more could be held.
        answers = self.answers * exp((self.updated_at - now) / memory) / (memory * seen)
        base = max(self.base_us, COMFORT / (self.objectives_per_us * STANDING_MULTIPLE))
        usual = answers * base
        tight = STANDING_MULTIPLE * usual + STANDING_DEVIATIONS * sqrt(usual)
        loose = BURST_MULTIPLE * usual + BURST_DEVIATIONS * sqrt(usual)
        stood = self._observe_queue(now, held, tight, memory)
        if not self.settled:
            return held > self.held_at_start + self.count
        # While answers are quick a full hand is chance, or the bound's own doing.
        slow = self.standing and self.smoothed_us > STANDING_MULTIPLE * base
        is_choked = self.smoothed_us > BURST_MULTIPLE * base
        least = self.held_at_least if is_choked else max(HELD_MIN, self.held_at_least)
        self._judge_tight_bound(now, stood and slow)
        if held <= max(least, tight if slow else loose):
            return False
        self.bounded_at = now
        return True

    def _observe_queue(self, now: int, held: float, tight: float, memory_us: float) -> bool:
        """Note whether a queue stands; returns whether one stood before.

        It stands once it lasted for a look; it is over once none was seen for two."""
        if held <= tight:
            self.calm_at = now
        else:
            self.crowded_at = now
        stood = self.standing
        self.standing |= self.settled and now - self.calm_at > memory_us
        self.standing &= now - self.crowded_at < 2.0 * memory_us
        return stood

    def _judge_tight_bound(self, now: int, is_tight: bool) -> None:
        """Guards against shedding in vain, as other copies take what this one refuses:
        where the rest takes no less time, that is the unloaded time by now. Of those
        taken before the bound acted, the slowest are still to come."""
        since, smoothed_us = self.tight
        if is_tight:
            acted_long = now - since > FUTILE_LOOKS * LOOK_MEMORY * smoothed_us
            if not acted_long or self.tight_results[0] < BASE_SAMPLES:
                return
            took_us = self.tight_results[1] / self.tight_results[0]
            if took_us >= smoothed_us:
                self.base_us = max(self.base_us, min(took_us, FUTILE_MOST / self.objectives_per_us))
        self.tight, self.tight_results = (now, self.smoothed_us), (0, 0.0)
