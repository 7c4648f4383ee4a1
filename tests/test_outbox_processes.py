"""Writes kept by edges and brought upstream, in real processes under faults. Servers count what took
effect, in which order; the checker's rules are at the head of `laurelstep.testing.processes.queued_writes`.

Where a replay must still be out at a fault, a server holds its answer: what a test brings about then comes
between the effect and the answer however slow the machine is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest
from laurelstep.testing.processes import wait_until
from laurelstep.testing.processes.queued_writes import (
    ABANDONED_AND_EXECUTED,
    APPLIED_NOT_EXECUTED,
    DEAD_LETTER_WITHOUT_REASON,
    EXECUTED_TWICE,
    NOT_APPLIED,
    NOT_FINAL,
    OUT_OF_ORDER,
    REJECTED_AND_EXECUTED,
    UNKNOWN_WRITE,
    WRONG_KEY,
    EdgeDeclaredLost,
    FinalWriteStatus,
    OperatorResolution,
    QueuedWriteEvent,
    WriteAnswered,
    WriteAttempted,
    WriteDelivered,
    WriteQueued,
    check_queued_writes,
)

from tests.outboxing import Chain, Client, Node, play

# --- The checker ----------------------------------------------------------------------------


def sound() -> list[QueuedWriteEvent]:
    """Album, photo and order, kept at two edges and brought in their order; a mail that stands parked."""
    return [
        WriteAttempted(1, "album", "k-album", b"a"),
        WriteQueued(2, "album", "edge-0"),
        WriteAttempted(3, "photo", "k-photo", b"p", frozenset(("album",))),
        WriteQueued(4, "photo", "edge-1"),
        WriteAttempted(5, "order", None, b"o", frozenset(("photo",))),
        WriteQueued(6, "order", "edge-1"),
        WriteAttempted(7, "mail", None, b"m"),
        WriteQueued(8, "mail", "edge-0"),
        WriteAttempted(9, "late", None, b"l"),
        WriteAnswered(10, "late", 503),
        WriteDelivered(11, "album", "k-album", b"a"),
        WriteDelivered(12, "photo", "k-photo", b"p"),
        WriteDelivered(13, "photo", "k-photo", b"p", was_executed=False),
        WriteDelivered(14, "order", None, b"o"),
        FinalWriteStatus("album", "done"),
        FinalWriteStatus("photo", "done"),
        FinalWriteStatus("order", "done"),
        FinalWriteStatus("mail", "parked", "it was kept for too long"),
    ]


def swap(events: list[QueuedWriteEvent], old: QueuedWriteEvent, *new: QueuedWriteEvent) -> None:
    at = events.index(old)
    events[at : at + 1] = new


ALBUM, PHOTO, ORDER = (
    WriteDelivered(11, "album", "k-album", b"a"),
    WriteDelivered(12, "photo", "k-photo", b"p"),
    WriteDelivered(14, "order", None, b"o"),
)
MAIL = FinalWriteStatus("mail", "parked", "it was kept for too long")

FAULTS: dict[str, tuple[str, Callable[[list[QueuedWriteEvent]], None]]] = {
    "a kept write is forgotten": (NOT_APPLIED, lambda e: e.remove(MAIL)),
    "a kept write stays on its way": (NOT_FINAL, lambda e: swap(e, MAIL, FinalWriteStatus("mail", "out"))),
    "a lost answer is sent again": (
        EXECUTED_TWICE,
        lambda e: e.append(WriteDelivered(15, "order", None, b"o")),
    ),
    "a key takes effect twice": (
        EXECUTED_TWICE,
        lambda e: e.append(WriteDelivered(15, "photo", "k-photo", b"p")),
    ),
    "a kept write waits for none that is parked": (
        NOT_APPLIED,
        lambda e: swap(e, MAIL, FinalWriteStatus("mail", "kept", waits_for="order")),
    ),
    "a key takes effect as two writes": (
        EXECUTED_TWICE,
        lambda e: e.extend(
            [WriteAttempted(15, "copy", "k-photo", b"p"), WriteDelivered(16, "copy", "k-photo", b"p")]
        ),
    ),
    "a follower goes first": (
        OUT_OF_ORDER,
        lambda e: swap(e, ORDER, WriteDelivered(10, "order", None, b"o")),
    ),
    "a follower goes before what its cause follows": (
        OUT_OF_ORDER,
        lambda e: swap(e, ALBUM, WriteDelivered(15, "album", "k-album", b"a")),
    ),
    "a follower of a parked write goes": (
        OUT_OF_ORDER,
        lambda e: e.extend(
            [
                WriteAttempted(15, "after", None, b"", frozenset(("mail",))),
                WriteDelivered(16, "after", None, b""),
            ]
        ),
    ),
    "a write is made up": (UNKNOWN_WRITE, lambda e: e.append(WriteDelivered(15, "nobody's", None, b""))),
    "a write comes before it is asked for": (
        UNKNOWN_WRITE,
        lambda e: swap(e, ORDER, WriteDelivered(4, "order", None, b"o")),
    ),
    "a body is another one": (
        UNKNOWN_WRITE,
        lambda e: swap(e, ORDER, WriteDelivered(14, "order", None, b"p")),
    ),
    "a repeat comes under another key": (
        WRONG_KEY,
        lambda e: e.append(WriteDelivered(15, "photo", "k-2", b"p", was_executed=False)),
    ),
    "a keyed write comes without its key": (
        WRONG_KEY,
        lambda e: swap(e, PHOTO, WriteDelivered(12, "photo", None, b"p")),
    ),
    "what was refused has run": (
        REJECTED_AND_EXECUTED,
        lambda e: e.append(WriteDelivered(15, "late", None, b"l")),
    ),
    "a parked write tells no reason": (
        DEAD_LETTER_WITHOUT_REASON,
        lambda e: swap(e, MAIL, FinalWriteStatus("mail", "parked")),
    ),
    "what is told done ran nowhere": (
        APPLIED_NOT_EXECUTED,
        lambda e: swap(e, MAIL, FinalWriteStatus("mail", "done")),
    ),
    "what was given up runs": (
        ABANDONED_AND_EXECUTED,
        lambda e: e.extend(
            [OperatorResolution(15, "mail", "give_up"), WriteDelivered(16, "mail", None, b"m")]
        ),
    ),
}


def test_a_sound_history_breaks_no_rule() -> None:
    assert check_queued_writes(sound()) == []
    lost = [one for one in sound() if one not in (ALBUM, FinalWriteStatus("album", "done"))]
    assert {one.rule for one in check_queued_writes(lost)} == {NOT_APPLIED, OUT_OF_ORDER}
    assert check_queued_writes([*lost, EdgeDeclaredLost(20, "edge-0")]) == []
    assert (
        check_queued_writes(
            [*lost, OperatorResolution(20, "album", "ran"), FinalWriteStatus("album", "done")]
        )
        == []
    )


@pytest.mark.parametrize("fault", FAULTS)
def test_a_faulty_history_breaks_the_rule_that_it_is_made_for(fault: str) -> None:
    name, spoil = FAULTS[fault]
    events = sound()
    spoil(events)
    assert name in {one.rule for one in check_queued_writes(events)}


FAULTY = {
    "forgets": NOT_APPLIED,
    "sends_again": EXECUTED_TWICE,
    "goes_first": OUT_OF_ORDER,
    "drops_the_key": WRONG_KEY,
    "garbles_the_body": UNKNOWN_WRITE,
    "refuses_what_it_keeps": REJECTED_AND_EXECUTED,
    "sends_nothing": APPLIED_NOT_EXECUTED,
    "tells_no_reason": DEAD_LETTER_WITHOUT_REASON,
    "runs_what_is_given_up": ABANDONED_AND_EXECUTED,
}


def test_faulty_programs_are_found(tmp_path: Path) -> None:
    """Each of these edges has one fault, and a client and writes of its own."""

    async def main() -> None:
        begin = {f"edge-{n}": ("-m", "tests.faulty_outbox", fault) for n, fault in enumerate(FAULTY)}
        async with Chain(tmp_path, edges=len(FAULTY), copies=0, begin=begin) as chain:
            for node, fault in zip(chain.edges, FAULTY, strict=True):
                node.refuse()
                client = chain.client(fault)
                await client.write(node, f"{fault}-album")
                await client.write(node, f"{fault}-order", "pay")
                if fault in ("sends_again", "tells_no_reason", "runs_what_is_given_up"):
                    chain.ledger.lose(f"{fault}-order")
            chain.ledger.drop("goes_first-album", 3)  # all attempts of its first replay
            first = chain.edges[0]
            await first.kill()
            await first.start()
            for node in chain.edges:
                await node.admit()
            given_up = next(one for one in chain.writes if one.name == "runs_what_is_given_up-order")
            told = await chain.until(given_up, "parked")
            assert await chain.judge(given_up, "give_up", told["parking"]) == 202
            await chain.ledger.until_ran("refuses_what_it_keeps-order")
            await chain.settle()
            found = check_queued_writes(chain.kept)
            for fault, name in FAULTY.items():
                assert name in {one.rule for one in found if one.subject.startswith(fault)}, (fault, found)

    play(main())


# --- Edges before servers -------------------------------------------------------------------


def test_three_edges_are_cut_off_and_killed_and_bring_all_that_they_kept(tmp_path: Path) -> None:
    """Each with a client of its own; they are killed in the midst of their replays, with answers lost."""

    async def main() -> None:
        async with Chain(tmp_path, copies=0) as chain:
            clients = [chain.client(f"c{n}") for n in range(3)]
            for node, client in zip(chain.edges, clients, strict=True):
                assert await client.bring(node, f"{client.name}-live", "pay") == 200
                node.refuse()
            await asyncio.gather(
                *(wedding(client, node) for client, node in zip(clients, chain.edges, strict=True))
            )
            chain.ledger.lose("c0-p1", 2)
            chain.ledger.hold("c1-order")
            chain.ledger.hold("c2-p0")
            for node in chain.edges:
                await node.admit()
            await chain.ledger.until_ran("c0-order", "c1-order", "c2-p0")
            await asyncio.gather(*(node.kill() for node in chain.edges))
            for write in ("c1-order", "c2-p0"):
                chain.ledger.let_go(write)
            await asyncio.gather(*(node.start() for node in chain.edges))
            found = await chain.settle()
            parked = {name for name, state in found.items() if state == "parked"}
            assert "c1-order" in parked and parked <= {"c0-order", "c0-mail", "c1-order", "c1-mail"}
            assert chain.ledger.came["c2-p0"] >= 2
            chain.check()

    play(main())


async def wedding(client: Client, node: Node) -> None:
    """An album, its photos, their order, and a mail about it."""
    name = client.name
    await client.keep(node, f"{name}-album")
    for n in range(3):
        await client.keep(node, f"{name}-p{n}", size=n * 70_000)
    await client.keep(node, f"{name}-order", "pay")
    await client.keep(node, f"{name}-mail")


def test_a_link_that_flaps_under_writes(tmp_path: Path) -> None:
    """Drawn by the seed: refused, silent or open at each write."""

    async def main() -> None:
        async with Chain(tmp_path, edges=1, copies=0, seed=7) as chain:
            (node,) = chain.edges
            client = chain.client("anna")
            for n in range(12):
                match chain.draw.choice(("refused", "open", "answers lost")):
                    case "refused":
                        node.refuse()
                    case "open":
                        await node.admit()
                    case "answers lost":
                        await node.admit()
                        chain.ledger.lose(f"w{n}")
                await client.write(node, f"w{n}", chain.draw.choice(("put", "pay")))
            await node.admit()
            await chain.settle()
            assert {one.name for one in chain.writes} and chain.ledger.order
            chain.check()

    play(main())


# --- Edges, copies and servers --------------------------------------------------------------


async def days(chain: Chain) -> list[Client]:
    """All links down: each edge has a wedding, and its client walks on to the next edge and writes there."""
    for node in chain.edges:
        node.refuse()
    clients = [chain.client(f"c{n}") for n in range(len(chain.edges))]

    async def day(at: int) -> None:
        client, here = clients[at], chain.edges[at]
        there = chain.edges[(at + 1) % len(chain.edges)]
        await wedding(client, here)
        await client.keep(there, f"{client.name}-roam")
        await client.keep(there, f"{client.name}-print", "pay")

    await asyncio.gather(*(day(at) for at in range(len(clients))))
    return clients


async def admit(chain: Chain) -> None:
    for node in chain.edges:
        await node.admit()


PER_CLIENT = 8  # writes of `days`


def test_what_roams_waits_for_its_causes_at_other_edges_and_upstream(tmp_path: Path) -> None:
    async def main() -> None:
        async with Chain(tmp_path) as chain:
            clients = await days(chain)
            # The same key at a second edge: another kept write, the same effect.
            await clients[2].keep(chain.edges[1], "c2-p0")
            # Straight upstream, with a token of what is kept at an edge.
            await clients[0].keep(chain.copies[0], "c0-last")
            await chain.edges[1].admit()
            await chain.ledger.until_ran(*(f"c1-{what}" for what in ("album", "order", "mail")))
            assert not {"c0-roam", "c0-print", "c0-last", "c1-roam"} & set(chain.ledger.order)
            await chain.edges[0].admit()
            await chain.ledger.until_ran("c0-print", "c2-roam") if False else None
            await chain.edges[2].admit()
            assert set((await chain.settle()).values()) == {"done"}
            assert len(chain.ledger.order) == 3 * PER_CLIENT + 1
            chain.check()

    play(main())


def test_edges_are_killed_at_their_replays(tmp_path: Path) -> None:
    async def main() -> None:
        async with Chain(tmp_path) as chain:
            await days(chain)
            chain.ledger.hold("c0-order")
            chain.ledger.hold("c1-p1")
            await admit(chain)
            await chain.ledger.until_ran("c0-order", "c1-p1", "c2-p0")
            for node in chain.edges:
                await node.kill()
            chain.ledger.let_go("c0-order")
            chain.ledger.let_go("c1-p1")
            await asyncio.gather(*(node.start() for node in chain.edges))
            await chain.settle()
            chain.check()

    play(main())


def test_copies_are_killed_one_by_one_in_a_replay(tmp_path: Path) -> None:
    async def main() -> None:
        async with Chain(tmp_path) as chain:
            await days(chain)
            await admit(chain)
            async with chain.live():
                for turn, copy in enumerate(chain.copies):
                    await chain.ledger.until_came(2 + 4 * turn)
                    await copy.kill()
                    await copy.start()
            await chain.settle()
            chain.check()

    play(main())


def test_all_copies_are_killed_at_once_in_a_replay(tmp_path: Path) -> None:
    """What was in before is in after it; what was begun is not sent twice."""

    async def main() -> None:
        async with Chain(tmp_path) as chain:
            await days(chain)
            chain.ledger.hold("c0-order")
            await admit(chain)
            await chain.ledger.until_ran("c0-order")
            await asyncio.gather(*(copy.kill() for copy in chain.copies))
            chain.ledger.let_go("c0-order")
            await asyncio.gather(*(copy.start() for copy in chain.copies))
            found = await chain.settle()
            assert found["c0-order"] == "parked" and found["c0-album"] == "done"
            chain.check()

    play(main())


def test_copies_are_parted_in_a_replay(tmp_path: Path) -> None:
    """Two and one, then all apart, then whole: apart nothing new is granted."""

    async def main() -> None:
        async with Chain(tmp_path) as chain:
            await days(chain)
            chain.cut([0], [1, 2])
            await admit(chain)
            await chain.ledger.until_came(6)
            chain.cut([0, 1, 2], [0, 1, 2])
            await asyncio.gather(*(chain.until_shared(copy, False) for copy in chain.copies))
            granted = len(chain.ledger.order)
            live = await chain.client("otto").write(chain.copies[0], "live", session=False)
            assert live is not None and live.status == 200  # what follows nothing is served
            assert len(chain.ledger.order) == granted + 1
            chain.heal()
            await chain.settle()
            chain.check()

    play(main())


async def until_answers_wait(node: Node, *writes: str) -> None:
    """What the copies answer to these is kept by a cut."""

    async def look() -> bool:
        kept = [one.withheld for link in node.links for one in link.connections]
        return all(any(data.endswith(write.encode()) for data in kept) for write in writes)

    await wait_until(look, f"answers to {writes} on their way")


def test_answers_that_are_lost_on_their_way_back(tmp_path: Path) -> None:
    """Between copy and edge the record tells; between server and copy a keyed one comes again under its
    key, and an unsafe one is parked."""

    async def main() -> None:
        async with Chain(tmp_path, edges=1) as chain:
            (node,) = chain.edges
            node.refuse()
            client = chain.client("anna")
            near = [await client.keep(node, f"near-{cls}", cls, session=False) for cls in ("put", "pay")]
            far = [await client.keep(node, f"far-{cls}", cls, session=False) for cls in ("put", "pay")]
            chain.ledger.lose("far-put")
            chain.ledger.lose("far-pay")
            for one in near:
                chain.ledger.hold(one.name)
            await node.admit()
            for one in near:
                await chain.ledger.until_ran(one.name)
                for link in node.links:
                    link.block("responses")
                chain.ledger.let_go(one.name)
                await until_answers_wait(node, one.name)
                for link in node.links:
                    link.reset()
                    link.unblock()
                await chain.until(one, "done")
            found = await chain.settle()
            assert found == {"near-put": "done", "near-pay": "done", "far-put": "done", "far-pay": "parked"}
            # Where the links were reset under it, it may be parked without having come.
            assert far and chain.ledger.came["near-pay"] == 1 and chain.ledger.came["far-pay"] <= 1
            chain.check()

    play(main())


def test_of_two_processes_on_copies_of_a_disk_one_replays(tmp_path: Path) -> None:
    async def main() -> None:
        async with Chain(tmp_path) as chain:
            await days(chain)
            edge = chain.edges[0]
            await edge.kill()
            twin = await chain.twin(edge)
            await asyncio.gather(edge.start(), twin.start())
            await admit(chain)
            await until_fenced(edge, twin)
            await chain.settle()
            assert chain.ledger.came["c0-order"] == 1
            chain.check()

    play(main())


def test_an_order_follows_an_upload_at_an_edge_that_comes_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with Chain(tmp_path, edges=2) as chain:
            first, second = chain.edges
            for node in chain.edges:
                node.refuse()
            client = chain.client("anna")
            await client.keep(second, "upload")
            order = await client.keep(first, "order", "pay")
            other = await chain.client("otto").keep(first, "other")
            await second.kill()
            await first.admit()
            await chain.until(other, "done")
            assert (await chain.receipt(order))["state"] == "kept"
            await second.admit()
            await second.start()
            assert await chain.settle() == {"upload": "done", "order": "done", "other": "done"}
            chain.check()

    play(main())


def test_orders_follow_an_upload_at_an_edge_that_is_lost(tmp_path: Path) -> None:
    """Said at two copies at once. One edge parks what follows, another one lets it go."""

    async def main() -> None:
        async with Chain(tmp_path, outbox={"edge-2": {"lost": "release"}}) as chain:
            parks, lost, releases = chain.edges
            for node in chain.edges:
                node.refuse()
            client = chain.client("anna")
            upload = await client.keep(lost, "upload")
            order = await client.keep(parks, "order", "pay")
            other = await chain.client("otto").keep(releases, "other", "pay", follows=[upload])
            await lost.kill()
            for node in chain.edges:
                await node.admit()
            await asyncio.gather(*(chain.declare_lost(lost.name, copy) for copy in chain.copies[:2]))
            assert (await chain.until(order, "parked"))["verdicts"]
            await chain.until(other, "done")
            await lost.start()  # it was not lost after all: refused from then on
            assert await chain.settle() == {"upload": "parked", "order": "parked", "other": "done"}
            assert chain.ledger.order == ["other"]
            chain.check()

    play(main())


def test_a_verdict_is_given_on_two_processes_at_once(tmp_path: Path) -> None:
    """An order may have run, and its disk was copied. Both are told that it never ran: it runs once."""

    async def main() -> None:
        async with Chain(tmp_path, edges=1) as chain:
            (edge,) = chain.edges
            edge.refuse()
            order = await chain.client("anna").keep(edge, "order", "pay")
            chain.ledger.drop("order")
            await edge.admit()
            told = await chain.until(order, "parked")
            await edge.kill()
            twin = await chain.twin(edge)
            await asyncio.gather(edge.start(), twin.start())
            said = await asyncio.gather(
                *(chain.judge(order, "never_ran", told["parking"], node) for node in (edge, twin))
            )
            assert set(said) <= {202, 409} and 202 in said
            await chain.ledger.until_ran("order")
            await until_fenced(edge, twin)
            await chain.settle()
            assert chain.ledger.came["order"] == 1
            chain.check()

    play(main())


async def until_fenced(*nodes: Node) -> None:
    """One of these says so, and only one."""

    def fenced() -> list[str]:
        return [
            node.folder.name for node in nodes if any("fenced" in line for line in node.program.log_lines)
        ]

    async def look() -> bool:
        return bool(fenced())

    await wait_until(look, "one is fenced")
    assert len(fenced()) == 1


def test_a_copy_is_replaced_in_a_replay(tmp_path: Path) -> None:
    """By stop and start, one after the other."""

    async def main() -> None:
        async with Chain(tmp_path) as chain:
            await days(chain)
            await admit(chain)
            for turn, copy in enumerate(chain.copies):
                await chain.ledger.until_came(2 + 4 * turn)
                assert await copy.program.stop() == 0
                await copy.start()
            found = await chain.settle()
            assert found["c0-album"] == "done"
            chain.check()

    play(main())


def test_links_that_flap_under_a_replay_and_writes(tmp_path: Path) -> None:
    """Drawn by the seed: a link of an edge is refused, silent or reset, and back, under each write."""

    async def main() -> None:
        async with Chain(tmp_path, seed=5) as chain:
            clients = await days(chain)
            await admit(chain)
            for n in range(6):
                edge = chain.draw.choice(chain.edges)
                match chain.draw.choice(("refuse", "reset", "silent")):
                    case "refuse":
                        edge.refuse()
                    case "reset":
                        for link in edge.links:
                            link.reset()
                    case "silent":
                        for link in edge.links:
                            link.block("responses")
                await chain.draw.choice(clients).write(edge, f"flap-{n}", chain.draw.choice(("put", "pay")))
                for link in edge.links:
                    link.unblock()
                await edge.admit()
            await chain.settle()
            chain.check()

    play(main())
