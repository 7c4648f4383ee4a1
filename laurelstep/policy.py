"""Every decision of laurelstep: one `Balancer` per sidecar, pure and alone.

Interface: laurelstep/interface.py has the settings, events and actions.

No I/O, no clock, no threads: each method takes the time (µs) and one event
and returns actions. The ordinary path is two-choice with asymmetric ties:
one draw from a left group, one from a right group of a shared order, the
lower own count of calls in flight wins, ties go left.
"""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Sequence
from itertools import pairwise
from math import ceil, exp, fsum, log, sqrt
from typing import Final

from laurelstep.interface import (  # isort: skip
    CANCELLED, ERROR, FULL, KEYED, LIST_DELTA, LIST_FAILED, LIST_PART, NEVER_RAN, NO_CONNECT, OK, READY,
    RESET, SAFE, SCOPE_ALL, SCOPE_ZONE, TIMEOUT, WAITING, Action, Arrival, Cancel, Close, Entry, Fail,
    Outcome, Probed, Refuse, RequestClass, Send, Settings, Timer, Watch,
)  # fmt: skip

# --- Constants, each with its reason -------------------------------------

# Each endpoint should be drawn by at least this many copies, so that copies
# with unequal traffic even out; sets the arc where copies are many.
COVERAGE: Final = 4
# Endpoints a group spans at least: one leaves no draw. More is no gain: a copy
# with little traffic would hear of each too seldom to learn of trouble.
GROUP_MIN: Final = 2
# A longer group is sampled first: bounds the work of a pick on the whole ring.
DRAW_MAX: Final = 32
# What an endpoint holds that tells nothing; more is nonsense.
MAX_HELD: Final = 1e6
# All bits of a part of the ring's keys.
MASK: Final = 0xFFFFFFFFFFFFFFFF
# Rounding error of a position on the ring.
EDGE: Final = 1e-6
# Memory of the copy's own send rate, as a multiple of the longest aim:
# long enough to average, short enough to follow a ramp.
RATE_MEMORY: Final = 1.0
# Memory of an endpoint's service, in samples at most and as a multiple of the
# longest aim at least: a few samples tell speeds of 3:1 apart, and an endpoint
# seldom drawn is judged afresh.
LEARN_SAMPLES: Final = 16
LEARN_MEMORY: Final = 2.0
LEARN_GAIN_MAX: Final = 0.5
# What one failure leaves of an endpoint's health, by how surely it tells of a
# broken endpoint; fullness tells of load more than of a fault.
BLAME = {ERROR: 0.4, FULL: 0.7, TIMEOUT: 0.2, NO_CONNECT: 0.5, RESET: 0.2}
# A full endpoint is left alone for so many usual latencies: one kept full by
# everybody's next try would turn slow. Before the first answer, for so many aims.
CROWDED_FOR: Final = 1.0
CROWDED_FIRST: Final = 0.1
# Power of the blame that the other classes and tenants take for a failure of one.
BLAME_OTHERS: Final = 0.5
# One answer repairs this share of the damage; time repairs it with a memory
# of this many aims, doubled by each failure in a row up to the cap.
REPAIR: Final = 0.2
HEAL_MEMORY: Final = 1.5
HEAL_DOUBLINGS: Final = 4
# And so many sends to the endpoint at least: where a copy sends little, time alone
# would have it try a bad endpoint with every other request.
HEAL_SENDS: Final = 3.0
# Health never falls below this: the trial by which an endpoint returns.
HEALTH_MIN: Final = 0.01
# One of less health for all sorts of requests counts as avoided, to those who look on.
AVOIDED: Final = 0.5
# A endpoint that owes answers and gave none for mean + this many deviations
# of the usual latency is taken for frozen; what is left of its weight then.
STALL_DEVIATIONS: Final = 4.0
STALL_WEIGHT: Final = 0.05
# Gain of the copy's latency mean and deviation, as in TCP's timer.
LATENCY_GAIN: Final = 0.05
# Leaving the own zone, where that has a price: the part of the draws that may rises with
# each answer of the own zone that takes more than this multiple of what is usual here, or
# of what other zones take if that is more, by so much for each time over; one answer
# counts as so many times at most. Evens out over some hundred answers: a part that jumps
# with the latest times has all copies of a zone leave together and come back together.
CROSS_OVER: Final = 1.1
CROSS_GAIN: Final = 0.01
CROSS_MOST: Final = 4.0
# Memory of what the own zone and the others take, in aims: bad news must fade, or nobody returns.
CROSS_MEMORY: Final = 2.0
# Power of an endpoint's slowness in its weight. At 1 all hold alike, however slow; what
# turned slow under its queue must be left to get through it.
SLOW_POWER: Final = 2
# Part of the tip budget a copy allows itself: the rest covers copies that
# carry more than their share and work heavier than the average.
COLD_SAFETY: Final = 0.5
# Retry tokens earned by each first try, and the most that may be saved up:
# retries can add this share to the traffic, never multiply it.
RETRY_EARN: Final = 0.2
RETRY_CAP: Final = 5.0
# Pause before asking again for an endpoint when none may be drawn, as a share
# of the class's aim.
HOLD_SHARE: Final = 0.02

# Admission: the share of admitted requests answered within their aim below
# which fewer are let through. Chance and a small trouble must refuse nobody.
ADMIT_GOOD: Final = 0.85
# Part of that which is still asked for when next to nothing is let through.
# Guards against shedding for lateness that fewer requests do not mend.
ADMIT_GOOD_PART: Final = 0.5
# Results seen within this multiple of what a request takes by now count as one
# look, as a decision's result comes that late; so many are one look at least.
ADMIT_MEMORY: Final = 2.0
ADMIT_SAMPLES: Final = 5
# One look of good results alone raises the share let through by this factor.
ADMIT_RISE: Final = 2.0
# Requests held may grow to this multiple of what the same stream of answers
# holds unloaded (Little's law), and by so many deviations of chance: a burst.
HELD_OVER: Final = 2.0
HELD_CHANCE: Final = 1.5
# Once more than this was held for a whole look, it is the bound until no more
# was held for two: a burst passes, a standing queue does not.
STANDING_OVER: Final = 1.3
STANDING_CHANCE: Final = 0.5
# So many results at least make an unloaded time: fewer tell mostly chance.
BASE_SAMPLES: Final = 30
# The first unloaded time is that of the first requests taken, once so many of them have
# ended: the last ones may be lost.
EARLY_SAMPLES: Final = 27
# Looks over which the time of requests is taken for the bound.
CALM_LOOKS: Final = 2
# A part of the aim that answers may take before they count as slow: where work is small
# beside its aim, a multiple of the unloaded time is no harm yet.
COMFORT: Final = 0.2
# Looks after which the tight bound must have made answers quicker, and what it may take
# for the unloaded time then, as a part of the aim: past it all would be late.
VAIN_LOOKS: Final = 2
VAIN_MOST: Final = 0.3
# Part of a look that has passed at least when its answers are made a rate: before, as on
# a start, few tell mostly chance.
LOOK_LEAST: Final = 0.3
# Good results save up as much as one bad one takes: heavy work refuses nobody.
ADMIT_ROOM = ADMIT_RISE ** (ADMIT_GOOD / (1.0 - ADMIT_GOOD) / ADMIT_SAMPLES)
# So many for each endpoint that falls to a copy are always let through, HELD_FEW at
# least: where copies are many, eight for each of them would be a standing queue by itself,
# and where they are few, eight for each would leave most cores idle. While answers are
# quick, small counts tell nothing.
HELD_MIN: Final = 8
HELD_FEW: Final = 2
# Slow start: so many for each endpoint that falls to a copy are held at first, and one
# more for each answer. Guards the endpoints against the rush on a copy that is back.
HELD_FIRST: Final = 16.0
# A request is not stuck before this part of the longest aim, however quick and even answers
# are: a queue that forms at once must first meet the bound.
STUCK_LEAST: Final = 0.25
# Rise per look of what a request is taken to take unloaded: slow, so that a
# long queue does not soon pass for usual, but a changed service does in time.
BASE_RISE: Final = 0.01
# Work asked for, in requests, over which its mix of worth is remembered.
MIX_MEMORY: Final = 100.0
# The most worthy work may fill the bound on held requests by this much more
# than the least worthy, so that the least gives way first.
WORTHY_MORE: Final = 0.5
# The least worthy still gets this part of what all would get alike: a class
# must not starve while others have some of everything.
WORTHLESS_PART: Final = 0.5
# A tenant may save up its part of the allowance for this long, in aims.
ALLOW_FOR: Final = 2.0
# Share let through however bad it looks: the trial that shows recovery. By chance it may be
# none for many seconds, and what hangs below may fill the bound: after so many refused on end,
# and so long (µs), the next is let through.
ADMIT_MIN: Final = 0.1
TRIAL_AFTER: Final = 10
TRIAL_EVERY: Final = 1_000_000

# A lost attempt makes the copy wary of connections that rested this part as long:
# each halving on the way down would cost another loss.
WARY_PART: Final = 0.25
# A shorter rest, in aims, kills no connection: who drops flows waits longer.
REST_LEAST: Final = 0.1
# An attempt out for so many deviations past the mean looks lost: more than for a
# stall, as heavy work alone must not cost new connections.
WARY_DEVIATIONS: Final = 6.0

# A handshake costs at least this part of a request's worth, priced or not.
HANDSHAKE_LEAST: Final = 0.01

# Mean back-off after a failed call for lists, µs. A change counts as told 6 s after discovery had
# it: one call that is silent for 2 s, and asked again, or four that fail at once, must fit into that.
LIST_BACK_OFF: Final = 400_000

TIMER_HOLD: Final = 0
TIMER_WATCH: Final = 1
TIMER_KINDS: Final = 2


class Endpoint:
    """What this copy knows of one endpoint."""

    __slots__ = (
        "boot", "budget", "budget_at", "cell", "crowded", "health", "id", "inflight",
        "key", "kinds", "links", "newest", "packed", "quiet_since", "rating", "ready", "samples", "slowness",
        "slowness_at", "staged", "told_at", "waiting", "zone",
    )  # fmt: skip

    def __init__(self, entry: Entry, kinds: int) -> None:
        self.id = entry.endpoint
        self.kinds = kinds  # of requests
        self.move(entry)
        self.boot = entry.boot
        self.rating = entry.rating
        self.ready = False
        self.inflight = self.quiet_since = 0
        self.budget, self.budget_at = 0.0, 0
        self.staged = False  # it waits for the end of the list that it came with
        self.renew()

    def move(self, entry: Entry) -> None:
        self.key = ring_key(entry.cell, entry.endpoint)
        self.cell, self.zone = entry.cell, entry.zone

    def renew(self) -> None:
        """What is learned of one process."""
        self.slowness = 1.0  # observed latency over the peers' mean
        self.slowness_at = self.samples = 0
        self.newest = 0  # when the last of those that it answered was sent
        self.links: list[int] = []  # idle connections: since when, the last used last
        self.crowded = 0  # it was full: nothing is sent before this
        self.packed = 0  # it had no room for a connection more: none is opened before this
        self.waiting, self.told_at = 0.0, 0  # requests that wait there, by an answer
        # By class and tenant: health, when that was, failures in a row (halved by an answer).
        self.health = [(1.0, 0, 0.0)] * self.kinds


# The key is unique, so that no two endpoints are ever compared.
Ring = list[tuple[tuple[int, int, int], Endpoint]]


class Group:
    """A stretch of a ring: its endpoints, each with the share of it that lies inside.

    A long one is not copied: it is sampled, and a change of the list costs by its own length.
    """

    __slots__ = ("count", "end", "first", "ring", "short", "start")

    def __init__(self, ring: Ring, start: float, end: float) -> None:
        self.ring, self.start, self.end = ring, start, end
        self.first = int(start)
        if self.first + 1 - start <= EDGE:
            self.first += 1
        self.count = max(0, ceil(end - EDGE) - self.first)
        self.short = [self.at(n) for n in range(self.count if self.count <= DRAW_MAX else 0)]

    def at(self, number: int) -> tuple[Endpoint, float]:
        at = self.first + number
        return self.ring[at % len(self.ring)][1], min(self.end, at + 1) - max(self.start, at)

    def sample(self, rng: random.Random) -> list[tuple[Endpoint, float]]:
        if self.count <= DRAW_MAX:
            return self.short
        return [self.at(number) for number in rng.sample(range(self.count), DRAW_MAX)]

    def holds(self, endpoint: Endpoint) -> bool:
        at = bisect_left(self.ring, (endpoint.key, endpoint))
        found = at < len(self.ring) and self.ring[at][1] is endpoint
        return found and (at - self.first) % len(self.ring) < self.count


class Order:
    """The shared order of the endpoints: all, by zone, and of the zones that cost more."""

    __slots__ = ("far", "home", "ring", "zones")

    def __init__(self, settings: Settings) -> None:
        self.ring: Ring = []
        self.zones: dict[int, Ring] = {}  # none where there is one zone
        self.far: Ring = []  # of other zones than `home`, where that has a price
        self.home = -1
        if settings.zones > 1:
            self.zones = {settings.zone: []}
            self.home = settings.zone if settings.cross_zone_price > 0.0 else -1

    def of(self, endpoint: Endpoint) -> list[Ring]:
        rings = [self.ring]
        if self.zones:
            rings.append(self.zones.setdefault(endpoint.zone, []))
            if self.home >= 0 and endpoint.zone != self.home:
                rings.append(self.far)
        return rings

    def add(self, endpoint: Endpoint) -> None:
        for ring in self.of(endpoint):
            insort(ring, (endpoint.key, endpoint))

    def remove(self, endpoint: Endpoint) -> None:
        for ring in self.of(endpoint):
            del ring[bisect_left(ring, (endpoint.key, endpoint))]

    def copied(self, settings: Settings) -> Order:
        copy = Order(settings)
        copy.ring, copy.far = self.ring[:], self.far[:]
        copy.zones = {zone: ring[:] for zone, ring in self.zones.items()}
        return copy


class Latency:
    """Mean and mean deviation of served attempts, µs."""

    __slots__ = ("deviation", "mean", "samples")

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / self.samples)
        error = value - self.mean
        self.mean += gain * error
        if self.samples > 1:
            self.deviation += gain * (abs(error) - self.deviation)

    def high(self, deviations: float) -> float:
        return self.mean + deviations * self.deviation


class Crossing:
    """How much of a copy's work may leave its zone, where crossing zones has a price.

    Guards against paying for each tie, and against a zone left to choke on more than
    its own endpoints can do: `part` of the draws are from both sides, the others from
    two halves of the own zone.
    """

    __slots__ = ("base", "far", "far_at", "memory", "near", "near_at", "part")

    def __init__(self, memory_us: float) -> None:
        self.near, self.far = Latency(), Latency()
        self.base = 0.0  # the least that the own zone took
        self.near_at = self.far_at = 0  # when they were last heard of
        self.memory = memory_us
        self.part = 1.0

    def note(self, now: int, near: bool, took: float) -> None:
        """How long an attempt took; one that failed took its aim at least."""
        if not near:
            self.far.mean, self.far_at = self._faded(now, self.far.mean, self.far_at), now
            self.far.add(took)
        else:
            self.near.add(took)
            self.near_at = now
        if self.near.samples <= LEARN_SAMPLES:
            self.part -= near / LEARN_SAMPLES
            return
        if near:
            mean = self.near.mean
            self.base = min(self.base * (1.0 + BASE_RISE * LATENCY_GAIN), mean) if self.base else mean
        else:
            took = self._faded(now, self.near.mean, self.near_at)
        usual = max(1.0, self.base, self._faded(now, self.far.mean, self.far_at))
        over = min(took / usual, CROSS_MOST) - CROSS_OVER
        if near or over < 0.0:  # Guards against staying away for good: nothing sent, nothing heard
            self.part = min(1.0, max(0.0, self.part + CROSS_GAIN * over))

    def _faded(self, now: int, took: float, at: int) -> float:
        """What was last heard of a side; what is not heard again fades to what is usual."""
        return self.base + (took - self.base) * exp((at - now) / self.memory) if self.base else took


class Attempt:
    __slots__ = ("cell", "coming", "endpoint", "never_ran", "out", "rested", "sent", "wary", "zone")

    def __init__(self, endpoint: Endpoint, now: int, coming: bool) -> None:
        self.endpoint = endpoint
        self.coming = coming  # the endpoint has not all of it yet: it counts there once it has
        self.cell, self.zone = endpoint.cell, endpoint.zone
        self.sent = now
        self.rested = -1  # how long its connection was idle; a new one was not
        self.out = True
        self.never_ran = False
        self.wary = False  # it spoke for or against connections dying at rest


class Request:
    __slots__ = (
        "arrived", "attempts", "cls", "coming", "expires", "id", "key", "kind", "sort",
        "streaming", "tenant",
    )  # fmt: skip

    def __init__(self, now: int, event: Arrival, cls: RequestClass, tenants: int) -> None:
        self.id = event.request
        self.arrived = now
        self.kind = event.cls
        self.sort = event.cls * tenants + min(event.tenant, tenants - 1)
        self.cls = cls
        self.tenant = event.tenant
        self.key = event.key if cls.sequential else 0
        self.expires = event.expires
        self.attempts: list[Attempt] = []
        self.streaming = False
        self.coming = event.coming  # its last byte is still to come

    def outstanding(self) -> bool:
        return any(attempt.out for attempt in self.attempts)

    def first_maybe(self) -> Attempt | None:
        """The earliest attempt that may have run, or may be running."""
        for attempt in self.attempts:
            if not attempt.never_ran:
                return attempt
        return None


class Turn:
    """The requests of one key that run one at a time, in the order taken."""

    __slots__ = ("line", "out", "rest")

    def __init__(self) -> None:
        self.line: deque[Request] = deque()  # not over; the first has the turn
        self.out = 0  # attempts without an outcome of any request, over or not
        self.rest = 0  # nothing of the next request is sent before this


def mix(value: int) -> int:
    """A fixed 64-bit mixing (splitmix64), the same in every copy."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def ring_key(cell: int, endpoint: int) -> tuple[int, int, int]:
    """The shared order: whole cells side by side, so that a repeat bound to
    a cell finds warm connections; both parts mixed, as ids tell nothing."""
    return mix(cell), mix(endpoint), endpoint


class Rate:
    """Events per µs with exponential forgetting, unbiased from the start."""

    __slots__ = ("at", "began", "memory", "sum")

    def __init__(self, memory_us: float, now: int) -> None:
        self.memory = memory_us
        self.sum = 0.0
        self.at = self.began = now

    def add(self, now: int, amount: float = 1.0) -> None:
        if now > self.at:
            self.sum *= exp((self.at - now) / self.memory)
            self.at = now
        self.sum += amount

    def get(self, now: int) -> float:
        seen = max(0.02, 1.0 - exp((self.began - now) / self.memory))  # less tells only chance
        return self.sum * exp((self.at - now) / self.memory) / (self.memory * seen)


class Admission:
    """Load shedding at the entry, from the results of own requests alone.

    Guards against congestion collapse: queues so long that every answer is
    late, and clients' further tries that keep them so. Once the share of
    answers in time falls, fewer are let through, and recovery doubles up.
    """

    __slots__ = (
        "answers", "at", "base", "began", "bounded", "busy_at", "calm", "calm_at", "count", "denied",
        "early", "early_end", "first", "haste", "least", "let_at", "results", "settled", "share", "since",
        "standing", "taken", "took", "vain",
    )  # fmt: skip

    def __init__(self, aim_us: float) -> None:
        self.took = aim_us  # what a request takes by now
        self.calm = aim_us  # the same over more looks, for less noise
        self.base = aim_us  # what it takes unloaded: the least that calm was
        self.haste = 1.0 / aim_us  # mean of 1 / aim over the requests
        self.count = self.taken = 0  # results, and requests let through
        self.results = self.answers = 0.0  # within the present look
        self.began = self.at = 0
        self.denied = self.let_at = 0  # so many on end, since one was let through
        self.early, self.early_end = (0, 0.0), -1  # of the first taken: results and time, and the last
        self.settled = False
        self.calm_at = self.busy_at = 0  # when few were last held, and many
        self.standing = False
        self.vain = 0, aim_us  # since when the tight bound acts, and what calm was
        self.since = 0, 0.0  # of those taken since: results and time
        self.least = self.first = float(HELD_MIN)  # so many may always be held; and at first
        self.bounded = -1  # when the bound on held requests last refused one
        self.share = 1.0

    def note(
        self, now: int, took: int, good: bool, answered: bool, aim_us: float = 0.0, lost: bool = False
    ) -> None:
        """One admitted request's result; the steps balance at ADMIT_GOOD, at less the more is
        shed. How long one that got `lost` below was waited for is not what answers take."""
        memory = ADMIT_MEMORY * self.took
        keep = exp((self.at - now) / memory)
        self.results = self.results * keep + 1.0
        self.answers = self.answers * keep + answered
        self.at = now
        self.count += 1
        look = max(self.results, ADMIT_SAMPLES)
        if aim_us:
            self.haste += (1.0 / aim_us - self.haste) / min(self.count, MIX_MEMORY)
        # What was turned away at once says nothing of the time that an answer takes.
        if answered or (took > self.took and not lost):
            self.took += (max(took, 1) - self.took) / min(self.count, look)
            self.calm += (max(took, 1) - self.calm) / min(self.count, max(BASE_SAMPLES, CALM_LOOKS * look))
            if now - took > self.vain[0]:
                self.since = self.since[0] + 1, self.since[1] + took
        if self.settled:
            self.base = min(self.base * (1.0 + BASE_RISE / look), self.calm)
        else:
            self._settle(now - took, took, answered)
        step = log(ADMIT_RISE) / look
        if not good and now - took <= self.bounded:
            return  # taken before the bound last acted, which has answered it
        if not good:
            asked = ADMIT_GOOD * (ADMIT_GOOD_PART + (1.0 - ADMIT_GOOD_PART) * min(1.0, self.share))
            step *= -asked / (1.0 - asked)
            if not answered:  # no mere heavy work: the room saved up is gone
                self.share = min(1.0, self.share)
        self.share = min(ADMIT_ROOM, max(ADMIT_MIN, self.share * exp(step)))

    def admits(self, now: int, held: int, place: tuple[float, float], chance: float) -> bool:
        """Whether to take a request: the least worthy work gives way first."""
        less, more = place
        alike = max(1e-9, 1.0 - less - more)
        share = min(1.0, self.share)
        part = max(WORTHLESS_PART * share, min(1.0, (share - more) / alike))
        trial = self.denied >= TRIAL_AFTER and now - self.let_at >= TRIAL_EVERY
        if not trial and (chance >= part or self._full(now, held / (1.0 + WORTHY_MORE * less))):
            self.denied += 1
            return False
        self.began, self.let_at, self.denied = self.began or now, now, 0
        self.taken += 1
        if self.taken == BASE_SAMPLES:
            self.early_end = now
        return True

    def _settle(self, arrived: int, took: int, answered: bool) -> None:
        """Take the unloaded time from the first requests, not from the first answers:
        those are the quick ones. Nor after so many times what they take by now: answers
        that slow down from the start on would put the bound off for ever."""
        self.base = self.calm
        if answered and (self.early_end < 0 or arrived <= self.early_end):
            self.early = self.early[0] + 1, self.early[1] + took
            if self.early[0] >= EARLY_SAMPLES and self.early_end >= 0:
                self.settled, self.base = True, self.early[1] / self.early[0]

    def _full(self, now: int, held: float) -> bool:
        """Guards against choked endpoints: they queue for seconds before an
        answer is late, and the quick answers alone tell nothing of it."""
        memory = ADMIT_MEMORY * self.took
        seen = max(LOOK_LEAST, 1.0 - exp((self.began - now) / memory))
        # Only what was answered: time-outs are no sign that more could be held.
        answers = self.answers * exp((self.at - now) / memory) / (memory * seen)
        base = max(self.base, COMFORT / (self.haste * STANDING_OVER))
        usual = answers * base
        tight = STANDING_OVER * usual + STANDING_CHANCE * sqrt(usual)
        loose = HELD_OVER * usual + HELD_CHANCE * sqrt(usual)
        if held <= tight:
            self.calm_at = now
        else:
            self.busy_at = now
        # A queue stands once it lasted for a look; it is over once none was
        # seen for two.
        stood = self.standing
        self.standing |= self.settled and now - self.calm_at > memory
        self.standing &= now - self.busy_at < 2.0 * memory
        if not self.settled:
            return held > self.first + self.count
        # While answers are quick a full hand is chance, or the bound's own doing.
        slow = self.standing and self.calm > STANDING_OVER * base
        least = self.least if self.calm > HELD_OVER * base else max(HELD_MIN, self.least)
        if not (stood and slow):
            self.vain, self.since = (now, self.calm), (0, 0.0)
        elif now - self.vain[0] > VAIN_LOOKS * ADMIT_MEMORY * self.vain[1] and self.since[0] >= BASE_SAMPLES:
            # Guards against shedding in vain, as other copies take what this one refuses:
            # where the rest takes no less time, that is the unloaded time by now. Of those
            # taken before the bound acted, the slowest are still to come.
            took = self.since[1] / self.since[0]
            if took >= self.vain[1]:
                self.base = max(self.base, min(took, VAIN_MOST / self.haste))
            self.vain, self.since = (now, self.calm), (0, 0.0)
        if held <= max(least, tight if slow else loose):
            return False
        self.bounded = now
        return True


class Worth:
    """What a request is worth against the others asked for lately.

    Kinds are class and whether the tenant is past its part of its allowance;
    `place` says which part of the work asked for is worth less, or more.
    """

    __slots__ = ("kinds", "meters", "mix", "settings", "span")

    def __init__(self, settings: Settings, aim_us: float) -> None:
        self.settings = settings
        self.span = ALLOW_FOR * aim_us
        worths = [c.worth for c in settings.classes]
        self.kinds = worths + [w * settings.over_share_worth for w in worths]
        self.mix = [0.0] * len(self.kinds)
        self.meters = [(0.0, 0)] * len(settings.tenants)

    def place(self, now: int, event: Arrival, usual: Sequence[Latency]) -> tuple[float, float]:
        """The parts of the work lately asked for that are worth less and more.

        What counts is the worth of a unit of work. Where no hints tell the work of a
        request, what its class takes stands for it.
        """
        classes = len(self.settings.classes)
        kind = event.cls + classes * self._over(now, event.tenant)
        keep = 1.0 - 1.0 / MIX_MEMORY
        self.mix = [part * keep for part in self.mix]
        self.mix[kind] += event.work_us or 1.0
        takes = [1.0 if self.settings.worth_by_work else max(1.0, one.mean) for one in usual] * 2
        parts = self.mix if event.work_us else [p * t for p, t in zip(self.mix, takes, strict=True)]
        gains = self._gains(parts, [w / t for w, t in zip(self.kinds, takes, strict=True)])
        total = fsum(parts)
        less = fsum(part for part, other in zip(parts, gains, strict=True) if other < gains[kind])
        more = fsum(part for part, other in zip(parts, gains, strict=True) if other > gains[kind])
        return less / total, more / total

    def _gains(self, parts: list[float], worths: list[float]) -> list[float]:
        """What the goal gains from a unit of each kind's work. To serve all classes alike
        gains the mean for the whole and again for the worst class; a class gives way only
        to one that gains more than that."""
        goal, classes = self.settings.goal, len(self.settings.classes)
        mean = fsum(p * w for p, w in zip(parts, worths, strict=True)) / fsum(parts)
        alike = (goal.whole + goal.worst_class) * mean
        gains = [goal.whole * worth for worth in worths]
        if goal.worst_class > 0.0:
            gains[:classes] = [max(gain, alike) for gain in gains[:classes]]
        return gains

    def _over(self, now: int, tenant: int) -> bool:
        """Guards the others' share against a tenant that asks for more than
        its own: each copy meters an equal part of the allowance."""
        if tenant >= len(self.meters) or not self.settings.tenants[tenant]:
            return False
        rate = self.settings.tenants[tenant] / self.settings.instances / 1e6
        saved, at = self.meters[tenant]
        saved = min(1.0 + rate * self.span, saved + rate * (now - at))
        over = saved < 1.0
        self.meters[tenant] = (saved if over else saved - 1.0, now)
        return over


class Balancer:
    def __init__(self, seed: int, settings: Settings) -> None:
        self.s = settings
        self.rng = random.Random(seed)
        self.out: list[Action] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.order = Order(settings)
        self.coming: Order | None = None  # that of a list which is not yet whole
        self.staged: list[Endpoint] = []  # those that only it has
        self.groups: list[Group] = []
        self.home: list[Group] = []  # two halves of the own zone, where crossing has a price
        self.arc_size = self.own = 1.0  # endpoints on its arc; and for each copy
        self.requests: dict[int, Request] = {}  # in the order in which they came whole
        self.partial = 0  # of these, those whose last byte is still to come
        self.ended: dict[int, Request] = {}  # over, but with attempts still out
        self.turns: dict[int, Turn] = {}
        self.moved: list[int] = []  # keys that may have a next to go
        self.resting: deque[tuple[int, int]] = deque()  # until when, and the key
        self.reused: deque[Attempt] = deque()  # sent on connections that had rested
        self.kept = (0, 0)  # when the last one answered was sent, and its rest
        self.wary_of, self.wary_for = 0.0, 0.0  # rests from this on, for so many sends
        self.heal_sends = 0.0  # time in which an endpoint is sent HEAL_SENDS
        self.proofs = NEVER_RAN - {FULL} if settings.full_unproven else NEVER_RAN
        self.retry_tokens = RETRY_CAP / 2
        self.rate_memory = RATE_MEMORY * max(c.aim_us for c in settings.classes)
        self.sends = self.served = Rate(self.rate_memory, 0)
        self.longest_aim = max(c.aim_us for c in settings.classes)
        self.latencies = [Latency() for _ in settings.classes]
        self.latency = Latency()
        fields = settings.report_fields
        self.waiting_at = fields.index(WAITING) if WAITING in fields else len(fields)
        self.admission = Admission(self.longest_aim)
        # Guards punctuality where it counts: with tails that fall off evenly, a share
        # of 1 - ADMIT_GOOD past this part of the aim is as many misses as are allowed.
        self.good_part, goal = 1.0, settings.goal
        if goal.punctual > 0.0 and 0.0 < goal.miss_allowed < 1.0:
            self.good_part = min(1.0, log(1.0 - ADMIT_GOOD) / log(goal.miss_allowed))
        self.worth = Worth(settings, self.longest_aim)
        self.ask_again = min(settings.ask_within_us // 4, LIST_BACK_OFF)
        self.crossing = Crossing(CROSS_MEMORY * self.longest_aim)

    def _taken(self, now: int) -> list[Action]:
        while self.moved:
            self._settle_turn(now, self.moved.pop())
        out, self.out = self.out, []
        return out

    # --- Membership and groups --------------------------------------------

    def start(self, now: int) -> list[Action]:
        self.sends = Rate(self.rate_memory, now)
        self.served = Rate(max(self.rate_memory, self.s.cold_us), now)
        if self.s.asks_discovery:
            # Copies started together must not ask together.
            self._timer(TIMER_WATCH, 0, int(self.rng.random() * self.ask_again))
        return self._taken(now)

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        if mode == LIST_FAILED:
            # Guards against a lost subscription: ask again, spread out.
            if self.s.asks_discovery:
                self._timer(TIMER_WATCH, 0, int((0.5 + self.rng.random()) * self.ask_again))
            return self._taken(now)
        changed = False
        if mode not in (LIST_DELTA, LIST_PART):
            named = {entry.endpoint for entry in entries}
            for endpoint in list(self.endpoints.values()):
                if endpoint.id not in named:
                    changed |= self._remove(endpoint)
        for entry in entries:
            changed |= self._apply(now, entry, mode == LIST_PART)
        if self.coming is not None and mode != LIST_PART:
            self._join()
            changed = True
        if changed:
            self._cut()
        return self._taken(now)

    def _apply(self, now: int, entry: Entry, part: bool) -> bool:
        endpoint = self.endpoints.get(entry.endpoint)
        if entry.phase != READY:
            return self._remove(endpoint) if endpoint else False
        moved = False
        if endpoint is None:
            endpoint = Endpoint(entry, len(self.s.classes) * max(1, len(self.s.tenants)))
        elif (endpoint.cell, endpoint.zone) != (entry.cell, entry.zone):
            # Guards repeats: they stay with the cell or zone that it is in by now.
            moved = self._remove(endpoint)
            endpoint.move(entry)
        self.endpoints[endpoint.id] = endpoint
        endpoint.rating = entry.rating if entry.rating > 0 else 1.0
        if entry.boot != endpoint.boot or not endpoint.ready:
            if entry.boot != endpoint.boot:
                endpoint.renew()  # a new process: nothing seen of the old one holds
            endpoint.boot = entry.boot
            # A cold endpoint's budget starts part-filled at random, so that
            # the copies' first sends to it do not coincide.
            endpoint.budget = self.rng.random()
            endpoint.budget_at = now
        if endpoint.ready or endpoint.staged:
            return False
        if part:
            # Guards the first to be read of a long list against the traffic of all.
            if self.coming is None:
                self.coming = self.order.copied(self.s)
            self.coming.add(endpoint)
            self.staged.append(endpoint)
            endpoint.staged = True
            return moved
        endpoint.ready = True
        self.order.add(endpoint)
        if self.coming is not None:
            self.coming.add(endpoint)
        return True

    def _join(self) -> None:
        """What was staged stands in the order from now on, all of it at once."""
        if self.coming is not None:
            self.order, self.coming = self.coming, None
        for endpoint in self.staged:
            if endpoint.staged:
                endpoint.ready, endpoint.staged = True, False
        self.staged = []

    def _remove(self, endpoint: Endpoint) -> bool:
        """Guards drains: an endpoint told draining or gone leaves at once."""
        if not endpoint.inflight:
            self.endpoints.pop(endpoint.id, None)
        was_ready = endpoint.ready
        if was_ready:
            self.order.remove(endpoint)
        if self.coming is not None and (was_ready or endpoint.staged):
            self.coming.remove(endpoint)
        endpoint.ready = endpoint.staged = False
        return was_ready

    def _cut(self) -> None:
        """Own arc of the shared ring from the copy's own offset; left, right.

        Guards against copies piling their ties on one shared left group, and
        against endpoints that fewer copies can reach: copies start evenly
        spaced and each group is a whole number of spacings long, so that
        every point of the ring lies in the left groups of equally many
        copies, and in the right groups too. An endpoint that an edge cuts
        stands in the group with the share that lies inside.
        """
        own = self.own = max(1, len(self.order.ring)) / self.s.instances  # endpoints that fall to a copy
        self.admission.least = max(HELD_FEW, HELD_MIN * own)
        self.admission.first = HELD_FIRST * max(1.0, own)
        ring, far = self.order.ring, self.order.far
        near = self.order.zones.get(self.s.zone, ring)
        if far and len(near) >= GROUP_MIN:
            zone_copies = max(1.0, self.s.instances / self.s.zones)
            self.groups = [self._arc(near, zone_copies), self._arc(far, zone_copies)]
            start, end = self.groups[0].start, self.groups[0].end
            middle = start + ceil((end - start) / 2.0)
            self.home = [Group(near, start, middle), Group(near, middle, end)]
            self.arc_size = float(sum(group.count for group in self.groups))
            return
        self.home = []
        size, copies = len(self.order.ring), self.s.instances
        step = size / copies
        count, start = 2, self.s.me * step
        depth = min(copies, max(COVERAGE, ceil(count * GROUP_MIN / step))) if size else 0
        parts = [depth * k / count for k in range(count + 1)]
        if depth >= count:  # whole spacings, all groups alike
            parts = [float(round(part)) for part in parts]
        self.groups = [Group(self.order.ring, start + a * step, start + b * step) for a, b in pairwise(parts)]
        self.arc_size = max(1.0, depth * step)

    def _arc(self, ring: Ring, copies: float) -> Group:
        """One group on a part of the ring, from the copy's own offset there."""
        step = len(ring) / copies
        start = self.s.me * step
        return Group(ring, start, start + min(len(ring), max(GROUP_MIN, COVERAGE / 2 * step)))

    # --- Pick ----------------------------------------------------------------

    def _pick(self, now: int, request: Request) -> Endpoint | None:
        maybe = request.first_maybe()
        if maybe is not None and request.cls.effect == KEYED and request.cls.scope == SCOPE_ZONE:
            zone = self.order.zones.get(maybe.zone, self.order.ring)
            return self._choose_among(now, request, zone, 0, len(zone))
        if maybe is not None and request.cls.effect == KEYED and request.cls.scope != SCOPE_ALL:
            # A cell's endpoints stand side by side.
            cell = mix(maybe.cell)
            start = bisect_left(self.order.ring, ((cell, -1, 0), maybe.endpoint))
            end = bisect_left(self.order.ring, ((cell, MASK + 1, 0), maybe.endpoint))
            return self._choose_among(now, request, self.order.ring, start, end)
        found = None
        if self.home and self.rng.random() >= self.crossing.part:
            found = self._choose(now, request, self.home)
        if found is None:
            found = self._choose(now, request, self.groups)
        if found is None and self.arc_size < len(self.order.ring):
            # The whole arc is unusable: fall back on the ring.
            found = self._choose_among(now, request, self.order.ring, 0, len(self.order.ring))
        return found

    def _choose_among(self, now: int, request: Request, ring: Ring, start: int, end: int) -> Endpoint | None:
        cut = start + (end - start + 1) // 2
        return self._choose(now, request, [Group(ring, start, cut), Group(ring, cut, end)])

    def _choose(self, now: int, request: Request, groups: Sequence[Group]) -> Endpoint | None:
        """The design's rule: one draw from each group, fewer own calls in
        flight wins, ties go left; a group without an eligible endpoint yields."""
        drawn = [one for one in (self._draw(now, request, group) for group in groups) if one is not None]
        best = min(drawn, key=lambda one: one.inflight, default=None)
        for other in drawn:
            if best and other.inflight == best.inflight and other is not best:
                worse = self._weight(now, other, request.sort) / self._weight(now, best, request.sort) - 1.0
                if worse > self.rng.random():
                    best = other
        return best

    def _draw(self, now: int, request: Request, group: Group) -> Endpoint | None:
        """One draw by weight among the eligible endpoints of a group."""
        total, marks = 0.0, []
        for endpoint, share in group.sample(self.rng):
            if self._eligible(now, request, endpoint):
                total += share * self._weight(now, endpoint, request.sort)
                marks.append((total, endpoint))
        mark = self.rng.random() * total
        return next((endpoint for upto, endpoint in marks if mark <= upto), None)

    def _eligible(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        if any(attempt.endpoint is endpoint for attempt in request.attempts):
            return False
        if now < endpoint.crowded or (now < endpoint.packed and not endpoint.links):
            return False
        return not self._is_cold(now, endpoint) or self._cold_budget(now, endpoint) >= 1.0

    def _weight(self, now: int, endpoint: Endpoint, kind: int) -> float:
        """How likely an endpoint is drawn: size, warmth, learned speed, health."""
        weight = endpoint.rating * self._warmth(now, endpoint) / endpoint.slowness**SLOW_POWER
        if endpoint.health[kind][0] < 1.0:
            weight *= self._health(now, endpoint, kind)
        if endpoint.inflight and self._stalled(now, endpoint):
            weight *= STALL_WEIGHT
        if endpoint.waiting > 0.0:
            weight /= 1.0 + endpoint.waiting * exp((endpoint.told_at - now) / self.longest_aim)
        return weight

    # --- Health ------------------------------------------------------------------

    def _stalled(self, now: int, endpoint: Endpoint) -> bool:
        """Guards against frozen and hung endpoints: calls out, no answers."""
        return self._overdue(now - endpoint.quiet_since)

    def _overdue(self, waited: int, deviations: float = STALL_DEVIATIONS) -> bool:
        """Whether this is too long for the work and the queues now usual."""
        known = self.latency.samples >= LEARN_SAMPLES
        return waited > (self.latency.high(deviations) if known else self.longest_aim)

    def _health(self, now: int, endpoint: Endpoint, kind: int) -> float:
        """Health by now: damage heals with time, slower after repeated failures.

        Weights only count against each other in a draw, so failures that
        come from the tier behind and strike all alike eject nobody.
        """
        health, at, failures = endpoint.health[kind]
        memory = max(HEAL_MEMORY * self.longest_aim, self.heal_sends) * 2.0 ** min(failures, HEAL_DOUBLINGS)
        return max(HEALTH_MIN, 1.0 - (1.0 - health) * exp((at - now) / memory))

    def avoided(self, now: int) -> int:
        """How many ready endpoints get next to nothing now. Changes nothing."""
        return sum([one.ready and self._avoids(now, one) for one in self.endpoints.values()])

    def _avoids(self, now: int, endpoint: Endpoint) -> bool:
        if now < endpoint.crowded or (endpoint.inflight > 0 and self._stalled(now, endpoint)):
            return True
        return all([self._health(now, endpoint, kind) < AVOIDED for kind in range(endpoint.kinds)])

    def _blame(self, now: int, endpoint: Endpoint, outcome: int, kind: int, packed: bool = False) -> None:
        """Guards against endpoints that fail fast, drain their count and so
        keep winning: a failure makes them unlikely to be drawn. Other classes
        and tenants are suspected too, but less: it may fail these alone."""
        if outcome == FULL and FULL not in self.proofs:
            outcome = TIMEOUT  # it may cost the request, and be no load but a fault
        for other, (_, _, failures) in enumerate(endpoint.health):
            self.heal_sends = HEAL_SENDS * self.arc_size / max(self.sends.get(now), 0.1 / self.longest_aim)
            blame = BLAME[outcome] if other == kind else BLAME[outcome] ** BLAME_OTHERS
            health = max(HEALTH_MIN, self._health(now, endpoint, other) * blame)
            endpoint.health[other] = health, now, failures + (other == kind)
        if outcome == FULL:
            usual = self.latency.mean or CROWDED_FIRST * self.longest_aim
            until = now + int(CROWDED_FOR * usual)
            if packed:
                endpoint.packed = until
            else:
                endpoint.crowded = until

    def _praise(self, now: int, endpoint: Endpoint, request: Request, delay_us: int) -> None:
        """An answer: repair the health of its sort, learn the endpoint's speed from it."""
        kind = request.sort
        if endpoint.health[kind][0] < 1.0:
            health = self._health(now, endpoint, kind)
            health += REPAIR * (1.0 - health)
            endpoint.health[kind] = 1.0 if health > 0.99 else health, now, endpoint.health[kind][2] / 2.0
        self.served.add(now, self._on_arc(endpoint) / self.own)
        usual = self.latencies[request.kind]
        usual.add(delay_us)
        self.latency.add(delay_us)
        ratio = delay_us / max(1.0, usual.mean)
        age = (now - endpoint.slowness_at) / (LEARN_MEMORY * self.longest_aim)
        endpoint.samples += 1
        gain = max(1.0 / LEARN_SAMPLES, 1.0 / (endpoint.samples + 3), min(age, LEARN_GAIN_MAX))
        if endpoint.samples == 1:
            gain = 0.25
        endpoint.slowness = max(0.1, endpoint.slowness + gain * (min(ratio, 8.0) - endpoint.slowness))
        endpoint.slowness_at = now

    # --- Slow start ------------------------------------------------------------

    def _is_cold(self, now: int, endpoint: Endpoint) -> bool:
        return endpoint.boot != 0 and max(0, now - endpoint.boot) < self.s.cold_us

    def _warmth(self, now: int, endpoint: Endpoint) -> float:
        """Share of its capacity a starting endpoint is sure to have by now."""
        if not self._is_cold(now, endpoint):
            return 1.0
        age = max(0, now - endpoint.boot) / self.s.cold_us
        return self.s.cold_share + (1.0 - self.s.cold_share) * age

    def _on_arc(self, endpoint: Endpoint) -> bool:
        return any([group.holds(endpoint) for group in self.groups])

    def _cold_budget(self, now: int, endpoint: Endpoint) -> float:
        """Guards cold endpoints: this copy's part of what all may send.

        What an average endpoint of its arc serves this copy, times the
        multiple and the share warm so far. As each copy scales its own
        traffic, the parts add up without agreement; what is sent in vain,
        to full or choked endpoints, tells nothing of what one can bear.
        Answers count by the list under which they came: when many leave it,
        those left bear no more for it, and more copies have each on their arc.
        Those of endpoints off the arc, which serve where it is spent, tell nothing of it.
        """
        if not self._on_arc(endpoint):
            return 0.0  # only copies that have it on their arc share its budget
        usual = self.served.get(now) * self.own / self.arc_size
        # Guards against a start where all is cold: nothing sent, so nothing earned. What is of
        # any use serves one request an aim, from all copies together, once it is warm.
        usual = max(usual, self.own / (self.arc_size * self.longest_aim))
        rate = usual * COLD_SAFETY * self.s.tip_multiple * self._warmth(now, endpoint)
        elapsed, endpoint.budget_at = now - endpoint.budget_at, now
        endpoint.budget += rate * elapsed
        # Guards against copies that saved up while others were drawn and then all
        # spend at once: what is not used within the span that tips is lost.
        if endpoint.budget >= 1.0 + rate * self.s.tip_for_us:
            endpoint.budget %= 1.0
        return endpoint.budget

    # --- Retries and the guard ---------------------------------------------------

    def _in_scope(self, request: Request, endpoint: Endpoint) -> bool:
        maybe = request.first_maybe()
        if maybe is None or request.cls.scope == SCOPE_ALL:
            return True
        in_zone, in_cell = endpoint.zone == maybe.zone, endpoint.cell == maybe.cell
        return in_zone if request.cls.scope == SCOPE_ZONE else in_cell

    def _may_repeat(self, now: int, request: Request) -> bool:
        """Whether a further attempt is allowed at all, wherever it goes."""
        if len(request.attempts) >= self.s.max_attempts or request.streaming or now >= request.expires:
            return False
        if not self.s.second_copies and request.outstanding():
            return False
        maybe = request.first_maybe()
        if maybe is None or request.cls.effect == SAFE:
            return True
        return request.cls.effect == KEYED and now - maybe.sent < request.cls.window_us

    def _send(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        """The one guard: every send passes here and keeps the rules.

        Attempts, second copies, repeat scope and window, drain, order, cold budget.
        """
        if not self._may_repeat(now, request) or not endpoint.ready or not self._has_turn(now, request):
            return False
        if request.cls.effect == KEYED and not self._in_scope(request, endpoint):
            return False
        if self._is_cold(now, endpoint):
            if self._cold_budget(now, endpoint) < 1.0:
                return False
            endpoint.budget -= 1.0
        request.attempts.append(attempt := Attempt(endpoint, now, request.coming))
        self._connect(now, attempt)
        if not request.coming:
            self._begin(now, attempt)
        if request.key:
            self.turns[request.key].out += 1
        self.sends.add(now)
        self.out.append(Send(request.id, endpoint.id, request.expires - now))
        return True

    def _begin(self, now: int, attempt: Attempt) -> None:
        """The endpoint has all of it, or will at once: it counts there until its outcome."""
        attempt.sent, attempt.coming = now, False
        if not attempt.endpoint.inflight:
            attempt.endpoint.quiet_since = now
        attempt.endpoint.inflight += 1
        self.reused.append(attempt)

    # --- Connections ------------------------------------------------------------------

    def _connect(self, now: int, attempt: Attempt) -> None:
        """Guards against idle connections that died unseen: after losses on
        such as had rested, others that rested long are closed before use.
        An attempt that is overdue counts before its time-out."""
        while self.reused and (
            not self.reused[0].out or self._overdue(now - self.reused[0].sent, WARY_DEVIATIONS)
        ):
            if (late := self.reused.popleft()).out:
                self._wary(late, True)
        links = attempt.endpoint.links
        rest = now - links.pop() if links else 0
        if self.wary_for >= 1.0 and rest >= self.wary_of:
            self.wary_for -= 1.0
            self.out.append(Close(attempt.endpoint.id))
            links.clear()
        elif rest and (not self.s.idle_us or rest < self.s.idle_us):
            attempt.rested = rest

    def _wary(self, attempt: Attempt, lost: bool) -> None:
        """Evidence of connections that die at rest, counted in the new ones that
        it pays for: as many as the request was worth for a loss on one that had
        rested, one less for each answer on such. A loss on a new connection, or
        an answer after all, takes a loss back: slowness has other causes."""
        credit = 1.0 / max(self.s.handshake_price, HANDSHAKE_LEAST)
        part = WARY_PART * attempt.rested
        if lost and attempt.rested > REST_LEAST * self.longest_aim and not attempt.wary:
            if self.kept[0] > attempt.sent and self.kept[1] >= part:
                return  # one sent since, on a connection at rest alike, was answered
            self.wary_of = part if self.wary_for < 1.0 else min(self.wary_of, part)
            self.wary_for += credit
        elif attempt.wary != lost:
            self.wary_for = max(0.0, self.wary_for - credit)
        elif not lost and attempt.rested > 0 and self.wary_for < 1.0:
            self.wary_for = max(-credit / 2.0, self.wary_for - 1.0)
        if not lost:
            self.kept = (attempt.sent, attempt.rested)
        attempt.wary = lost

    # --- Order by key ---------------------------------------------------------------

    def _has_turn(self, now: int, request: Request) -> bool:
        """Guards order: first of those not over, nothing of others out, no rest.
        One that was sent keeps its turn, for retries and copies too."""
        if not request.key or request.attempts:
            return True
        turn = self.turns[request.key]
        return turn.line[0] is request and not turn.out and now >= turn.rest

    def _queue(self, now: int, request: Request) -> bool:
        """Whether to take the request into its key's line. One that those before
        it leave no time is refused at once, unsent: a key runs one at a time."""
        while self.resting and self.resting[0][0] <= now:  # keys long quiet are forgotten
            self.moved.append(self.resting.popleft()[1])
        turn = self.turns.setdefault(request.key, Turn())
        ahead = len(turn.line) * self.latencies[request.kind].mean
        turn.line.append(request)
        last = min(request.expires, request.arrived + request.cls.aim_us) - self._pause(request)
        self._timer(TIMER_HOLD, request.id, max(0, last - now))
        return ahead < request.cls.aim_us

    def _settle_turn(self, now: int, key: int) -> None:
        """Let the next of a key go; forget a key once all of it is over."""
        turn = self.turns.get(key)
        if turn is None or turn.out or (turn.line and turn.line[0].attempts):
            return
        wait = turn.rest - now
        if not turn.line and wait > 0:
            self.resting.append((turn.rest, key))
        elif not turn.line:
            del self.turns[key]
        elif wait > 0:
            self._timer(TIMER_HOLD, turn.line[0].id, wait)
        else:
            self._try(now, turn.line[0])

    def _try(self, now: int, request: Request) -> None:
        """Send the request somewhere, hold it within its aim, or end it."""
        if not self._may_repeat(now, request):
            self._end(now, request)
            return
        if waits := self._has_turn(now, request):
            endpoint = self._pick(now, request)
            if endpoint is not None and self._send(now, request, endpoint):
                return
        hold = self._pause(request)
        if now + hold >= min(request.expires, request.arrived + request.cls.aim_us):
            self._end(now, request)
        elif waits:
            self._timer(TIMER_HOLD, request.id, hold)

    def _pause(self, request: Request) -> int:
        return max(self.s.resolution_us, int(HOLD_SHARE * request.cls.aim_us))

    # --- Request lifecycle ----------------------------------------------------------

    def request(self, now: int, event: Arrival) -> list[Action]:
        request = Request(now, event, self.s.classes[event.cls], max(1, len(self.s.tenants)))
        self.requests[request.id] = request
        self.partial += request.coming
        self.retry_tokens = min(RETRY_CAP, self.retry_tokens + RETRY_EARN)
        # Nothing was spent on a request yet where it enters; further down, a
        # refusal would waste what the tiers above have done for it.
        admitted = self.s.stage > 0 or self._admits(now, event)
        if admitted and (not request.key or self._queue(now, request)):
            self._try(now, request)
        else:
            self._end(now, request)
        return self._taken(now)

    def _admits(self, now: int, event: Arrival) -> bool:
        held = len(self.requests) - self.partial - self._stuck(now)
        place = self.worth.place(now, event, self.latencies)
        return self.admission.admits(now, held, place, self.rng.random())

    def _stuck(self, now: int) -> int:
        """Requests held far longer than answers now take: lost somewhere below, no load.

        Guards admission against refusing all for some that hang, whatever hangs them (lost
        messages, dead flows, a frozen tier): answers stop as nothing is sent, and the bound
        that follows them stays shut until the last deadline. Where all queue at once for
        long, it lets in one more bound's worth in each such span.
        """
        stuck = 0
        for request in self.requests.values():  # the oldest first
            if request.coming:
                continue
            if not self._hangs(now - request.arrived):
                break
            stuck += 1
        return stuck

    def _was_lost(self, request: Request) -> bool:
        """Whether its endpoint answered one that was sent when this one was overdue already:
        a queue answers in its order, so this one got lost below."""
        if not request.attempts or self.latency.samples < LEARN_SAMPLES:
            return False
        last = request.attempts[-1]
        return last.endpoint.newest > last.sent + self.latency.high(WARY_DEVIATIONS)

    def _hangs(self, held: int) -> bool:
        return held >= STUCK_LEAST * self.longest_aim and self._overdue(held, WARY_DEVIATIONS)

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        outcome = event.outcome
        endpoint = self.endpoints.get(event.endpoint)
        request = self.requests.get(event.request) or self.ended.get(event.request)
        attempt = request.attempts[event.copy] if request and event.copy < len(request.attempts) else None
        if endpoint is not None and not (attempt is not None and attempt.coming):
            self._settle(endpoint)
            endpoint.quiet_since = now
        if endpoint is not None and event.report and self.waiting_at < len(event.report):
            waiting = event.report[self.waiting_at]
            if 0.0 <= waiting < MAX_HELD:
                endpoint.waiting, endpoint.told_at = waiting, now
        # Turned away on a new connection: there may be no room for just that, and those at
        # rest still serve. Guards against copies that leave an endpoint alone, wait together
        # and rush; also against idle capacity where another copy keeps the rest of the room.
        # Does harm where it was the queue that was full: what rests is tried too soon.
        packed = outcome == FULL and attempt is not None and attempt.rested < 0
        if endpoint is not None and outcome in BLAME:
            self._blame(now, endpoint, outcome, request.sort if request else 0, packed)
        if request is None or attempt is None:
            return self._taken(now)
        if self.home and outcome != CANCELLED and not request.coming:
            took = event.delay_us if outcome == OK else max(event.delay_us, request.cls.aim_us)
            self.crossing.note(now, attempt.zone == self.s.zone, took)
        if endpoint is not None and outcome == OK and not request.coming:
            self._praise(now, endpoint, request, event.delay_us)
            endpoint.newest = max(endpoint.newest, attempt.sent)
        attempt.out = False
        attempt.never_ran = outcome in self.proofs
        if outcome in (OK, ERROR, FULL):
            if not packed:
                attempt.endpoint.links.append(now)
            self._wary(attempt, False)
        elif outcome == RESET:
            self._wary(attempt, True)
        if request.key and (turn := self.turns.get(request.key)):
            turn.out -= 1
            if outcome in (TIMEOUT, RESET, CANCELLED):
                turn.rest = now + self.s.key_rest_us
        if request.id not in self.requests:
            if request.key:
                self.moved.append(request.key)
            if not request.outstanding():
                del self.ended[request.id]
        elif event.over or outcome == OK:
            self._result(now, request, outcome)
            self._forget(now, request)
        elif not request.outstanding():
            self._again(now, request, outcome)
        return self._taken(now)

    def _settle(self, endpoint: Endpoint) -> None:
        """Any ending of an attempt lowers the count."""
        endpoint.inflight = max(0, endpoint.inflight - 1)
        if not (endpoint.ready or endpoint.staged or endpoint.inflight):
            self.endpoints.pop(endpoint.id, None)

    def _again(self, now: int, request: Request, outcome: int) -> None:
        """Every attempt so far has failed: try again within the budget, which
        guards the endpoints' work; an attempt that never ran took none."""
        spent = 0.0 if outcome in self.proofs else 1.0
        if self.retry_tokens < spent:
            self._result(now, request, outcome)
            self._end(now, request)
            return
        self.retry_tokens -= spent
        if not self._may_repeat(now, request):
            self._result(now, request, outcome)
        self._try(now, request)

    def _result(self, now: int, request: Request, outcome: int) -> None:
        """Tell admission how a request ended. Errors and resets are left out:
        they tell of broken endpoints, which fewer requests would not mend."""
        if outcome not in (ERROR, RESET) and not request.coming:
            took = now - request.arrived
            good = outcome == OK and took <= self.good_part * request.cls.aim_us
            lost = outcome != OK and self._was_lost(request)
            self.admission.note(now, took, good, outcome == OK, request.cls.aim_us, lost)

    def head(self, now: int, event: Outcome) -> list[Action]:
        request = self.requests.get(event.request)
        if request is not None:
            request.streaming = True
        return self._taken(now)

    def whole(self, now: int, rid: int, expires: int) -> list[Action]:
        """The last byte of a request that was taken while it came: from now on its time counts.
        Guards what is learned of endpoints, and the bound on what is held, against the pace of
        a caller: until then it loads no endpoint, and nothing of how long it takes tells."""
        request = self.requests.pop(rid, None)
        if request is not None:
            self.requests[rid] = request
        if request is not None and request.coming:
            request.arrived, request.expires, request.coming = now, expires, False
            self.partial -= 1
            for attempt in request.attempts:
                if attempt.out and attempt.coming:
                    self._begin(now, attempt)
        return self._taken(now)

    def gone(self, now: int, rid: int) -> list[Action]:
        request = self.requests.get(rid)
        if request is not None:
            # One that left before an answer was due tells nothing of how answers come.
            due = min(self.admission.took, self.good_part * request.cls.aim_us)
            if now - request.arrived > due:
                self._result(now, request, TIMEOUT)
            self._forget(now, request)
        return self._taken(now)

    def timer(self, now: int, token: int) -> list[Action]:
        value, kind = divmod(token, TIMER_KINDS)
        if kind == TIMER_WATCH and self.s.asks_discovery:
            self.out.append(Watch(True))
        elif (request := self.requests.get(value)) and not request.outstanding():
            self._try(now, request)
        return self._taken(now)

    def _timer(self, kind: int, value: int, delay_us: int) -> None:
        self.out.append(Timer(value * TIMER_KINDS + kind, delay_us))

    def probed(self, now: int, event: Probed) -> list[Action]:
        return self._taken(now)

    def mail(self, now: int, sender: int, payload: bytes) -> list[Action]:
        return self._taken(now)

    def _end(self, now: int, request: Request) -> None:
        """The one place that gives final answers. A refusal promises that a
        retry is harmless, so it is given only where that is sure."""
        if request.streaming:
            return
        cls = request.cls
        harmless = cls.effect == SAFE or (cls.effect == KEYED and cls.scope == SCOPE_ALL)
        if harmless or request.first_maybe() is None:
            # The client may come back when this copy would itself ask again; longer
            # advice had tries come back together, and too late to be in time.
            self.out.append(Refuse(request.id, self._pause(request) if self.s.retry_after else 0))
        else:
            self.out.append(Fail(request.id))
        self._forget(now, request)

    def _forget(self, now: int, request: Request) -> None:
        """The request is over: nothing more is sent; stop what is still out."""
        del self.requests[request.id]
        self.partial -= request.coming
        if request.outstanding():
            self.ended[request.id] = request
        if request.key and (turn := self.turns.get(request.key)) and request in turn.line:
            turn.line.remove(request)
            self.moved.append(request.key)
        if self.s.can_cancel and not request.streaming:
            for copy, attempt in enumerate(request.attempts):
                if attempt.out:
                    self.out.append(Cancel(request.id, copy))
