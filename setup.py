"""Compiles the modules on the path of every request with mypyc.

Without a working C compiler, or with LAURELSTEP_PLAIN set, the package is installed as plain Python: the
same results, but slower.
"""

import os
import sys

from setuptools import setup
from setuptools.command.build_ext import build_ext

MODULES = (
    *(
        "balancing/admission",
        "balancing/balancer",
        "balancing/concurrency_limit",
        "balancing/connections",
        "balancing/endpoints",
        "balancing/events",
        "balancing/key_queues",
        "balancing/latency",
        "balancing/membership",
        "balancing/outliers",
        "balancing/priorities",
        "balancing/requests",
        "balancing/retries",
        "balancing/selection",
        "balancing/slow_start",
        "balancing/subsets",
        "balancing/zones",
    ),
    *(
        "engine/attempts",
        "engine/body_stream",
        "engine/call",
        "engine/clock",
        "engine/counters",
        "engine/endpoint_table",
        "engine/engine",
        "engine/id_claims",
        "engine/loop_watch",
        "engine/names",
    ),
    *("lifecycle/phases", "resources/descriptors", "flow_control/buffer_budget", "flow_control/throughput"),
    *(
        "net/deadline_sweeper",
        "net/message",
        "net/read_buffer",
        "net/receive_queue",
        "net/request",
        "net/write_backlog",
    ),
    *(
        "net/client_connection",
        "net/request_receiver",
        "net/server",
        "net/server_state",
        "net/upload_receiver",
    ),
    *("net/connection_pool", "net/endpoint_connection", "net/endpoint_request"),
    *("net/endpoint_state", "net/response_receiver", "net/upstream"),
)


class OptionalBuildExt(build_ext):
    """Compiles the extension modules; without a working compiler, installs the plain modules."""

    def run(self) -> None:
        """Build the extension modules. A failure is printed and does not stop the installation."""
        try:
            super().run()
        except Exception as error:
            # Any exception: a compiler that is absent or fails raises many different types.
            print(f"laurelstep: not compiled, runs as plain Python: {error}", file=sys.stderr)
            self.extensions = []


def extensions() -> list:
    """Return the extension modules for `MODULES`; none with LAURELSTEP_PLAIN set."""
    if os.environ.get("LAURELSTEP_PLAIN"):
        return []
    from mypyc.build import mypycify

    paths = [f"laurelstep/{name}.py" for name in MODULES]
    return mypycify(paths, opt_level="3", debug_level="0", group_name="laurelstep")


setup(ext_modules=extensions(), cmdclass={"build_ext": OptionalBuildExt})
