"""Upkeep: its table of states, its rules, the hard cases, its calls, and the step where lists change."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import msgspec
import pytest

from laurelstep.accord.errors import BusyError, NotLeadingError
from laurelstep.accord.machines import Machines
from laurelstep.engine import Answer, Call, Ending, Engine, Names, endpoint_number
from laurelstep.engine.call import Attempt
from laurelstep.engine.flow import Flow
from laurelstep.engine.given import GivenMembers
from laurelstep.errors import LaurelstepError
from laurelstep.interface import OK, RequestClass, Settings
from laurelstep.lifecycle import Lifecycle
from laurelstep.management.calls import Reply, reply_to
from laurelstep.upkeep.assembly import carried
from laurelstep.upkeep.calls import METHODS, reply_about
from laurelstep.upkeep.desk import UpkeepDesk
from laurelstep.upkeep.entries import (
    KIND,
    Ask,
    Confirm,
    End,
    Here,
    Leave,
    Step,
    fits,
    pack,
    unpack_entry,
    unpack_word,
)
from laurelstep.upkeep.keeper import ASK_US, ASKS_MOST
from laurelstep.upkeep.members import MemberTable, read_member
from laurelstep.upkeep.options import UpkeepSettings
from laurelstep.upkeep.roll import OUT_MOST, Roll, SnapshotError
from laurelstep.upkeep.source import SHORT, UpkeepSource
from laurelstep.upkeep.states import CLEARED, HELD, MOVES, OUT, State, move
from laurelstep.upkeep.wishes import (
    ENTRY_MOST,
    WISHES_MOST,
    ContradictionError,
    CutOffError,
    FitError,
    LimitError,
    ManyError,
    NeverError,
    OrderError,
    UnknownMachineError,
    UnknownPeerError,
    UnknownWishError,
    UpkeepError,
    Wish,
    WishError,
    read_wish,
)
from tests.fakes import Answers, ManualClock, PlayedUpstream, entry
from tests.upkeeping import COLD_US, GRACE_US, SECOND, Copy, Inner, PlayedEngine, Tier, line, wish_of

MACHINES = [line(f"m{n}", "ab"[n % 2]) for n in range(6)]


def tier(count: int = 3, machines: Any = MACHINES, **settings: Any) -> Tier:
    one = Tier(count, machines, UpkeepSettings(**settings))
    one.settle(2)
    return one


def out(one: Tier, count: int = 1) -> list[str]:
    """The machines that are clear."""
    found = [id for id, state in one.states().items() if state == "clear"]
    assert len(found) == count, one.states()
    return found


# --- The table of states --------------------------------------------------------------------


def agree(roll: Roll, index: int, entry: Any) -> None:
    """As the record hands it on, without the byte that says whose it is."""
    roll.apply(index, pack(entry)[1:])


def held(state: State) -> Roll:
    """A roll with one machine in this state."""
    roll = Roll()
    ways: dict[State, list[Any]] = {
        State.LEAVING: [],
        State.CLEAR: ["clear"],
        State.AT_WORK: ["clear", "begin"],
        State.OVERDUE: ["clear", "overdue"],
        State.RETURNING: ["clear", "done"],
    }
    agree(roll, 1, Ask(0, 5, 1, "wish", wish_of(zone="a")))
    agree(roll, 2, leave(roll))
    for event in ways[state]:
        tell(roll, event)
    assert roll.machines["m0"].state == state
    return roll


def leave(roll: Roll, id: str = "m0", **more: Any) -> Leave:
    facts: dict[str, Any] = {
        "base": roll.changed, "wish": next(iter(roll.wishes)), "id": id, "zone": "a", "cell": 1,
        "weight": 1.0, "started_ms": 1, "ready": 6, "ready_weight": 6.0, "listed_weight": 6.0,
        "away": (0, 0, 0), "cold_share": 0.2, **more,
    }  # fmt: skip
    return Leave(**facts)


def tell(roll: Roll, event: str) -> None:
    """One event to the machine, as it comes in the record."""
    index = roll.index + 1
    if event in ("begin", "done"):
        number = roll.asked[0].number + 1
        agree(roll, index, Ask(0, 5, number, event, "m0"))
    elif event == "withdraw":
        number = roll.asked[0].number + 1
        agree(roll, index, Ask(0, 5, number, "withdraw", "w"))
    elif event == "leave":
        agree(roll, index, leave(roll))
    else:
        since = roll.machines["m0"].since if "m0" in roll.machines else 2
        agree(roll, index, Step("m0", since, event, "why"))


def test_a_copy_with_upkeep_off_that_leads_forgets_no_wish() -> None:
    """Its snapshot is all that a copy which fell behind gets."""
    off, behind = Machines(carried()), Roll()
    off.apply(1, pack(Ask(0, 5, 1, "wish", wish_of(zone="a"))))
    off.apply(2, pack(Here(1, 7)))
    Machines({KIND[0]: behind}).load(off.dump())
    assert [one.wish.name for one in behind.wishes.values()] == ["w"] and behind.here == {1: 7}


EVENTS = sorted({event for event, _ in MOVES} - {"agree"})


@pytest.mark.parametrize(("state", "event"), itertools.product(sorted(OUT), EVENTS))
def test_each_state_moves_as_the_table_says(state: State, event: str) -> None:
    roll = held(state)
    before = roll.machines["m0"].since
    tell(roll, event)
    after = move(event, state)
    machine = roll.machines.get("m0")
    if after is None or after == state:
        assert machine is not None and (machine.state, machine.since) == (state, before)
    elif after in OUT:
        assert machine is not None and (machine.state, machine.since) == (after, roll.index)
    else:
        assert machine is None
        assert roll.was_done("m0") == (event in ("back", "drop"))


def test_what_is_wished_waits_until_it_leaves_or_is_withdrawn() -> None:
    assert move("agree", State.WISHED) == State.WAITING
    assert move("leave", State.WAITING) == State.LEAVING
    assert {move("withdraw", state) for state in (State.WISHED, State.WAITING)} == {State.WITHDRAWN}
    assert CLEARED < HELD < OUT and State.RETURNING not in HELD


# --- The roll -------------------------------------------------------------------------------


def test_an_entry_that_can_not_be_read_is_counted_and_nothing_else() -> None:
    roll = Roll()
    before = roll.dump()
    good = pack(Here(1, 7))
    for bad in (
        b"",
        KIND,
        b"x" + good[1:],
        good[:-1],
        KIND + b"\xc1",
        good + b"x" * ENTRY_MOST,
        b"u\x91\x63",
    ):
        roll.apply(0, bad)
        assert unpack_word(bad) is None
    assert roll.dump() == before and roll.unread == 7


def test_fields_of_a_later_version_are_passed_over() -> None:
    raw = msgspec.msgpack.decode(pack(Here(1, 7))[1:])
    assert unpack_entry(msgspec.msgpack.encode([*raw, "more"])) == Here(1, 7)


def test_the_same_entries_make_the_same_roll_also_by_a_snapshot() -> None:
    roll, other = held(State.AT_WORK), Roll()
    other.load(roll.dump())
    for one in (roll, other):
        agree(one, 20, Here(2, 9))
        agree(one, 21, Ask(0, 5, 9, "done", "m0"))
    assert roll.dump() == other.dump() and other.machines["m0"].state == State.RETURNING
    other.load(b"")
    assert other.dump() == Roll().dump()
    with pytest.raises(SnapshotError):
        roll.load(b"what?")
    assert roll.machines["m0"].state == State.RETURNING


def test_limits_are_checked_where_entries_are_applied() -> None:
    roll = held(State.LEAVING)
    for facts in (
        {},
        {"base": 1},
        {"ready": 1},
        {"weight": float("nan")},
        {"wish": 77},
        {"away": (0, 0, -1)},
    ):
        agree(roll, roll.index + 1, leave(roll, "m2", **facts))
    assert list(roll.machines) == ["m0"] and roll.ignored == 6


def test_one_asking_is_done_once_also_when_it_comes_again_late() -> None:
    roll = Roll()
    ask = Ask(0, 5, 1, "wish", wish_of(zone="a"))
    agree(roll, 1, ask)
    agree(roll, 2, Ask(0, 5, 2, "withdraw", "w"))
    agree(roll, 3, ask)
    assert not roll.wishes and roll.past[0].withdrawn


@pytest.mark.parametrize(
    ("verb", "what", "verdict"),
    [
        ("wish", wish_of(zone="b"), "ContradictionError"),
        ("wish", wish_of("x", out=0, zone="b"), "LimitError"),
        ("wish", wish_of("x", share=1.5, zone="b"), "LimitError"),
        ("withdraw", "x", "UnknownWishError"),
        ("begin", "m0", "OrderError"),
        ("done", "m9", "OrderError"),
        ("absent", 3, "OrderError"),
        ("what", "x", "WishError"),
    ],
)
def test_what_does_not_hold_when_it_is_agreed_changes_nothing_but_the_verdict(
    verb: str, what: Any, verdict: str
) -> None:
    roll = held(State.LEAVING)
    roll.here[3] = 11
    machines, wishes = msgspec.to_builtins(roll.machines), len(roll.wishes)
    agree(roll, 9, Ask(0, 5, 9, verb, what))
    assert roll.asked[0].verdict == verdict
    assert (msgspec.to_builtins(roll.machines), len(roll.wishes), roll.absent) == (machines, wishes, set())


def test_the_roll_is_bounded() -> None:
    roll = Roll()
    for n in range(3 * WISHES_MOST):
        agree(roll, n + 1, Ask(0, 5, n + 1, "wish", wish_of(f"w{n}", out=1000, zone="a")))
    assert len(roll.wishes) == WISHES_MOST and roll.asked[0].verdict == "ManyError"
    for n in range(OUT_MOST + 5):
        agree(roll, 1000 + n, leave(roll, f"m{n}", listed_weight=2000.0, ready_weight=2000.0))
    assert len(roll.machines) == OUT_MOST
    agree(roll, 5000, Here(5000, 1))
    assert 5000 not in roll.here


def test_a_late_end_or_step_is_for_another_roll() -> None:
    roll = held(State.RETURNING)
    number, base = next(iter(roll.wishes)), roll.changed
    agree(roll, 10, End(base, number))
    assert number in roll.wishes, "it has a machine out"
    since = roll.machines["m0"].since
    agree(roll, 11, Step("m0", since - 1, "back"))
    assert "m0" in roll.machines
    agree(roll, 12, Step("m0", since, "back"))
    agree(roll, 13, End(base, number))
    assert number in roll.wishes
    agree(roll, 14, End(roll.changed, number))
    assert not roll.wishes and roll.past[0].machines == 1


# --- Wishes ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("told", "error"),
    [
        ({}, WishError),
        ({"name": ["w"]}, WishError),
        ({"name": ["a b"], "zone": ["a"]}, WishError),
        ({"name": ["w" * 25], "zone": ["a"]}, WishError),
        ({"name": ["w", "v"], "zone": ["a"]}, WishError),
        ({"name": ["w"], "zone": ["a"], "oout": ["1"]}, WishError),
        ({"name": ["w"], "zone": ["a"], "per": ["rack"]}, WishError),
        ({"name": ["w"], "cell": ["x"]}, WishError),
        ({"name": ["w"], "zone": ["a"], "out": ["0"]}, LimitError),
        ({"name": ["w"], "zone": ["a"], "out": ["-3"]}, LimitError),
        ({"name": ["w"], "zone": ["a"], "out": ["many"]}, LimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["1.01"]}, LimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["nan"]}, LimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["half"]}, LimitError),
        ({"name": ["w"], "zone": ["a"], "overdue_s": ["0"]}, LimitError),
        ({"name": ["w"], "address": ["127.0.0.1:1"]}, UnknownMachineError),
    ],
)
def test_a_bad_wish_has_an_error_of_its_own(told: dict[str, list[str]], error: type[UpkeepError]) -> None:
    with pytest.raises(error):
        read_wish(told, {})


def test_a_wish_is_read() -> None:
    told = {
        "name": ["disk"], "id": ["m2", "m1", "m2"], "address": ["h:1"], "zone": ["a"], "cell": ["4"],
        "kind": ["small"], "out": ["2"], "per": ["zone"], "share": ["0.7"], "overdue_s": ["60"],
    }  # fmt: skip
    wish = read_wish(told, {"h:1": "m9"})
    assert wish == wish_of(
        "disk", 2, "zone", 0.7, ids=("m1", "m2", "m9"), zone="a", cell=4, kind="small", overdue_s=60
    )
    assert unpack_entry(pack(Ask(1, 2, 3, "wish", wish))[1:]) == Ask(1, 2, 3, "wish", wish)


def test_every_error_says_its_cause_and_a_remedy() -> None:
    for error in (SnapshotError, *UpkeepError.__subclasses__()):
        assert issubclass(error, LaurelstepError)
        assert {"cause", "remedy"} <= vars(error).keys(), error
        assert "\n" not in error.cause + error.remedy


# --- The way of a machine -------------------------------------------------------------------


def test_a_machine_goes_out_and_comes_back_and_then_the_next() -> None:
    one = tier()
    asked = one.copies[1].desk.wish(wish_of(zone="a"))
    assert asked is not None and asked.said == "wished"
    one.settle()
    assert asked.said == "agreed"
    (id,) = out(one)
    assert id == "m0", "by zone, cell and id"
    assert all(id not in copy.engine.ready for copy in one.copies)
    one.copies[2].desk.work("begin", id)
    one.settle(1)
    assert one.state(id) == "at work"
    one.copies[0].desk.work("done", id)
    one.settle(1)
    assert one.state(id) == "returning"
    wall = one.clock.wall() // 1000
    for copy in one.copies:
        assert wall - 2000 <= copy.engine.ready[id] <= wall, "as one that has just started"
    one.settle(COLD_US / SECOND + 2)
    assert out(one) == ["m2"]


def test_it_is_not_clear_before_every_copy_is_quiet() -> None:
    one = tier()
    one.copies[2].engine.out["m0"] = 1
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle()
    (told,) = one.copies[0].desk.status()["machines"]
    assert told["state"] == "leaving" and told["missing"] == [2] and told["quiet_here"]
    one.copies[2].engine.out["m0"] = 0
    one.settle()
    assert out(one) == ["m0"]


def test_a_copy_that_never_heard_of_it_keeps_it_from_clear_until_somebody_says_absent() -> None:
    one = tier()
    one.copies[2].cut = True
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(30)
    assert one.state("m0") == "leaving", "no time-out"
    one.copies[2].die()
    with pytest.raises(UnknownPeerError):
        one.copies[1].desk.absent(3)
    with pytest.raises(UnknownPeerError):
        one.copies[1].desk.absent(1)
    one.copies[1].desk.absent(2)
    one.settle()
    assert out(one) == ["m0"] and one.roll.absent == {2}
    back = one.restart(2)
    one.settle()
    assert one.roll.absent == set() and "m0" not in back.engine.ready
    assert one.copies[1].desk.absent(0) is not None


def test_absent_is_for_the_process_that_was_meant() -> None:
    """It has come back before the word was agreed: nothing is declared."""
    one = tier()
    one.copies[2].die()
    one.copies[1].desk.absent(2)
    one.copies[1].keeper.look()
    late, one.words = one.words, []
    one.restart(2)
    one.settle()
    one.words = late
    one.settle(1)
    (asked,) = one.copies[1].desk.status()["asked"]
    assert one.roll.absent == set() and asked["state"] == "OrderError"


def test_a_word_that_is_told_late_does_not_hit_the_next_time() -> None:
    """Two copies are told that a machine is done, one of them in vain: it is out again by then."""
    one = tier()
    one.copies[0].desk.wish(wish_of("first", ids=("m0",)))
    one.settle()
    assert out(one) == ["m0"]
    one.copies[1].desk.work("done", "m0")
    one.copies[1].keeper.look()
    late, one.words = one.words, []
    one.copies[1].keeper.asked[0].told_at = one.clock.now() + 60 * SECOND  # the repeats are lost
    one.copies[2].desk.work("done", "m0")
    one.settle(COLD_US / SECOND + 1)
    assert not one.roll.machines and not one.roll.wishes
    one.copies[0].desk.wish(wish_of("second", ids=("m0",)))
    one.settle()
    assert out(one) == ["m0"]
    one.words = late
    one.settle(1)
    assert out(one) == ["m0"] and one.roll.asked[1].verdict == "OrderError"


def test_a_wish_withdrawn_late_is_not_the_next_one_of_its_name() -> None:
    roll = held(State.RETURNING)
    first = next(iter(roll.wishes))
    agree(roll, 20, Ask(1, 6, 1, "withdraw", "w", first))
    tell(roll, "back")
    agree(roll, 22, Ask(0, 5, 30, "wish", wish_of(zone="a")))
    agree(roll, 23, Ask(1, 6, 2, "withdraw", "w", first))
    assert list(roll.wishes) == [22] and roll.asked[1].verdict == "UnknownWishError"
    agree(roll, 24, Ask(1, 6, 3, "withdraw", "w", 22))
    assert not roll.wishes


def test_an_absent_copy_that_was_only_cut_off_ends_it() -> None:
    one = tier()
    one.copies[2].cut = True
    one.copies[0].desk.absent(2)
    one.settle(1)
    assert one.roll.absent == {2}
    one.copies[2].cut = False
    one.settle(2)
    assert one.roll.absent == set()


def test_a_copy_sends_nothing_before_it_knows_the_record() -> None:
    one = Tier(2, MACHINES)
    one.copies[0].hear()
    for _ in range(50):
        one.copies[0].keeper.look()
        one.clock.advance(SECOND)
    assert not one.copies[0].engine.ready and not one.copies[0].opened
    one.settle()
    ready, opened = len(one.copies[0].engine.ready), one.copies[0].opened
    assert (ready, opened) == (6, 1)


def test_a_copy_that_serves_alone_says_so_and_keeps_machines_from_clear() -> None:
    one = tier(start_alone="serve", learn_us=2 * SECOND)
    one.copies[1].engine.out["m0"] = 1
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(1)
    alone = one.restart(2)
    alone.learns = False
    one.settle(4)
    assert len(alone.engine.ready) == 6 and alone.opened == 1
    assert alone.desk.status()["serving_alone"] and "a clear may be untrue" in alone.logged[0]
    one.copies[1].engine.out["m0"] = 0
    one.settle(10)
    assert one.state("m0") == "leaving", "what it confirmed in an earlier life does not count"
    alone.learns = True
    one.settle()
    assert out(one) == ["m0"] and "m0" not in alone.engine.ready


def test_one_that_was_declared_absent_and_serves_alone_keeps_machines_from_clear() -> None:
    """Somebody saw it dead; it has come again since, sends, and says so."""
    one = tier(start_alone="serve", learn_us=2 * SECOND)
    one.copies[2].die()
    one.copies[1].desk.absent(2)
    one.settle(1)
    alone = one.restart(2)
    alone.learns = False
    one.settle(3)
    one.copies[1].desk.wish(wish_of(zone="a"))
    one.settle(12)
    assert one.roll.absent == {2} and one.state("m0") == "leaving"
    one.restart(2)
    one.settle(10)
    assert one.roll.absent == set() and out(one) == ["m0"]


def test_a_word_of_an_earlier_life_that_comes_late_is_passed_over() -> None:
    one = tier()
    before = one.copies[2].incarnation
    one.restart(2)
    one.settle(1)
    heard = one.copies[0].keeper.confirmations
    heard.hear(2, before, 10**6)
    assert heard.quiet.get(2, (0, 0))[0] != before
    one.roll.here[2] = before  # a late word had it agreed: it is taken again
    heard.follow(one.roll)
    heard.hear(2, before, 10**6)
    assert heard.quiet[2] == (before, 10**6)


def test_a_copy_that_is_cut_off_holds_what_it_knows_and_takes_nobody_out() -> None:
    one = tier()
    one.copies[0].desk.wish(wish_of(out=2, zone="a"))
    one.settle()
    cut = one.copies[2]
    cut.cut = True
    for id in out(one, 2):
        one.copies[0].desk.work("done", id)
    one.settle(6)
    assert "m0" in one.copies[1].engine.ready
    assert cut.engine.ready.keys() == {"m1", "m3", "m4", "m5"}, "held until the record says otherwise"
    assert one.state("m4") == "leaving"
    with pytest.raises(CutOffError):
        cut.desk.wish(wish_of("other", zone="b"))
    one.list_as(line("m7"), line("m1", "b", "draining"))
    cut.hear()
    assert cut.engine.ready.keys() == {"m3", "m4", "m5", "m7"}, "it goes on by discovery's list"
    cut.cut = False
    one.settle()
    assert out(one) == ["m4"]


def test_a_copy_that_is_cut_off_does_not_say_that_what_it_remembers_still_is() -> None:
    one = tier(3, MACHINES)
    first, last = one.copies[0], one.copies[2]
    wish = wish_of(ids=("m0",))
    first.desk.wish(wish)
    one.settle()
    first.desk.work("begin", "m0")
    one.settle()
    assert last.desk.work("begin", "m0") is None and last.desk.wish(wish) is None
    last.cut = True
    first.desk.work("done", "m0")
    one.settle()
    assert one.state("m0") != "at work" and last.roll.machines["m0"].state == "at work"
    with pytest.raises(CutOffError):
        last.desk.work("begin", "m0")
    with pytest.raises(CutOffError):
        last.desk.wish(wish)


def test_a_record_that_is_learned_anew_lets_nothing_go() -> None:
    """A process that has to come again as another member has an empty roll for a while."""
    one = tier()
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle()
    again = one.copies[2]
    again.roll.load(b"")
    again.applied, again.known, again.cut = 0, False, True
    one.incarnations += 1
    again.incarnation = one.incarnations
    one.settle()
    assert "m0" not in again.engine.ready and again.source.quiet() == -1
    again.cut = False
    one.settle()
    assert one.roll.here[2] == again.incarnation and out(one) == ["m0"]
    assert "m0" not in again.engine.ready and again.source.quiet() >= one.roll.machines["m0"].left


def test_during_a_handover_the_new_process_confirms_nothing() -> None:
    one = tier()
    one.copies[2].keeper.may_confirm = lambda: False
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(10)
    assert one.state("m0") == "leaving"
    one.copies[2].keeper.may_confirm = lambda: True
    one.settle()
    assert out(one) == ["m0"]


# --- Hard cases -----------------------------------------------------------------------------


def test_the_sidecar_of_a_machine_dies_while_it_is_at_work() -> None:
    """Its copy comes again from nothing, and sends nothing to it."""
    one = tier()
    one.copies[2].desk.wish(wish_of(zone="a"))
    one.settle()
    one.copies[2].desk.work("begin", "m0")
    one.settle(1)
    one.copies[2].die()
    one.settle(1)
    back = one.restart(2)
    assert not back.engine.ready
    one.settle()
    assert one.state("m0") == "at work" and "m0" not in back.engine.ready and len(back.engine.ready) == 5
    back.desk.work("done", "m0")
    one.settle(1)
    assert one.state("m0") == "returning" and "m0" in back.engine.ready


def test_a_wish_withdrawn_while_half_have_confirmed() -> None:
    one = tier(4)
    for copy in one.copies[2:]:
        copy.engine.out["m0"] = 1
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle()
    missing = one.copies[0].keeper.confirmations.missing(one.roll.machines["m0"].left, one.roll, 4)
    assert missing == [2, 3]
    one.copies[3].desk.withdraw("w")
    one.settle()
    assert not one.roll.wishes and not one.roll.machines
    for copy in one.copies:
        assert copy.engine.ready["m0"] == 1000, "as it was: it never stopped"
    assert one.copies[1].desk.withdraw("w") is None, "asked twice, it says yes twice"


def test_a_withdrawn_wish_waits_for_who_is_at_work() -> None:
    one = tier()
    one.copies[0].desk.wish(wish_of(zone="a", out=2))
    one.settle()
    one.copies[0].desk.work("begin", "m0")
    one.settle(1)
    one.copies[0].desk.withdraw("w")
    one.settle()
    assert one.states() == {"m0": "at work"} and "m2" in one.copies[1].engine.ready
    assert one.copies[0].desk.status()["wishes"][0]["state"] == "withdrawn"
    one.copies[0].desk.work("done", "m0")
    one.settle(COLD_US / SECOND + 2)
    assert not one.roll.wishes and one.copies[0].desk.status()["past"][0]["withdrawn"]


@pytest.mark.parametrize(
    ("phase", "started_ms", "why"),
    [("gone", 1000, "gone"), ("draining", 1000, "drained by discovery"), ("ready", 9000, "replaced")],
)
def test_discovery_takes_the_machine_that_leaves(phase: str, started_ms: int, why: str) -> None:
    one = tier()
    one.copies[1].engine.out["m0"] = 1
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(1)
    assert one.state("m0") == "leaving"
    one.list_as(line("m0", "a", phase, started_ms))
    one.settle(4)
    assert "m0" not in one.roll.machines
    assert one.roll.wishes and next(iter(one.roll.wishes.values())).dropped == [("m0", why)]
    for copy in one.copies:
        assert ("m0" in copy.engine.ready) == (phase == "ready"), "discovery wins"
    if phase == "draining":  # it is out as well, by discovery's word
        assert not one.states()
    else:
        assert out(one) == ["m2"], "the next goes"


@pytest.mark.parametrize("phase", ["gone", "draining", "replaced"])
def test_a_machine_at_work_may_go_and_come_and_stays_out(phase: str) -> None:
    one = tier()
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle()
    one.copies[0].desk.work("begin", "m0")
    one.settle(1)
    one.list_as(line("m0", "a", "ready" if phase == "replaced" else phase, 9000))
    one.settle(2)
    assert one.state("m0") == "at work"
    one.list_as(line("m0", "a", started_ms=9000))
    one.settle(1)
    assert all("m0" not in copy.engine.ready for copy in one.copies)
    one.copies[0].desk.work("done", "m0")
    one.settle(1)
    assert all("m0" in copy.engine.ready for copy in one.copies)


def test_two_zones_wished_at_once_with_room_for_one() -> None:
    one = tier()
    one.copies[1].desk.wish(wish_of("b-first", 1, "tier", zone="b"))
    one.copies[2].desk.wish(wish_of("a-then", 1, "tier", zone="a"))
    one.settle()
    (id,) = out(one)
    first = min(one.roll.wishes.values(), key=lambda wish: wish.number)
    assert first.wish.zone == one.list[id]["zone"], "the order of the record"
    told = one.copies[0].desk.status()["wishes"]
    assert all("out 1 per tier: 1 out in the tier" in wish["kept_by"] for wish in told)
    assert not any(wish["never"] for wish in told)
    done: list[str] = []
    for _ in range(6):
        (id,) = out(one)
        done.append(id)
        one.copies[0].desk.work("done", id)
        one.settle(COLD_US / SECOND + 3)
    zones = [one.list[id]["zone"] for id in done]
    assert sorted(zones, key=zones.index) == zones and not one.roll.wishes


def test_a_wish_that_can_never_hold_is_told_with_the_constraint() -> None:
    one = tier()
    with pytest.raises(NeverError, match=r"share 0\.9: 0\.833 would stay"):
        one.copies[1].desk.wish(wish_of(share=0.9, zone="a"))
    one.copies[1].desk.wish(wish_of("strict", share=0.8, zone="b"))
    one.copies[1].desk.wish(wish_of("wide", out=3, share=0.2, zone="a"))
    one.settle()
    one.list_as(line("m5", "b", "gone"), line("m4", "a", "gone"))  # four are left: a quarter each
    one.settle(2)
    (id,) = out(one)
    one.copies[0].desk.work("done", id)
    one.settle(COLD_US / SECOND + 2)
    told = {wish["name"]: wish for wish in one.copies[0].desk.status()["wishes"]}
    assert told["strict"]["never"] and "share 0.8" in told["strict"]["kept_by"]
    assert told["wide"]["never"] and "(wish strict)" in told["wide"]["kept_by"]
    one.copies[0].desk.withdraw("strict")
    one.settle()
    assert len(out(one, 2)) == 2


def test_a_release_replaces_all_sidecars_while_three_wishes_are_under_way() -> None:
    one = tier(4)
    for name, zone in (("disk", "a"), ("kernel", "b")):
        one.copies[0].desk.wish(wish_of(name, 2, zone=zone))
    one.copies[0].desk.wish(wish_of("release", 2, kind="small"))
    one.settle()
    first, second = out(one, 2)
    one.copies[0].desk.work("begin", first)
    for me in (3, 2, 1, 0):
        one.settle(1)
        old = set(one.copies[me].engine.ready)
        one.leaders = {(me + 1) % 4}
        new = one.restart(me)
        assert not new.engine.ready
        one.settle(2)
        assert new.engine.ready.keys() == old, "what is out stays out"
    assert one.states() == {first: "at work", second: "clear"}
    one.leaders = {0}
    finish(one)
    assert [past.machines for past in sorted(one.roll.past, key=lambda past: past.name)] == [3, 3, 6]


def finish(one: Tier, rounds: int = 60) -> None:
    """Staff works until all wishes are over."""
    for _ in range(rounds):
        for id, state in one.states().items():
            if state in ("clear", "at work", "overdue"):
                one.alive[0].desk.work("done", id)
        one.settle(COLD_US / SECOND + 1)
        if not one.roll.wishes:
            return
    raise AssertionError(one.states())


def test_lists_of_different_age_at_the_copies() -> None:
    """One does not know the machine, one has it draining, one would be left with none."""
    one = Tier(4, MACHINES)
    one.copies[1].source.listed(1, True, MACHINES[1:])
    one.copies[2].source.listed(1, True, [line("m0", "a", "draining"), *MACHINES[1:]])
    one.copies[3].source.listed(1, True, [MACHINES[0]])
    for copy in one.copies[1:]:
        copy.list_version = 10**6
    one.settle(2)
    one.copies[0].desk.wish(wish_of(ids=("m0",)))
    one.settle()
    assert one.state("m0") == "leaving" and one.copies[3].engine.ready.keys() == {"m0"}
    assert one.copies[0].desk.status()["machines"][0]["missing"] == [3], "the last one is never taken"
    for copy in one.copies[1:]:
        copy.list_version = -1
    one.settle()
    assert out(one) == ["m0"] and all("m0" not in copy.engine.ready for copy in one.copies)


def test_whoever_leads_with_an_older_list_ends_no_wish() -> None:
    one = tier()
    one.copies[0].list_version = 10**6
    one.list_as(line("m9", "z"), line("m8", "y"))
    one.settle(1)
    one.copies[1].desk.wish(wish_of("by-id", ids=("m9",)))
    one.copies[1].desk.wish(wish_of("by-zone", out=2, zone="y"))
    one.settle()
    told = {wish["name"]: wish["kept_by"] for wish in one.copies[0].desk.status()["wishes"]}
    assert told == {"by-id": "m9: not listed", "by-zone": "no machine that is listed"}
    one.copies[0].list_version = -1
    one.settle()
    assert out(one) == ["m9"]


def test_a_new_leader_with_an_older_list_drops_nothing_at_once() -> None:
    one = tier()
    one.copies[1].engine.out["m0"] = 1
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(1)
    one.list_as(line("m0", phase="gone"))
    one.restart(2)
    one.leaders = {2}
    one.settle(1)
    one.list_as(line("m0"))
    one.settle(4)
    assert one.states() == {"m0": "leaving"}


def test_a_status_looks_once_at_what_is_out_at_each_machine() -> None:
    one = tier(1, [line(f"m{n}") for n in range(40)])
    copy = one.copies[0]
    copy.engine.out.update(f"m{n}" for n in range(40))
    copy.desk.wish(wish_of(out=30, kind="small", zone="a"))
    one.settle(6.0)
    assert len(one.roll.machines) == 30
    looks: list[int] = []
    copy.source.out_at = lambda endpoint: looks.append(endpoint) or 1  # type: ignore[func-returns-value]
    assert not any(told["quiet_here"] for told in copy.desk.status()["machines"])
    assert len(looks) == 30


def test_two_hundred_copies() -> None:
    one = Tier(200, [line(f"m{n}", "ab"[n % 2]) for n in range(10)])
    one.settle(1)
    assert len(one.roll.here) == 200
    one.words.clear()
    one.settle(1)
    assert not one.words, "none at rest"
    one.copies[150].desk.wish(wish_of(out=2, per="zone", zone="a"))
    one.settle(2)
    assert out(one, 2) == ["m0", "m2"]
    assert one.copies[0].keeper.confirmations.missing(one.roll.machines["m2"].left, one.roll, 200) == []


def test_a_machine_that_never_comes_back_is_overdue_and_counts() -> None:
    one = tier(overdue_us=10 * SECOND)
    one.copies[0].desk.wish(wish_of("one", 1, zone="a"))
    one.settle()
    one.copies[0].desk.work("begin", "m0")
    one.settle(12)
    assert one.states() == {"m0": "overdue"}, "the next does not go: one is out"
    assert one.copies[0].logged == ["upkeep: m0: overdue"]
    one.copies[0].desk.withdraw("one")
    one.settle(1)
    one.copies[0].desk.wish(wish_of("two", 2, ids=("m2", "m4")))
    one.settle(2)
    assert one.states() == {"m0": "overdue", "m2": "clear"}, "with room for two the next goes"
    one.copies[0].desk.work("done", "m0")
    one.settle(COLD_US / SECOND + 2)
    assert "m0" not in one.states()


def test_a_wish_has_its_own_time_until_overdue() -> None:
    one = tier(overdue_us=3600 * SECOND)
    one.copies[0].desk.wish(wish_of(zone="a", overdue_s=5))
    one.settle(9)
    assert one.states() == {"m0": "overdue"}, "clear, and nobody began"


def test_all_processes_killed_between_leaving_and_clear() -> None:
    """With a lasting record it goes on; without, nothing is out and nothing was clear."""
    for lasting in (True, False):
        one = tier()
        one.copies[1].engine.out["m0"] = 1
        one.copies[0].desk.wish(wish_of(zone="a"))
        one.settle(1)
        assert one.state("m0") == "leaving"
        for copy in one.copies:
            copy.die()
        if not lasting:
            one.log.clear()
            one.machines.load(b"")
            one.era = 2
        for me in range(3):
            one.restart(me)
        one.leaders = {1}
        one.settle()
        assert one.states() == ({"m0": "clear"} if lasting else {})
        assert all(("m0" in copy.engine.ready) is not lasting for copy in one.copies)


def test_a_record_founded_anew_says_what_it_forgot() -> None:
    """One without a seat lives on, and held back what those that decided have all forgotten."""
    one = tier()
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle()
    last = one.copies[2]
    one.log.clear()
    one.machines.load(b"")
    one.era, last.applied = 2, 0
    for me in range(2):
        one.restart(me)
    one.leaders = {0}
    last.roll.load(b"")
    one.settle()
    assert last.logged == ["upkeep: the record was founded anew and forgot what is out: m0"]
    assert "m0" in last.engine.ready


def test_the_last_ready_machines_stay() -> None:
    one = tier(machines=[line("m0"), line("m1")])
    one.copies[0].desk.wish(wish_of(out=2, zone="a"))
    one.settle()
    assert out(one) == ["m0"]
    assert one.copies[0].desk.status()["wishes"][0]["kept_by"] == "m1: last: 1 ready in the tier"


def test_a_machine_that_leaves_is_spared_when_all_others_go() -> None:
    one = tier(machines=[line("m0"), line("m1")])
    one.copies[1].engine.out["m0"] = 1
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(1)
    assert one.state("m0") == "leaving"
    one.list_as(line("m1", phase="gone"))
    one.settle(2)
    assert not one.states() and all(copy.engine.ready.keys() == {"m0"} for copy in one.copies)
    assert one.roll.wishes, "its turn comes again"


def test_what_discovery_drains_counts_as_out() -> None:
    one = tier()
    one.list_as(line("m2", "a", "draining"))
    one.settle(1)
    one.copies[0].desk.wish(wish_of(per="zone", zone="a"))
    one.settle()
    assert not one.states()
    assert "out 1 per zone: 1 out in zone a" in one.copies[0].desk.status()["wishes"][0]["kept_by"]


def test_cells_and_cold_ones_count() -> None:
    machines = [line(f"m{n}", "a", cell=n // 2) for n in range(4)]
    one = tier(machines=machines)
    one.copies[0].desk.wish(wish_of(per="cell", share=0.5, zone="a"))
    one.settle()
    assert set(out(one, 2)) == {"m0", "m2"}, "one of each cell"
    one.copies[0].desk.work("done", "m0")
    one.settle(1)
    assert "m1" not in one.states(), "the one that is back is cold"
    assert one.copies[0].desk.status()["wishes"][0]["kept_by"].startswith("m1: ")


# --- What is asked at a copy ------------------------------------------------------------------


def test_words_that_are_lost_are_told_again_and_given_up_in_the_end() -> None:
    one = tier()
    asked = one.copies[1].desk.wish(wish_of(zone="a"))
    assert asked is not None
    one.copies[1].keeper.look()
    one.words.clear()
    one.settle()
    assert asked.said == "agreed"
    one.leaders.clear()
    lost = one.copies[1].desk.withdraw("w")
    assert lost is not None and one.copies[1].desk.withdraw("w") is lost, "the same asking"
    one.settle(ASK_US / SECOND + 2)
    assert lost.said == "lost" and "ask again" in one.copies[1].logged[-1]


def test_a_version_that_follows_asks_on_from_the_number_of_the_one_before() -> None:
    one = tier()
    one.copies[1].desk.wish(wish_of(zone="a"))
    one.settle()
    before = one.copies[1].incarnation
    after = one.restart(1)
    after.incarnation = before
    one.settle(1)
    asked = after.desk.work("begin", "m0")
    one.settle(1)
    assert asked is not None and asked.said == "agreed" and one.state("m0") == "at work"


def test_what_is_confirmed_is_told_ever_more_seldom_and_to_a_new_leader_at_once() -> None:
    one = tier()
    one.copies[2].cut = True
    one.copies[0].desk.wish(wish_of(zone="a"))
    one.settle(20)
    words = 0
    for _ in range(600):
        one.copies[1].keeper.look()
        words += len(one.words)
        one.words.clear()
        one.clock.time += SECOND // 10
    assert 7 <= words <= 9
    one.copies[0].keeper.confirmations.forget()
    one.leaders = {1}
    for copy in one.copies[:2]:
        copy.keeper.look()
    assert {peer for peer, _, _ in one.words} == {0, 1}


def test_askings_are_bounded() -> None:
    one = tier()
    one.leaders.clear()
    desk = one.copies[1].desk
    for n in range(ASKS_MOST):
        desk.wish(wish_of(f"w{n}", zone="a"))
    with pytest.raises(ManyError):
        desk.wish(wish_of("more", zone="a"))
    one.leaders = {0}
    one.settle()
    assert len(one.roll.wishes) == min(ASKS_MOST, WISHES_MOST)
    desk.withdraw("w0")
    assert len(one.copies[1].keeper.asked) == ASKS_MOST


def test_a_leader_that_is_busy_or_deposed_proposes_again() -> None:
    one = tier()
    first = one.copies[0]
    answers: list[Exception] = [BusyError("full"), NotLeadingError(None), BusyError("full")]
    append = one.append

    def proposed(by: Copy, data: bytes) -> None:
        if answers:
            raise answers.pop()
        append(data)

    one.proposed = proposed  # type: ignore[method-assign]
    word = first.word
    busy = [BusyError("full")]

    def say(data: bytes) -> None:
        if busy:
            raise busy.pop()
        word(data)

    first.word = say  # type: ignore[method-assign]
    first.desk.wish(wish_of(zone="a"))
    one.settle(6)
    assert out(one) == ["m0"] and not answers and not busy


def test_the_desk_refuses_what_it_can_tell_at_once() -> None:
    one = tier()
    desk = one.copies[1].desk
    for wish, error in (
        (wish_of(ids=("m0", "nobody")), UnknownMachineError),
        (wish_of(zone="nowhere"), UnknownMachineError),
        (wish_of(cell=77), UnknownMachineError),
        (wish_of(ids=("m0",), zone="b"), UnknownMachineError),
        (wish_of(ids=tuple(f"m{n}" for n in range(6)), kind="small" * 30), UnknownMachineError),
    ):
        with pytest.raises(error):
            desk.wish(wish)
    with pytest.raises(UnknownWishError):
        desk.withdraw("nothing")
    with pytest.raises(OrderError, match="m0: not out"):
        desk.work("begin", "m0")
    assert desk.wish(wish_of(zone="a")) is not None
    one.settle()
    assert desk.wish(wish_of(zone="a")) is None
    with pytest.raises(ContradictionError):
        desk.wish(wish_of(zone="b"))
    with pytest.raises(OrderError):
        desk.work("begin", "m2")


def test_a_wish_or_a_machine_that_does_not_fit_an_entry() -> None:
    long = [line("x" * 40 + str(n)) for n in range(9)]
    one = tier(machines=[*long, line("y" * 150), line("z")])
    with pytest.raises(FitError, match="160 at most"):
        one.copies[0].desk.wish(wish_of(ids=tuple(raw["instanceId"] for raw in long)))
    with pytest.raises(NeverError, match="too long"):
        one.copies[0].desk.wish(wish_of(ids=("y" * 150,)))
    one.copies[0].desk.wish(wish_of(out=20, kind="small"))
    one.settle()
    assert len(one.states()) == 10, "all but the one that does not fit"
    assert not fits(Step("y" * 150, 1, "clear")) and fits(Step("y", 1, "clear"))


def test_a_zone_that_is_no_unicode_keeps_its_machine_and_no_other() -> None:
    one = tier(2, [line("m0", zone="\ud800"), *(line(f"m{n}") for n in range(1, 4))])
    one.copies[0].desk.wish(wish_of(out=9, kind="small"))
    one.settle()
    assert set(one.states()) == {"m1", "m2", "m3"}


def test_a_wish_for_more_machines_than_the_record_holds() -> None:
    one = tier(2, [line(f"m{n}") for n in range(1100)])
    with pytest.raises(FitError, match="1024"):
        one.copies[0].desk.wish(wish_of(zone="a"))


# --- Calls ------------------------------------------------------------------------------------


def asked(one: Tier, method: bytes, target: bytes) -> tuple[int, Any]:
    reply = reply_about(method, target, one.copies[1].desk)
    assert reply is not None
    return reply.status, json.loads(reply.body) if reply.status != 405 else reply.allow


def test_calls_from_wish_to_back() -> None:
    one = tier()
    target = b"/api/upkeep/wish?name=disk&zone=a&out=1&per=zone&share=0.5"
    assert asked(one, b"POST", target) == (202, {"state": "wished", "asked": 1})
    one.settle()
    assert asked(one, b"POST", target) == (200, {"state": "agreed"})
    status, told = asked(one, b"GET", b"/api/upkeep")
    assert status == 200 and told["machines"][0]["state"] == "clear" and told["copies"] == 3
    assert told["wishes"][0]["name"] == "disk" and told["asked"][0]["state"] == "agreed"
    assert asked(one, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 202
    one.settle(1)
    assert asked(one, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 200
    assert asked(one, b"POST", b"/api/upkeep/done?machine=m0")[0] == 202
    assert asked(one, b"POST", b"/api/upkeep/withdraw?name=disk")[0] == 202
    one.settle(COLD_US / SECOND + 2)
    assert asked(one, b"GET", b"/api/upkeep")[1]["past"][0]["name"] == "disk"
    address = one.list["m1"]["hostPort"].encode()
    assert asked(one, b"POST", b"/api/upkeep/wish?name=x&address=" + address)[0] == 202
    assert asked(one, b"POST", b"/api/upkeep/absent?peer=2")[0] == 202


@pytest.mark.parametrize(
    ("target", "error"),
    [
        (b"/wish", "WishError"),
        (b"/wish?name=w&zone=nowhere", "UnknownMachineError"),
        (b"/wish?name=w&id=nobody", "UnknownMachineError"),
        (b"/wish?name=w&zone=a&out=0", "LimitError"),
        (b"/wish?name=w&zone=a&share=1.2", "LimitError"),
        (b"/wish?name=w&zone=a&share=1", "NeverError"),
        (b"/wish?name=w&zone=a&what", "WishError"),
        (b"/wish?name=\xff&zone=a", "WishError"),
        (b"/wish?name=%FF&zone=a", "WishError"),
        (b"/wish?" + b"&".join(b"id=m%d" % n for n in range(500)), "WishError"),
        (b"/withdraw?name=w", "UnknownWishError"),
        (b"/withdraw?name=w&name=v", "WishError"),
        (b"/begin?machine=m0", "OrderError"),
        (b"/done?machine=m0", "OrderError"),
        (b"/done?name=m0", "WishError"),
        (b"/absent?peer=9", "UnknownPeerError"),
        (b"/absent?peer=x", "WishError"),
    ],
)
def test_a_bad_call_is_told_its_error_and_changes_nothing(target: bytes, error: str) -> None:
    one = tier()
    before = one.roll.dump()
    status, told = asked(one, b"POST", b"/api/upkeep" + target)
    assert status == 400 and told["error"] == error and told["cause"] and told["remedy"]
    one.settle(1)
    assert one.roll.dump() == before


def test_a_copy_out_of_touch_says_503_and_the_rest_is_none_of_upkeeps() -> None:
    one = tier()
    one.copies[1].cut = True
    assert asked(one, b"POST", b"/api/upkeep/wish?name=w&zone=a")[0] == 503
    for path, expected in METHODS.items():
        other = b"POST" if expected == b"GET" else b"GET"
        assert asked(one, other, path) == (405, expected)
    assert reply_about(b"GET", b"/api/upkeep/nothing", one.copies[1].desk) is None


def test_the_second_address_asks_upkeep_only_where_it_is_on() -> None:
    one = tier()
    desk: UpkeepDesk = one.copies[1].desk

    def more(method: bytes, target: bytes) -> Reply | None:
        return reply_about(method, target, desk)

    def reply(target: bytes, on: bool) -> Reply:
        return reply_to(b"GET", target, Lifecycle(), 0.0, str, more if on else None)

    assert reply(b"/api/upkeep", False).status == 404
    assert reply(b"/api/upkeep", True).status == 200
    assert reply(b"/api/upkeep/nothing", True).status == 404
    assert reply(b"/api/telemetry?x=1", True).status == 200


# --- The step where lists change --------------------------------------------------------------


class World:
    """A source between a list that is given and an engine that is played, in steps by hand."""

    def __init__(self, known: bool = True) -> None:
        self.clock = ManualClock()
        self.engine = PlayedEngine(self.clock)
        self.roll = Roll()
        self.logged: list[str] = []
        self.steps: list[tuple[Iterator[None], Callable[[Exception | None], None]]] = []
        self.source = UpkeepSource(
            Inner(), self.roll, self.clock, GRACE_US, lambda *run: self.steps.append(run), self.logged.append
        )
        self.source.start(self.engine, 0)
        if known:
            self.source.go_on(True)

    def run(self) -> int:
        """All that is on its way; how many steps that took."""
        count = 0
        while self.steps:
            steps, ended = self.steps.pop(0)
            count += sum(1 for _ in steps)
            ended(None)
        return count

    def hold(self, id: str) -> None:
        if not self.roll.wishes:
            agree(self.roll, 1, Ask(0, 5, 1, "wish", wish_of(out=99, zone="a")))
        agree(self.roll, self.roll.index + 1, leave(self.roll, id))
        assert id in self.roll.machines


LONG = [line(f"m{n}") for n in range(1000)]


def test_a_long_list_stays_in_steps() -> None:
    world = World()
    raws = [dict(raw) for raw in LONG]
    steps = world.source.list_in_steps(True, raws, 5)
    count = sum(1 for _ in steps)
    assert count > 1000 / SHORT and not raws, "used up"
    assert len(world.engine.ready) == len(world.source.table.members) == 1000
    world.hold("m7")
    world.source.refresh()
    assert "m7" not in world.engine.ready and not world.steps, "one change is told at once"


def test_what_changes_while_a_long_list_is_on_its_way_is_told_behind_it() -> None:
    world = World()
    steps = world.source.list_in_steps(True, [dict(raw) for raw in LONG], 5)
    next(steps)
    world.hold("m7")
    world.source.refresh()
    assert world.source.quiet() < world.roll.machines["m7"].left, "not told yet"
    for _ in steps:
        pass
    assert "m7" not in world.engine.ready
    world.clock.advance(GRACE_US)
    assert world.source.quiet() == world.roll.index


def test_a_list_that_is_held_back_is_told_in_steps_once_the_record_is_known() -> None:
    world = World(known=False)
    for _ in world.source.list_in_steps(True, [dict(raw) for raw in LONG], 5):
        pass
    world.source.listed(2, False, [line("m3", phase="draining")])
    assert not world.engine.ready and world.source.quiet() == -1
    world.hold("m7")
    world.source.go_on(True)
    world.source.listed(3, False, [line("m4", phase="gone"), line("new")])
    assert not world.engine.ready and world.source.quiet() < world.roll.index
    assert world.run() > 1000 / SHORT
    assert world.engine.ready.keys() == {raw["instanceId"] for raw in LONG} - {"m3", "m4", "m7"} | {"new"}
    world.source.listed(4, True, [line("m8")])
    assert world.engine.ready.keys() == {"m8"}


def test_a_whole_list_while_ours_is_on_its_way_is_told_behind_it() -> None:
    world = World(known=False)
    world.source.give_known(41, LONG)
    world.source.go_on(True)
    world.source.listed(3, True, [line("m8")])
    for _ in world.source.list_in_steps(True, [line("m8"), line("m9")], 5):
        pass
    world.run()
    assert world.engine.ready.keys() == {"m8", "m9"}


def test_a_process_that_stands_still_as_it_tells_is_not_quiet_before_the_grace_is_over() -> None:
    world = World()
    world.source.listed(1, True, [line("m0"), line("m1")])
    world.hold("m0")
    listed = world.engine.listed

    def late(version: int, whole: bool, entries: Sequence[Any]) -> None:
        world.clock.advance(2 * GRACE_US)  # stopped between the hold and the engine
        listed(version, whole, entries)

    world.engine.listed = late  # type: ignore[method-assign]
    world.source.refresh()
    left = world.roll.machines["m0"].left
    assert world.engine.may_send("m0") and world.source.quiet() < left
    world.clock.advance(GRACE_US)
    assert not world.engine.may_send("m0") and world.source.quiet() >= left


def test_what_the_engine_did_not_take_is_never_quiet() -> None:
    world = World()
    world.source.listed(1, True, [line("m0"), line("m1")])
    world.hold("m0")

    def refuse(version: int, whole: bool, entries: Sequence[Any]) -> None:
        raise ValueError("no entry")

    listed, world.engine.listed = world.engine.listed, refuse  # type: ignore[method-assign]
    world.source.refresh()
    left = world.roll.machines["m0"].left
    world.clock.advance(2 * GRACE_US)
    assert world.engine.may_send("m0") and world.source.quiet() < left
    world.engine.listed = listed  # type: ignore[method-assign]
    world.source.listed(2, True, [line("m0"), line("m1")])
    world.clock.advance(2 * GRACE_US)
    assert not world.engine.may_send("m0") and world.source.quiet() >= left


@pytest.mark.parametrize(
    "bad",
    [
        {"instanceId": "x"},
        7,
        line("x", phase="asleep"),
        line("x", hostPort="no"),
        # As the engine, which makes its number of an id.
        line("x") | {"instanceId": "\ud800"},
        line("x") | {"instanceId": 7},
    ],
)
def test_a_bad_list_changes_nothing(bad: Any) -> None:
    for known in (True, False):
        world = World(known)
        world.source.listed(1, True, MACHINES)
        with pytest.raises(ValueError, match="no entry"):
            world.source.listed(2, True, [line("m1"), bad])
        with pytest.raises(ValueError, match="no entry"):
            list(world.source.list_in_steps(True, [line("m1"), bad], 5))
        assert len(world.source.table.members) == 6 and not world.source.reading
        assert len(world.engine.ready) == (6 if known else 0)
        world.source.listed(3, False, [line("m1", phase="gone")])
        assert len(world.source.table.members) == 5


def test_a_source_passes_on_what_else_is_asked() -> None:
    told: list[str] = []

    class Sink(PlayedEngine):
        def list_failed(self) -> None:
            told.append("failed")

    clock = ManualClock()
    given = GivenMembers(MACHINES)
    source = UpkeepSource(given, Roll(), clock, GRACE_US, lambda *run: None, told.append)
    source.list_failed()
    source.start(Sink(clock), 3)
    assert given.generation == 3 and source.now() == clock.now()
    source.watch(True)
    source.fetch()
    source.list_failed()
    assert told == ["failed"] and len(source.table.members) == 6


def test_a_return_is_told_as_a_start_until_discovery_tells_a_later_one() -> None:
    world = World()
    world.source.listed(1, True, MACHINES)
    world.hold("m0")
    world.source.refresh()
    tell(world.roll, "clear")
    tell(world.roll, "done")
    world.source.refresh()
    began = world.engine.ready["m0"]
    assert began == world.clock.wall() // 1000
    world.source.listed(2, True, MACHINES)
    assert world.engine.ready["m0"] == began, "a start told is never taken back"
    world.source.listed(3, False, [line("m0", started_ms=began + 5)])
    assert world.engine.ready["m0"] == began + 5
    world.source.listed(4, False, [line("m0", phase="gone")])
    assert not world.source.shown.returned


def test_the_list_for_the_next_version_has_what_is_held() -> None:
    world = World()
    world.source.listed(1, True, [*MACHINES, line("m9", phase="draining")])
    world.hold("m0")
    world.source.refresh()
    taken: list[bytes] = []
    for _ in world.source.dump_in_steps(41, taken):
        pass
    told = json.loads(taken[0])
    assert told["generation"] == 41 and told["reset"] and len(told["instances"]) == 6
    assert told["instances"] == MACHINES


def test_sums_of_a_table_stay_those_of_its_members() -> None:
    table = MemberTable()
    for raw in (
        *MACHINES,
        line("m0", "b", "draining", weight=3.0),
        line("m1", phase="gone"),
        line("x", weight=-1.0),
    ):
        table.put(read_member(raw))
    ready = [one for one in table.members.values() if one.phase == 1]
    assert (table.ready, table.ready_weight, table.weight) == (len(ready), 5.0, 8.0)
    assert table.draining == {"m0"} and set(table.group("zone", table.members["m0"])) == {"m0", "m3", "m5"}
    for id in list(table.members):
        table.remove(id)
    assert (table.ready, table.weight, table.groups) == (0, 0.0, {})


# --- What is out at an endpoint -----------------------------------------------------------------


def test_the_engine_counts_what_is_out_at_an_endpoint() -> None:
    clock = ManualClock()
    upstream = PlayedUpstream(clock)
    settings = Settings(classes=(RequestClass(),), max_attempts=2, second_copies=True)
    names = Names({"classes": [{"name": "page"}]}, settings)
    engine = Engine(clock, 1, settings, names, upstream, GivenMembers(), 500_000, lambda text: None)
    engine.start()
    engine.listed(1, True, [entry("s-0")])
    where = endpoint_number("s-0")
    calls = [
        Call(0, clock.now() + SECOND, b"GET / HTTP/1.1", b"", b"", Answers(), b"%d" % n) for n in range(2)
    ]
    for call in calls:
        engine.take(call)
    assert engine.out_at(where) == 2 and engine.out_at(where + 1) == 0

    class Body:
        def hold(self) -> None: ...
        def go_on(self) -> None: ...
        def unwanted(self) -> None: ...

    attempts: list[Attempt] = list(upstream.out)
    flow = Flow(Body(), 10)
    attempts[0].end(OK, Answer(Ending.SERVED, 200, flow=flow))
    attempts[1].end(OK, Answer(Ending.SERVED, 200))
    assert engine.out_at(where) == 1, "its answer still comes from there"
    flow.end(True)
    assert engine.out_at(where) == 0


def test_a_wish_is_one_entry_and_a_confirmation_is_short() -> None:
    wish: Wish = wish_of("n" * 24, 1000, "zone", 0.123456, zone="z" * 24, kind="k" * 24, cell=10**6)
    assert len(pack(Ask(255, 2**64 - 1, 10**6, "withdraw", wish))) <= ENTRY_MOST
    assert len(pack(Confirm(10**9))) < 16
