"""The agreed record: each hard case by name, in a made tier whose checker looks after every step."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from laurelstep.accord import kept as keeping
from laurelstep.accord import messages as m
from laurelstep.accord.core import FAR, Core, Timing
from laurelstep.accord.errors import BusyError, EntryError, KeptError, NotLeadingError
from laurelstep.accord.leases import Leases
from laurelstep.accord.log import CONFIG, DATA, Log, members_raw
from laurelstep.accord.machines import Machines
from laurelstep.accord.ports import DATAGRAM_MOST
from laurelstep.accord.snapshots import Assembly, Snapshot
from laurelstep.accord.terms import ENTRY_MOST, NOWHERE, PENDING_MOST, WORD_MOST, Era
from laurelstep.testing.schedules import BrokenError, Made, Process, Tape, World
from laurelstep.testing.schedules.script import QUICK, founded, settle
from tests.once import once

pytestmark = once

SECOND = 1_000_000


def tier(
    seats: int, learners: int = 0, lasting: bool = False, seed: int = 1, timing: Timing = QUICK
) -> World:
    """A tier that has founded its record, and knows an entry."""
    peers = seats + learners
    world = World(Made(seats, peers, timing, lasting), seed, founded(seats, peers, QUICK.log_most))
    settle(world)
    return world


def core_of(world: World, me: int) -> Core:
    core = world.processes[me].core
    assert core is not None
    return core


def led(world: World, among: Collection[int], within: int = 5 * SECOND) -> Process:
    """Whoever leads of those, once one does and has agreed something in its term."""

    def settled() -> Process | None:
        return next(
            (one for one in world.leaders() if one.me in among and core_of(world, one.me).known), None
        )

    assert world.run_for(within, lambda: settled() is not None)
    found = settled()
    assert found is not None
    return found


def agreed(world: World, data: bytes, among: Collection[int], within: int = 5 * SECOND) -> bool:
    """Whether those have applied it in time."""
    return world.run_for(within, lambda: all(data in world.processes[me].tape.data for me in among))


def others(world: World, *left: int) -> list[int]:
    return [me for me in range(world.made.peers) if me not in left]


# Who leads


def test_the_leader_is_killed_and_the_others_agree_again_within_two_seconds() -> None:
    for seed in range(20):
        world = tier(5, seed=seed)
        first = led(world, range(5)).me
        world.crash(first)
        killed = world.time
        second = led(world, others(world, first))
        assert world.propose(second.me, b"again")
        assert agreed(world, b"again", others(world, first))
        assert world.time - killed < 2 * SECOND


def test_the_leader_is_paused_longer_than_its_lease_and_resumed() -> None:
    world = tier(3, timing=dataclasses.replace(QUICK, lease_us=SECOND))
    world.run_for(2 * SECOND)
    first = led(world, range(3))
    world.ask_lease(first.me)
    assert world.run_for(SECOND, lambda: first.leases.holds(first.local(world.time), "lease"))
    world.pause(first.me)
    second = led(world, others(world, first.me))
    other = world.processes[others(world, first.me, second.me)[0]]
    # Refused while the first may hold it, granted after.
    while not other.leases.holds(other.local(world.time), "lease"):
        assert world.time < 20 * SECOND
        world.ask_lease(other.me)
        world.run_for(SECOND // 5)
    assert not first.leases.holds(first.local(world.time), "lease")
    world.resume(first.me)
    assert core_of(world, first.me).role == "follower"
    settle(world)


def test_one_that_was_cut_off_does_not_end_the_leader_when_it_comes_back() -> None:
    world = tier(5)
    first = led(world, range(5))
    term = core_of(world, first.me).term
    alone = others(world, first.me)[0]
    world.part([alone], others(world, alone))
    world.run_for(10 * SECOND)
    assert core_of(world, alone).role == "candidate"
    world.heal()
    settle(world)
    assert core_of(world, first.me).role == "leader"
    assert core_of(world, alone).term == term


# Partitions


def test_of_two_and_three_the_three_go_on() -> None:
    world = tier(5)
    first = led(world, range(5)).me
    few = [first, others(world, first)[0]]
    many = others(world, *few)
    world.part(few, many)
    assert world.propose(first, b"few")
    second = led(world, many).me
    assert world.propose(second, b"many")
    assert agreed(world, b"many", many)
    world.run_for(5 * SECOND)
    assert not any(b"few" in world.processes[me].tape.data for me in range(5))
    assert not any(core_of(world, me).in_touch(world.processes[me].local(world.time)) for me in few)
    world.heal()
    settle(world)
    assert all(b"many" in one.tape.data and b"few" not in one.tape.data for one in world.processes)


def test_of_three_and_three_neither_agrees_or_founds() -> None:
    world = tier(7)
    world.crash(6)
    era = core_of(world, 0).era
    halves = [0, 1, 2], [3, 4, 5]
    world.part(*halves)
    world.run_for(SECOND // 10)
    for half in halves:
        for one in world.leaders():
            if one.me in half:
                world.propose(one.me, b"half")
    world.run_for(20 * SECOND)
    assert world.leaders() == []
    assert not any(b"half" in one.tape.data for one in world.processes)
    world.heal()
    settle(world)
    assert {core_of(world, me).era for me in range(7)} == {era}


@pytest.mark.parametrize("outwards", [True, False])
def test_one_way_the_leader_is_cut_off_and_another_leads(outwards: bool) -> None:
    world = tier(3)
    first = led(world, range(3)).me
    rest = others(world, first)
    if outwards:
        world.cut_one_way([first], rest)
    else:
        world.cut_one_way(rest, [first])
    second = led(world, rest, within=10 * SECOND)
    assert world.propose(second.me, b"one way")
    assert agreed(world, b"one way", rest)
    # It stays so: nobody who can't hear or be heard unseats the one that leads.
    world.run_for(10 * SECOND)
    assert [one.me for one in world.leaders()] == [second.me]
    world.heal()
    settle(world)


def test_a_bridge_leads_or_follows_and_the_two_ends_do_not_take_turns() -> None:
    world = tier(3)
    world.part([0, 1], [1, 2])
    world.run_for(5 * SECOND)
    leader = led(world, range(3))
    term = core_of(world, leader.me).term
    assert world.propose(leader.me, b"bridge")
    assert agreed(world, b"bridge", [1])
    world.run_for(20 * SECOND)
    assert [one.me for one in world.leaders()] == [leader.me]
    assert core_of(world, leader.me).term == term
    world.heal()
    settle(world)
    assert all(b"bridge" in one.tape.data for one in world.processes)


# Memory


def test_all_killed_at_once_with_lasting_stores_lose_nothing() -> None:
    world = tier(5, learners=1, lasting=True)
    era = core_of(world, 0).era
    leader = led(world, range(5)).me
    assert world.propose(leader, b"before")
    assert agreed(world, b"before", range(6))
    incarnations = [one.incarnation for one in world.processes]
    for me in range(6):
        world.crash(me)
    world.heal()
    settle(world)
    assert core_of(world, 0).era == era
    assert all(b"before" in one.tape.data for one in world.processes)
    assert [one.incarnation for one in world.processes][:5] == incarnations[:5]
    # A learner keeps nothing, and is another.
    assert world.processes[5].incarnation != incarnations[5]


def test_all_killed_at_once_without_stores_begin_an_empty_record_and_say_so_by_its_era() -> None:
    world = tier(3, learners=2)
    era = core_of(world, 0).era
    for me in range(3):
        world.crash(me)
    world.heal()
    settle(world)
    assert core_of(world, 0).era != era
    assert all(core_of(world, me).era == core_of(world, 0).era for me in range(5))
    assert all(b"probe0" not in one.tape.data or one.tape.places[0][0] > 1 for one in world.processes)


def test_a_majority_forgets_and_one_remembers() -> None:
    for seed in range(20):
        world = tier(5, seed=seed)
        leader = led(world, range(5)).me
        assert world.propose(leader, b"kept")
        assert agreed(world, b"kept", range(5))
        one = seed % 5
        for me in others(world, one):
            world.restart(me)
        settle(world)
        assert core_of(world, 0).era.generation == 2
        assert all(b"kept" in process.tape.data for process in world.processes)


def test_one_that_is_frozen_reads_the_new_record_anew() -> None:
    world = tier(3)
    last, era = core_of(world, 2), core_of(world, 2).era
    assert last.known
    world.restart(0)
    world.restart(1)
    assert world.run_for(10 * SECOND, lambda: last.role == "frozen" or last.era != era)
    # Until then it goes by the old one, and must not take that for the record.
    assert world.run_for(10 * SECOND, lambda: last.known)
    assert last.role != "frozen" and last.era != era


def test_a_majority_forgets_while_one_seat_is_cut_off_and_nothing_is_founded() -> None:
    world = tier(3)
    leader = led(world, range(3)).me
    assert world.propose(leader, b"kept")
    assert agreed(world, b"kept", range(3))
    rest = others(world, leader)
    world.part([leader], rest)
    for me in rest:
        world.restart(me)
    world.run_for(20 * SECOND)
    assert {core_of(world, me).era for me in rest} == {NOWHERE}
    world.heal()
    settle(world)
    assert all(b"kept" in one.tape.data for one in world.processes)


def test_one_that_comes_again_in_the_midst_of_a_vote_does_not_vote_twice() -> None:
    world = tier(3)
    first = led(world, range(3)).me
    world.crash(first)
    voters: list[int] = []
    before = {one.me: one.incarnation for one in world.processes}

    def voted() -> bool:
        voters[:] = [
            one.me
            for one in world.processes
            if one.core and one.core._state.voted not in (None, (first, before[first]))
        ]
        return len(voters) == 2

    assert world.run_for(5 * SECOND, voted)
    voter = next(me for me in voters if core_of(world, me).role != "leader")
    world.restart(voter)
    again = core_of(world, voter)
    assert again.incarnation != before[voter]
    assert again._state.voted is None
    # The vote of the one that ended counts, and the new one's only once it is taken in.
    world.run_for(5 * SECOND)
    world.heal()
    settle(world)
    assert core_of(world, 0).members == {one.me: one.incarnation for one in world.processes}


def test_a_seat_that_comes_again_is_taken_out_and_in_one_at_a_time() -> None:
    world = tier(3)
    leader = led(world, range(3))
    again = others(world, leader.me)[0]
    old = core_of(world, again).incarnation
    sizes = [3]
    world.restart(again)

    def watched() -> bool:
        members = core_of(world, leader.me).members
        if len(members) != sizes[-1]:
            sizes.append(len(members))
        return members.get(again) == core_of(world, again).incarnation

    assert world.run_for(5 * SECOND, watched)
    assert sizes == [3, 2, 3]
    assert core_of(world, leader.me).members[again] != old


def test_a_release_replaces_all_one_after_the_other() -> None:
    world = tier(5, learners=1)
    era = core_of(world, 0).era
    for me in range(6):
        leader = led(world, range(5)).me
        assert world.propose(leader, b"release%d" % me)
        world.restart(me)
        world.run_for(3 * SECOND)
    settle(world)
    assert core_of(world, 0).era == era
    assert all(b"release0" in one.tape.data for one in world.processes)


def test_a_handover_goes_on_as_the_same_incarnation() -> None:
    world = tier(3, learners=1)
    incarnations = [core_of(world, me).incarnation for me in range(4)]
    for me in range(4):
        world.succeed(me)
        world.run_for(SECOND)
    settle(world)
    assert [core_of(world, me).incarnation for me in range(4)] == incarnations
    assert core_of(world, 0).members == dict(enumerate(incarnations[:3]))


def test_one_that_has_retired_does_nothing_more() -> None:
    world = tier(3)
    core = core_of(world, 0)
    now = world.processes[0].local(world.time)
    core.retire()
    assert core.due == FAR
    assert core.tick(now + SECOND).sends == []
    assert core.receive(now, 1, m.encode(m.Ask(1))).sends == []
    with pytest.raises(NotLeadingError):
        core.propose(now, b"late")


# Founding


def found_by_hand(lasting: bool = False) -> tuple[World, int]:
    """Three that have nothing; gives who founds, at the time when it has begun to."""
    world = World(Made(3, 3, QUICK, lasting), seed=3)
    assert world.run_for(5 * SECOND, lambda: any(core_of(world, me).role == "frozen" for me in range(3)))
    return world, next(me for me in range(3) if core_of(world, me).role == "frozen")


def test_a_founding_needs_every_seat() -> None:
    world = World(Made(3, 3, QUICK), seed=3)
    world.crash(2)
    world.run_for(20 * SECOND)
    assert all(core_of(world, me).era == NOWHERE for me in range(2))
    world.heal()
    settle(world)


def test_one_that_comes_again_between_the_two_rounds_ends_the_founding() -> None:
    world, founder = found_by_hand()
    era = core_of(world, founder)._state.promised
    last = others(world, founder)[-1]
    first = others(world, founder, last)[0]
    # One accepts; before the other does, the first has come again as another.
    world.cut_one_way([founder], [last])
    assert world.run_for(SECOND, lambda: first in core_of(world, founder)._founding._accepted)
    world.restart(first)
    world.cut = set()
    world.run_for(SECOND // 2)
    assert era not in {core_of(world, me).era for me in range(3)}
    settle(world)
    assert core_of(world, 0).era > era
    assert core_of(world, 0).members[first] == core_of(world, first).incarnation


def test_a_seat_frozen_by_a_founding_that_failed_comes_again_with_its_log() -> None:
    world = tier(3)
    leader = led(world, range(3))
    frozen = others(world, leader.me)[0]
    old, last = core_of(world, frozen).incarnation, core_of(world, frozen).applied
    # A late call from a founder that gave up long ago, while the seat hears no leader.
    world.part([frozen], others(world, frozen))
    world.run_for(3 * SECOND)
    named = [core_of(world, me).incarnation for me in range(3)]
    call = m.encode(m.Found(Era(9, 9), 1, named))
    world._step(world.processes[frozen], lambda core, now: core.receive(now, leader.me, call))
    assert core_of(world, frozen).role == "frozen"
    world.heal()
    assert world.run_for(10 * SECOND, lambda: core_of(world, frozen).role == "follower")
    assert core_of(world, frozen).counters["came_again"] == 1
    assert core_of(world, frozen).incarnation != old
    assert core_of(world, frozen).applied >= last

    def taken_in() -> bool:
        return core_of(world, leader.me).members.get(frozen) == core_of(world, frozen).incarnation

    assert world.run_for(5 * SECOND, taken_in)
    assert core_of(world, leader.me).role == "leader"
    settle(world)


def test_a_call_to_found_is_refused_by_one_in_touch_or_not_named() -> None:
    world = tier(3)
    now = [one.local(world.time) for one in world.processes]
    named = [core_of(world, me).incarnation for me in range(3)]
    call = m.encode(m.Found(Era(9, 9), 1, named))
    assert core_of(world, 1).receive(now[1], 0, call).sends == []
    lonely = World(Made(3, 3, QUICK), seed=1)
    call = m.encode(m.Found(Era(9, 9), 1, [1, 2, 3]))
    effects = core_of(lonely, 1).receive(lonely.processes[1].local(1), 0, call)
    assert effects.sends == [] and effects.keep == {}


# Learners and reads


def test_two_hundred_copies_agree_and_at_rest_each_takes_under_two_kilobytes_a_second() -> None:
    timing = Timing(log_most=64)
    world = World(Made(5, 200, timing), seed=5)
    settle(world)
    leader = led(world, range(5)).me
    assert world.propose(leader, b"to all")
    assert agreed(world, b"to all", range(200), within=2 * SECOND)
    world.run_for(5 * SECOND)
    taken = [0] * 200
    send = world._send

    def counted(source: int, target: int, raw: bytes) -> None:
        taken[source] += len(raw)
        taken[target] += len(raw)
        send(source, target, raw)

    world._send = counted  # type: ignore[method-assign]
    world.run_for(20 * SECOND)
    assert max(taken) / 20 < 2_000


def test_one_that_is_cut_off_from_the_majority_does_not_come_to_know() -> None:
    world = tier(5, learners=1)
    first = led(world, range(5)).me
    few = [first, others(world, first)[0], 5]
    world.part(few, others(world, *few))
    world.restart(5)
    world.run_for(10 * SECOND)
    assert not core_of(world, 5).known
    world.heal()
    settle(world)


def test_a_learner_of_a_forgotten_record_finds_the_one_that_lives() -> None:
    for seed in range(10):
        world = tier(3, learners=1, seed=seed)
        for me in range(3):
            world.restart(me)
        settle(world)
        assert core_of(world, 3).era == core_of(world, 0).era


def test_words_reach_the_leader_from_everybody() -> None:
    world = tier(3, learners=1)
    leader = led(world, range(3))
    heard: list[tuple[int, int, bytes]] = []
    core_of(world, leader.me).heard = lambda *word: heard.append(word)
    for me in range(4):
        word = b"word%d" % me
        world._step(world.processes[me], lambda core, now, word=word: core.word(now, word))  # type: ignore[misc]
    world.run_for(SECOND // 10)
    assert sorted(heard) == [(me, core_of(world, me).incarnation, b"word%d" % me) for me in range(4)]


def test_a_word_of_an_earlier_record_is_not_heard_in_a_later_one() -> None:
    """A learner that has not heard of the new record yet speaks of places that have other entries there."""
    world = tier(3, learners=1)
    learner, era = core_of(world, 3), core_of(world, 3).era
    now = world.processes[3].local(world.time)
    ((_, early),) = learner.word(now, b"early").sends
    for me in range(3):
        world.restart(me)
    settle(world)
    leader = core_of(world, led(world, range(3)).me)
    assert leader.era == learner.era != era
    heard: list[bytes] = []
    leader.heard = lambda peer, incarnation, data: heard.append(data)
    lost = leader.counters["words_lost"]
    leader.receive(world.processes[leader.me].local(world.time), 3, early)
    assert not heard and leader.counters["words_lost"] == lost + 1
    # Nor what was to be said of it, and had to wait until it was over.
    assert not learner.word(world.processes[3].local(world.time), b"waited", era).sends
    ((_, late),) = learner.word(world.processes[3].local(world.time), b"late", leader.era).sends
    leader.receive(world.processes[leader.me].local(world.time), 3, late)
    assert heard == [b"late"]


# Bounds


def test_proposals_have_bounds() -> None:
    world = tier(3, timing=dataclasses.replace(QUICK, log_most=512))
    leader = led(world, range(3)).me
    world.part([leader], others(world, leader))
    core, now = core_of(world, leader), world.processes[leader].local(world.time)
    with pytest.raises(EntryError):
        core.propose(now, bytes(ENTRY_MOST + 1))
    with pytest.raises(EntryError):
        core.word(now, bytes(WORD_MOST + 1))
    for count in range(PENDING_MOST):
        assert core.propose(now, b"%d" % count).index is not None
    with pytest.raises(BusyError):
        core.propose(now, b"one more")
    with pytest.raises(NotLeadingError) as error:
        follower = others(world, leader)[0]
        core_of(world, follower).propose(world.processes[follower].local(world.time), b"x")
    assert error.value.leader == leader


def test_the_longest_messages_fit_in_a_datagram() -> None:
    era = Era((1 << 32) - 1, (1 << 64) - 1)
    big, count, small = (1 << 64) - 1, (1 << 48) - 1, (1 << 32) - 1
    members = [(seat, big) for seat in range(7)]
    log = Log(era)
    for length in (0, 1, 20, ENTRY_MOST):
        while len(log.batch(1, log.last)) == len(log.entries):
            log.append(m.Entry(count, DATA, bytes(length)))
        entries = log.batch(1, log.last)
        assert entries
        append = m.Append(era, small, count, count, count, count, count, entries)
        assert len(m.encode(append)) <= DATAGRAM_MOST
        assert len(m.encode(m.Feed(era, small, count, True, count, entries))) <= DATAGRAM_MOST
        log = Log(era)
    longest: list[m.Message] = [
        m.Here(big, big, era, era, count, count, count, count, members, True),
        m.Found(era, big, [big] * 7),
        m.Accepted(era, big, big, era, count, count),
        m.Stand(era, small, big, count, count, count, False),
        m.Vote(era, big, big, count, True, False),
        m.Chunk(era, small, count, count, count, small, small, small, count, bytes(m.CHUNK_MOST)),
        m.Chunked(era, big, count, count, small, small, count),
        m.Word(era, big, bytes(WORD_MOST)),
    ]
    for message in longest:
        raw = m.encode(message)
        assert len(raw) <= DATAGRAM_MOST
        assert m.decode(raw) == message


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(-1, 9))
def test_no_bytes_raise(raw: bytes, peer: int) -> None:
    core = Core(0, 5, 3, 7, Tape(), QUICK, random.Random(1))
    core.start(0)
    for data in (raw, bytes((m.VERSION,)) + raw):
        core.receive(1, peer, data)


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_no_message_in_form_raises_or_moves_one_that_it_is_not_for(data: st.DataObject) -> None:
    world = tier(3, learners=1)
    target = data.draw(st.integers(0, 3))
    core, now = core_of(world, target), world.processes[target].local(world.time)
    number = st.integers(0, (1 << 48) - 1) | st.integers(0, 9)
    eras = st.sampled_from([core.era, NOWHERE, Era(0, 1), Era((1 << 32) - 1, (1 << 64) - 1)])
    kind = data.draw(
        st.sampled_from([m.Append, m.Stand, m.Chunk, m.Feed, m.Ack, m.Vote, m.Found, m.Accepted])
    )
    one = m.short(core.incarnation) + 1 & 0xFFFFFFFF
    fields = {
        "era": eras,
        "to": st.just(one),
        "log_era": eras,
        "entries": st.just([m.Entry(1, DATA, b"x"), m.Entry(1, CONFIG, b"x")]),
        "incarnations": st.just([1, 2, 3]),
        "pre": st.booleans(),
        "ok": st.booleans(),
        "granted": st.booleans(),
        "in_touch": st.booleans(),
        "data": st.binary(max_size=m.CHUNK_MOST),
        "total": st.integers(0, 300),
        "offset": st.integers(0, 300),
        "crc": st.integers(0, (1 << 32) - 1),
    }
    message = kind(**{name: data.draw(fields.get(name, number)) for name in kind.__struct_fields__})
    before = (core.era, core.term, core.role, core.applied, core.members)
    core.receive(now, data.draw(st.integers(0, 3)), m.encode(message))
    assert (core.era, core.term, core.role, core.applied, core.members) == before


def test_the_future_and_the_foreign_are_counted() -> None:
    core = Core(0, 3, 3, 7, Tape(), QUICK, random.Random(1))
    core.start(0)
    good = m.encode(m.Ask(1))
    core.receive(1, 1, bytes((m.VERSION + 1,)) + good[1:])
    core.receive(1, 3, good)
    core.receive(1, 0, good)
    core.receive(1, 1, good[:-1])
    assert core.counters == {"future": 1, "foreign": 2, "unreadable": 1}


# The log, snapshots, what is kept


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["append", "config", "cut", "compact"]), st.integers(0, 30)), max_size=40
    )
)
def test_the_log_is_a_list_with_a_part_cut_off_in_front(steps: list[tuple[str, int]]) -> None:
    log, model = Log(Era(1, 1)), [m.Entry(0, DATA, b"")]
    for step, number in steps:
        if step == "append":
            entry = m.Entry(number, DATA, b"%d" % number)
            model.append(entry)
            log.append(entry)
        elif step == "config":
            entry = m.Entry(number, CONFIG, members_raw({number % 7: number}))
            model.append(entry)
            log.append(entry)
        elif step == "cut":
            last = max(log.start, len(model) - 1 - number)
            del model[last + 1 :]
            log.cut(last)
        else:
            log.compact(min(log.last, log.start + number))
        assert log.last == len(model) - 1
        assert all(log.term_at(at) == model[at].term for at in range(log.start, len(model)))
        assert log.term_at(log.start - 1) is None and log.term_at(log.last + 1) is None
        configs = [at for at, entry in enumerate(model) if entry.kind == CONFIG]
        assert log.config.index == (configs[-1] if configs else 0)


def test_a_snapshot_in_parts_is_used_only_when_whole() -> None:
    era = Era(1, 1)
    snapshot = Snapshot.of(era, 9, 2, Log().config, bytes(500))
    other = Snapshot.of(era, 9, 2, Log().config, b"\1" * 500)
    assembly = Assembly()
    got = 0
    while got < len(snapshot.raw):
        assert assembly.whole() is None
        assert assembly.add(other.part(1, 1, got + 1, 1)) == 0
        part = snapshot.part(1, 1, got, 1)
        if got:
            for at in range(0, got, m.CHUNK_MOST):
                assembly.add(snapshot.part(1, 1, at, 1))
        got = assembly.add(part)
        assert assembly.add(part) == got
    assert assembly.whole() == snapshot
    assert assembly.whole() is None
    spoilt = dataclasses.replace(snapshot, crc=1)
    for at in range(0, len(snapshot.raw), m.CHUNK_MOST):
        assembly.add(spoilt.part(1, 1, at, 1))
    assert assembly.whole() is None


def test_what_is_kept_must_be_whole_and_ones_own() -> None:
    world = tier(3, lasting=True)
    led(world, range(3))
    whole = dict(world.processes[1].kept)

    def start(kept: dict[bytes, bytes], me: int = 1) -> Core:
        return Core(me, 3, 3, 0, Machines({0: Tape()}), QUICK, random.Random(1), kept)

    assert start(whole).incarnation == core_of(world, 1).incarnation
    with pytest.raises(KeptError, match="peer 1 of 3"):
        start(whole, me=2)
    for key in (keeping.ME, keeping.VOTE, keeping.BASE):
        with pytest.raises(KeptError):
            start(whole | {key: b"\xc1"})
    places = sorted(key for key in whole if key[:1] == b"e")
    assert len(places) > 1
    with pytest.raises(KeptError, match="missing"):
        start({key: value for key, value in whole.items() if key != places[0]})


# Machines and leases


def test_an_entry_for_no_machine_is_counted_and_what_is_dumped_for_none_is_handed_on() -> None:
    first, second = Tape(), Tape()
    both, one = Machines({0: first, 7: second}), Machines({0: Tape()})
    both.apply(1, b"\0a")
    both.apply(2, b"\7b")
    one.load(both.dump())
    one.apply(3, b"\7c")
    one.apply(4, b"")
    assert one.ignored == 2
    assert one.dump() == both.dump()
    both.load(b"")
    assert first.places == second.places == []


ERA = Era(1, 1)
LEASE = 1_000_000


def leases(me: int) -> Leases:
    return Leases(me, 0.01, LEASE, random.Random(me))


def granted(at: int, by: Leases, to: Leases, now: int, index: int, among: list[Leases]) -> bool:
    """`to`, peer `at`, asks `by` at that time, and all learn what was granted."""
    entry = by.entry(now, ERA, at, 7, to.ask(now, 7, "name", LEASE))
    if entry is None:
        return False
    for one in among:
        one.apply(index, entry)
        one.observe(now, ERA)
    return True


def test_a_lease_is_held_by_one_renewed_given_back_and_not_granted_early() -> None:
    leader, a, b = three = [leases(0), leases(1), leases(2)]
    leader.observe(0, ERA)
    wait = 1_010_001
    # An era that began may have lost grants: none for the longest lease.
    assert not granted(1, leader, a, wait - 1, 1, three)
    assert granted(1, leader, a, wait, 1, three)
    assert a.holds(wait + 989_999, "name") and not a.holds(wait + 990_000, "name")
    assert not b.holds(wait, "name")
    assert not granted(2, leader, b, wait + 1_000_000, 2, three)
    assert granted(1, leader, a, wait + 500_000, 3, three)
    assert a.holds(wait + 1_489_999, "name")
    assert not granted(2, leader, b, wait + 1_510_000, 4, three)
    assert granted(2, leader, b, wait + 1_510_001, 5, three)
    assert b.holds(wait + 1_510_001, "name")
    word = b.give_back("name")
    assert word is not None and not b.holds(wait + 1_510_002, "name")
    assert leader.entry(wait + 1_510_003, ERA, 1, 7, word) is None
    assert leader.entry(wait + 1_510_003, ERA, 2, 7, word) == word
    for one in three:
        one.apply(6, word)
    assert granted(1, leader, a, wait + 1_510_004, 7, three)


def test_of_two_grants_that_follow_the_same_lease_one_holds() -> None:
    leader, a, b = three = [leases(0), leases(1), leases(2)]
    leader.observe(0, ERA)
    now = 2 * LEASE
    first = leader.entry(now, ERA, 1, 7, a.ask(now, 7, "name", LEASE))
    second = leader.entry(now, ERA, 2, 7, b.ask(now, 7, "name", LEASE))
    assert first is not None and second is not None
    for one in three:
        one.apply(1, second)
        one.apply(2, first)
    assert b.holds(now, "name") and not a.holds(now, "name")
    assert a.ignored == 1
    assert a.dump() == b.dump()


def test_a_lease_can_not_be_asked_for_another_or_in_bad_form() -> None:
    leader, a = leases(0), leases(1)
    leader.observe(0, ERA)
    now = 2 * LEASE
    assert leader.entry(now, ERA, 2, 7, a.ask(now, 7, "name", LEASE)) is None
    assert leader.entry(now, ERA, 1, 8, a.ask(now, 7, "name", LEASE)) is None
    assert leader.entry(now, ERA, 1, 7, b"\xc1") is None
    for name, lease_us in (("", LEASE), ("n" * 65, LEASE), ("name", 0), ("name", LEASE + 1)):
        with pytest.raises(EntryError):
            a.ask(now, 7, name, lease_us)
    for raw in (b"", b"\xc1", b"\x93\x02\xa4name\x05"):
        leader.apply(1, raw)
    assert leader.dump() == leases(0).dump()


def test_the_checker_names_the_invariant_and_the_seed() -> None:
    world = tier(3, seed=42)
    tape = world.processes[1].tape
    tape.places[-1] = (tape.places[-1][0], 0)
    leader = led(world, range(3)).me
    with pytest.raises(BrokenError, match="one order: seed 42") as broken:
        world.propose(leader, b"x")
        world.run_for(SECOND)
    assert (broken.value.name, broken.value.seed) == ("one order", 42)
