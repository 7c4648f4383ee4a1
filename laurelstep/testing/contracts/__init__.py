"""Contracts: tests that every implementation of a port must pass: built-in ones, fakes and your own.

A contract is a base class of tests in pytest's style. Override in a subclass how an instance is created,
and pytest runs the tests:

    from laurelstep.testing.contracts.disk import DiskContract

    class TestMyDisk(DiskContract):
        @contextmanager
        def empty_folder(self) -> Iterator[Callable[[], Disk]]:
            with tempfile.TemporaryDirectory() as folder:
                yield lambda: MyDisk(folder)

Without pytest, `TestMyDisk().failures()` runs the same tests and returns the errors by test name.

| contract | module | port |
| --- | --- | --- |
| `ClockContract` | `clock` | `laurelstep.engine.ports.Clock` |
| `DiskContract` | `disk` | `laurelstep.store.disk.Disk` |
| `LinkContract`, `ReachableLinkContract` | `link` | `laurelstep.consensus.ports.Link` |
| `MemberSourceContract`, `PolledSourceContract` | `members` | `laurelstep.engine.ports.MemberSource` |
| `RecorderContract` | `recorder` | `laurelstep.engine.ports.Recorder` |
| `StoreContract`, `DurableStoreContract` | `store` | `laurelstep.consensus.ports.Store` |
| `UpstreamContract` | `upstream` | `laurelstep.engine.ports.Upstream` |

Rules for all contracts:

1. A contract tests only what the port's documentation promises, not what one implementation does beyond it.
2. It triggers each condition that it checks. The subclass sets up the port's environment (an endpoint, a
   folder, discovery) behind a small protocol that the contract's module defines.
3. It waits on events. `timeout_s` only ends a wait for an event that never occurs; the result for an
   implementation that fulfils the contract does not depend on it.
4. No module here imports pytest, nor more of the program than its port.

Each contract lists its rules in its docstring. `tests/test_contracts.py` runs the contracts on all
implementations, and on faulty ones that they must detect.
"""
