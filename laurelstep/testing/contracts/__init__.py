"""Contracts: tests that every implementation of a port must pass, those here, fakes, and your own.

A contract is a base class of tests in pytest's style. Say in a class of your own how an instance is
made, and pytest runs the rest:

    from laurelstep.testing.contracts.disk import DiskContract

    class TestMyDisk(DiskContract):
        @contextmanager
        def empty_folder(self) -> Iterator[Callable[[], Disk]]:
            with tempfile.TemporaryDirectory() as folder:
                yield lambda: MyDisk(folder)

Without pytest, `TestMyDisk().failures()` runs the same and gives the errors by test name.

| contract | module | port |
| --- | --- | --- |
| `ClockContract` | `clock` | `laurelstep.engine.ports.Clock` |
| `DiskContract` | `disk` | `laurelstep.store.disk.Disk` |
| `LinkContract`, `ReachableLinkContract` | `link` | `laurelstep.consensus.ports.Link` |
| `MemberSourceContract`, `PolledSourceContract` | `members` | `laurelstep.engine.ports.MemberSource` |
| `RecorderContract` | `recorder` | `laurelstep.engine.ports.Recorder` |
| `StoreContract`, `LastingStoreContract` | `store` | `laurelstep.consensus.ports.Store` |
| `UpstreamContract` | `upstream` | `laurelstep.engine.ports.Upstream` |

Rules that all of them follow:

1. A contract tests nothing that the port's documentation does not promise: what one implementation
   does beyond it is not required of another.
2. It causes what it checks. The port's environment (an endpoint, a folder, discovery) is set up by the
   class that uses the contract, behind a small protocol that the contract's module names.
3. It waits on events. `timeout_s` only ends a wait for what never comes; no verdict on an implementation
   that keeps the contract depends on it.
4. Nothing here imports pytest, and a module imports no more of the program than its port.

Each contract lists its rules in its docstring. `tests/test_contracts.py` runs all
implementations through them, and shows for each contract faulty ones that it catches.
"""
