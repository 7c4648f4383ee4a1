"""The command: `run` (also with no word), `check`, `store`, `demo`."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__" and sys.argv[1:2] in ([], ["run"], ["--operator"]):
    # Before the imports, which take a while: SIGHUP ends a process that does not know it yet.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

import gc
import os
from collections.abc import Sequence
from typing import TYPE_CHECKING

from laurelstep.daemon import serve
from laurelstep.net.log import log, unblock_log
from laurelstep.settings import Config, ConfigError, read_platform
from laurelstep.subsystems.hot_restart import prepare_hot_restart

if TYPE_CHECKING:
    from laurelstep.workers.supervisor import SupervisorSettings

USAGE = """usage: laurelstep [run] [--operator FILE]   one sidecar, told by LB_CONFIG or by FILE
       laurelstep check FILE...            check configurations: .toml is the operator's form
       laurelstep store verify|dump|compact|stats PATH   the store of the request journal
       laurelstep demo [--seconds N] [--json]   a small world on loopback, with a live table
"""


def read_config(environ: dict[str, str]) -> Config:
    """The platform's configuration where there is one; else the operator's file alone."""
    operator_path = environ.get("LB_OPERATOR")
    if not operator_path:
        return read_platform(environ, log=log)
    # Imported when asked for: the platform's own form needs no further library.
    from laurelstep.settings.operator import read_operator

    operator = read_operator(operator_path)
    if not environ.get("LB_CONFIG"):
        config = operator.config(operator_path)
        if config.listen is None:
            raise ConfigError(f"{operator_path}: deployment.listen: expected host:port for a daemon")
        return config
    if operator.deployment is not None:
        raise ConfigError(f"{operator_path}: deployment: expected none where LB_CONFIG is set")
    return read_platform(environ, operator.orders_settings(), operator.config_extension(operator_path), log)


def run(arguments: Sequence[str]) -> int:
    """Run the balancer, a worker or the supervisor, as the settings say; the process's exit status."""
    environ = dict(os.environ)
    if arguments[:1] == ["--operator"] and len(arguments) == 2:
        environ["LB_OPERATOR"] = arguments[1]
    elif arguments:
        sys.stderr.write(USAGE)
        return 2
    if environ.get("LAURELSTEP_WORKER"):
        return run_worker(environ)
    if (supervisor_settings := read_supervisor_settings(environ)) is not None:
        from laurelstep.workers.supervisor import run_supervisor

        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        return run_supervisor(supervisor_settings, environ)
    import uvloop

    unblock_log()
    hold_reload()
    # What stands now stays: the collector need not walk it again.
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    config = read_config(environ)
    arrival = prepare_hot_restart(config, environ)
    if arrival is not None:
        config = arrival.config(config)
    uvloop.run(serve(config, environ, read_config, arrival=arrival))
    return 0


def hold_reload() -> None:
    """From before the configuration is read until there is something to reload, SIGHUP waits: what
    is told in between must not be lost, or this process would stay with the old discovery.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def run_worker(environ: dict[str, str]) -> int:
    """One worker of several."""
    import uvloop

    from laurelstep.workers.worker import receive_endpoint_list, slot_from_environ

    slot = slot_from_environ(environ)
    assert slot is not None
    unblock_log()
    hold_reload()
    config = slot.worker_config(read_config(environ), receive_endpoint_list(slot.channel))
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    uvloop.run(serve(config, environ, read_config, slot))
    return 0


def read_supervisor_settings(environ: dict[str, str]) -> SupervisorSettings | None:
    """What the operator's file says of several workers; None for one process."""
    path = environ.get("LB_OPERATOR")
    if not path or environ.get("LB_CONFIG"):
        return None
    from laurelstep.settings.operator import read_operator

    table = read_operator(path).workers
    if table is None or table.processes == 1:
        return None
    from laurelstep.workers.supervisor import SupervisorSettings

    return SupervisorSettings(
        table.processes,
        table.restart_first_ms * 1000,
        table.restart_most_ms * 1000,
        table.ready_ms * 1000,
    )


def check(paths: Sequence[str]) -> int:
    """One line for each file; 2 if one of them can't be used."""
    from laurelstep.settings import read_file
    from laurelstep.settings.operator import read_operator

    if not paths:
        sys.stderr.write(USAGE)
        return 2
    failed = 0
    for path in paths:
        try:
            if path.endswith(".toml"):
                read_operator(path)
            else:
                read_file(path)
            print(f"{path}: ok")
        except ConfigError as error:
            log(str(error))
            failed = 2
    return failed


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the subcommand that the arguments name (`sys.argv` by default); the process's exit status."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    try:
        match words:
            case ["check", *paths]:
                return check(paths)
            case ["demo", *rest]:
                from laurelstep.demo import main as demo

                return demo(rest)
            case ["store", *rest]:
                from laurelstep.store.cli import main as store

                return store(rest)
            case ["run", *rest]:
                return run(rest)
            case ["-h" | "--help"]:
                sys.stdout.write(USAGE)
                return 0
            case _:
                return run(words)
    except ConfigError as error:
        log(str(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
