"""The base class of all errors of this program.

Each subclass states a cause and a remedy for operators, one line each; the text of an error says where it
occurred. `docs/operators/errors.md` lists them.

This module, and every module that defines such a class, is not compiled: an exception class compiled by mypyc
1.18 loses the dictionary that holds its attributes.
"""

from __future__ import annotations

from typing import ClassVar


class LaurelstepError(Exception):
    """Never raised itself. Each subclass sets both attributes, because an inherited remedy is that of another
    fault. Further bases, such as ValueError, are kept for callers that catch them.
    """

    cause: ClassVar[str]  # what went wrong, on one line
    remedy: ClassVar[str]  # what an operator can do, on one line
