"""What waits for what. Pure.

1. A node is a queued write, or a write of another log that one of ours follows, or a barrier: all writes of
   one line up to a number.
2. An arrow goes from a cause to its follower, which was kept later. So no circle can come about.
3. A node is free when no arrow comes in. When a node is over, its arrows go.
4. A node sticks while it is halted, or while one that it follows sticks. Each node knows how many of its
   causes stick; so halting and resuming go along each arrow behind the node once, whatever their number.
5. Nodes and arrows are rows of arrays, used again when they are free: 17 bytes a node, 24 an arrow.
"""

from __future__ import annotations

from array import array
from typing import Final

__all__ = ["DependencyGraph"]

NONE: Final = -1


class DependencyGraph:
    """See the rules. Nodes are small integers."""

    def __init__(self) -> None:
        self._waits = array("i")  # arrows in
        self._stuck = array("i")  # of them, from nodes that stick
        self._halted = array("b")
        self._out = array("i")  # the first arrow out
        self._in = array("i")  # the first arrow in
        self._free_nodes = array("i")
        self._source = array("i")
        self._target = array("i")
        self._next_out = array("i")
        self._next_in = array("i")
        self._prev_in = array("i")
        self._free_arrows = array("i")
        self.touched = 0  # arrows that halting and resuming have gone along, in all

    def __len__(self) -> int:
        return len(self._waits) - len(self._free_nodes)

    @property
    def arrows(self) -> int:
        """How many arrows there are."""
        return len(self._source) - len(self._free_arrows)

    def add(self) -> int:
        """A node that follows nothing."""
        if self._free_nodes:
            node = self._free_nodes.pop()
            self._waits[node] = self._stuck[node] = self._halted[node] = 0
            self._out[node] = self._in[node] = NONE
            return node
        for column in (self._waits, self._stuck, self._halted):
            column.append(0)
        self._out.append(NONE)
        self._in.append(NONE)
        return len(self._waits) - 1

    def link(self, dependency: int, follower: int) -> None:
        """The follower waits for the cause, which does not follow it."""
        if self._free_arrows:
            arrow = self._free_arrows.pop()
        else:
            arrow = len(self._source)
            for column in (self._source, self._target, self._next_out, self._next_in, self._prev_in):
                column.append(NONE)
        self._source[arrow], self._target[arrow] = dependency, follower
        self._next_out[arrow], self._out[dependency] = self._out[dependency], arrow
        first = self._in[follower]
        if first != NONE:
            self._prev_in[first] = arrow
        self._next_in[arrow], self._prev_in[arrow], self._in[follower] = first, NONE, arrow
        self._waits[follower] += 1
        if self.is_blocked(dependency):
            stuck = self.is_blocked(follower)
            self._stuck[follower] += 1
            if not stuck:
                self._spread(follower, 1)

    def free(self, node: int) -> bool:
        """Nothing comes in: it waits for none."""
        return self._waits[node] == 0

    def is_blocked(self, node: int) -> bool:
        """It is halted, or depends on one that is."""
        return self._halted[node] != 0 or self._stuck[node] > 0

    def behind(self, node: int) -> bool:
        """One that it follows sticks."""
        return self._stuck[node] > 0

    def dependencies(self, node: int) -> list[int]:
        """Those that it waits for, without those behind them."""
        found, arrow = [], self._in[node]
        while arrow != NONE:
            found.append(self._source[arrow])
            arrow = self._next_in[arrow]
        return found

    def followers(self, node: int) -> list[int]:
        """Those that wait for it, without those behind them."""
        found, arrow = [], self._out[node]
        while arrow != NONE:
            found.append(self._target[arrow])
            arrow = self._next_out[arrow]
        return found

    def holder(self, node: int) -> int:
        """A halted one that this node follows, if it is behind one; else one that it waits for, or NONE."""
        dependencies = self.dependencies(node)
        while self._stuck[node]:
            node = next(dependency for dependency in self.dependencies(node) if self.is_blocked(dependency))
            if self._halted[node]:
                return node
        return dependencies[0] if dependencies else NONE

    def halt(self, node: int) -> None:
        """It blocks all that depend on it."""
        stuck = self.is_blocked(node)
        self._halted[node] = 1
        if not stuck:
            self._spread(node, 1)

    def resume(self, node: int) -> None:
        """It blocks none any more, unless what it depends on does."""
        if not self._halted[node]:
            return
        self._halted[node] = 0
        if not self._stuck[node]:
            self._spread(node, -1)

    def _spread(self, node: int, step: int) -> None:
        """The node has begun (1) or ceased (-1) to stick."""
        work = [node]
        while work:
            for follower in self.followers(work.pop()):
                self.touched += 1
                before = self.is_blocked(follower)
                self._stuck[follower] += step
                if self.is_blocked(follower) != before:
                    work.append(follower)

    def over(self, node: int) -> list[int]:
        """A free node is done with: it goes, and those come back that are free by it.

        One that still waits must stay: its followers wait for its causes through it.
        """
        assert self.free(node)
        self.resume(node)
        freed, arrow = [], self._out[node]
        while arrow != NONE:
            follower, following = self._target[arrow], self._next_out[arrow]
            self._unlink_in(follower, arrow)
            if not self._waits[follower]:
                freed.append(follower)
            self._free_arrows.append(arrow)
            arrow = following
        self._free_nodes.append(node)
        return freed

    def _unlink_in(self, follower: int, arrow: int) -> None:
        self._waits[follower] -= 1
        before, after = self._prev_in[arrow], self._next_in[arrow]
        if before == NONE:
            self._in[follower] = after
        else:
            self._next_in[before] = after
        if after != NONE:
            self._prev_in[after] = before
