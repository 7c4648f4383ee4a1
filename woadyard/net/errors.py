"""Errors that carry something, in a module of their own that stays plain Python.

Compiled, an exception with attributes loses the dictionary that holds them, three blocks each
time it is made (mypyc 1.18)."""

from __future__ import annotations


class BadRequestError(Exception):
    """A caller's fault; the status tells it so."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
