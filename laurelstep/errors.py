"""The root of all errors of this program.

Each type below it says in two lines what kind of thing went wrong and what an operator can do;
the error's own text names the place. `docs/operators/errors.md` lists them.

Plain Python, as every module that makes such a type: compiled, an exception with attributes
loses the dictionary that holds them (mypyc 1.18).
"""

from __future__ import annotations

from typing import ClassVar


class LaurelstepError(Exception):
    """Never raised itself. A type that joins gives both lines anew: an inherited remedy is
    that of another fault. Its further bases (such as ValueError) stay as its callers know them.
    """

    cause: ClassVar[str]  # what kind of thing went wrong, on one line
    remedy: ClassVar[str]  # what an operator can do, on one line
