"""The command line: `run` (the default), `check`, `store` and `demo`."""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__" and sys.argv[1:2] in ([], ["run"], ["--operator"]):
    # Before the imports, which take a while: without a handler, SIGHUP would end the process.
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

USAGE = """usage: laurelstep [run] [--operator FILE]   run a sidecar, configured by LB_CONFIG or by FILE
       laurelstep check FILE...            validate configurations: .toml is the operator's format
       laurelstep store verify|dump|compact|stats PATH   inspect the store of the request journal
       laurelstep demo [--seconds N] [--json]   simulated services on loopback, with a live table
"""


def read_config(environ: dict[str, str]) -> Config:
    """The platform's configuration, extended by the operator's file; without LB_CONFIG, that file alone.

    Raises `ConfigError` if it is invalid or lacks the address at which a daemon listens.
    """
    operator_path = environ.get("LB_OPERATOR")
    if not operator_path:
        return read_platform(environ, log=log)
    # Imported only here: the platform's format needs no further library.
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
    """Run a daemon, a worker or the supervisor, depending on the environment. Returns the exit status."""
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
    block_reload_signal()
    # The objects that exist now are permanent: the garbage collector need not scan them again.
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    config = read_config(environ)
    startup = prepare_hot_restart(config, environ)
    if startup is not None:
        config = startup.config_with_list(config)
    uvloop.run(serve(config, environ, read_config, startup=startup))
    return 0


def block_reload_signal() -> None:
    """Keep SIGHUP pending until the daemon handles it. Called before the configuration is read: a signal that
    arrives in between must not be lost, or this process would stay with the old discovery address.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def run_worker(environ: dict[str, str]) -> int:
    """Run one of several workers, which was started by a supervisor. Returns the exit status."""
    import uvloop

    from laurelstep.workers.worker import receive_endpoint_list, slot_from_environ

    slot = slot_from_environ(environ)
    assert slot is not None
    unblock_log()
    block_reload_signal()
    config = slot.worker_config(read_config(environ), receive_endpoint_list(slot.channel))
    gc.set_threshold(5_000, 10, 10)
    gc.freeze()
    uvloop.run(serve(config, environ, read_config, slot))
    return 0


def read_supervisor_settings(environ: dict[str, str]) -> SupervisorSettings | None:
    """The settings of `[workers]` in the operator's file; None for a single process."""
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
    """Validate the files and print one line for each. Returns the exit status: 2 if any is invalid."""
    from laurelstep.settings import read_file
    from laurelstep.settings.operator import read_operator

    if not paths:
        sys.stderr.write(USAGE)
        return 2
    status = 0
    for path in paths:
        try:
            if path.endswith(".toml"):
                read_operator(path)
            else:
                read_file(path)
            print(f"{path}: ok")
        except ConfigError as error:
            log(str(error))
            status = 2
    return status


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the subcommand that the arguments (by default `sys.argv`) name. Returns the exit status."""
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
