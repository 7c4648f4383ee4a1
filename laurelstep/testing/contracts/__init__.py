"""What each implementation of a side must do, as tests: for those here, the fakes, and one of your own.

A contract is a base class of tests in pytest's style. Say in a class of your own how an instance is
made, and pytest runs the rest:

    from laurelstep.testing.contracts.disk import DiskContract

    class TestMyDisk(DiskContract):
        @contextmanager
        def empty(self) -> Iterator[Callable[[], Disk]]:
            with tempfile.TemporaryDirectory() as folder:
                yield lambda: MyDisk(folder)

Without pytest, `MyDisk().failures()` runs the same and gives what failed, by the test's name.

| contract | in | of |
| --- | --- | --- |
| `ClockContract` | `clock` | `laurelstep.engine.ports.Clock` |
| `DiskContract` | `disk` | `laurelstep.store.disk.Disk` |
| `LinkContract`, `ReachableLinkContract` | `link` | `laurelstep.accord.ports.Link` |
| `MemberSourceContract`, `AskedSourceContract` | `members` | `laurelstep.engine.ports.MemberSource` |
| `RecorderContract` | `recorder` | `laurelstep.engine.ports.Recorder` |
| `StoreContract`, `LastingStoreContract` | `store` | `laurelstep.accord.ports.Store` |
| `UpstreamContract` | `upstream` | `laurelstep.engine.ports.Upstream` |

Rules that all of them follow:

1. A contract asks for nothing that the side's own text does not promise: what one implementation
   does beyond it is not held against another.
2. It brings about what it judges. What lies beyond the side (an endpoint, a folder, discovery) is
   set up by the class that uses it, behind a small protocol that the contract's module names.
3. It waits on events. `patience_s` only ends a wait for what never comes; no verdict on one that
   keeps the contract depends on it.
4. Nothing here imports pytest, and a module imports no more of the program than its side.

Each module says in its class which of its rules a test plays. `tests/test_contracts.py` runs all
implementations through them, and shows for each contract faulty ones that it catches.
"""
