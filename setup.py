"""Compiles the modules that every request passes with mypyc, where there is a C compiler.

They stay plain Python: where there is none, or with LAURELSTEP_PLAIN set, the package is
installed as it stands and gives the same results, slower.
"""

import os
import sys

from setuptools import setup
from setuptools.command.build_ext import build_ext

MODULES = (
    *("interface", "policy"),
    *(
        "engine/call",
        "engine/clock",
        "engine/engine",
        "engine/flow",
        "engine/members",
        "engine/names",
        "engine/tally",
    ),
    *("lifecycle/phases", "room/descriptors", "stream/pace"),
    *("net/message", "net/request", "net/server", "net/upstream"),
)


class BuildWherePossible(build_ext):
    def run(self) -> None:
        try:
            super().run()
        except Exception as error:
            # setuptools has a dozen errors for a compiler that is absent or fails.
            print(f"laurelstep: not compiled, runs as plain Python: {error}", file=sys.stderr)
            self.extensions = []


def extensions() -> list:
    if os.environ.get("LAURELSTEP_PLAIN"):
        return []
    from mypyc.build import mypycify

    paths = [f"laurelstep/{name}.py" for name in MODULES]
    return mypycify(paths, opt_level="3", debug_level="0", group_name="laurelstep")


setup(ext_modules=extensions(), cmdclass={"build_ext": BuildWherePossible})
