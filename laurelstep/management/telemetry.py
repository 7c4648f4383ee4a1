"""The figures in Prometheus's text format (exposition formats, version 0.0.4). Pure.

Written here and not by prometheus-client: its registry would be a second tally beside the
engine's own, and it adds some megabytes to a process that may have 32.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from laurelstep.engine import Engine

# A sample: its labels as written, and its value.
Sample = tuple[str, int]


def escaped(value: str) -> str:
    """A label's value as the format has it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def family(name: str, kind: str, text: str, samples: Iterable[Sample]) -> str:
    """One metric with its help, its kind and its samples."""
    lines = [f"# HELP lb_{name} {text}", f"# TYPE lb_{name} {kind}"]
    lines += [f"lb_{name}{labels} {value}" for labels, value in samples]
    return "\n".join(lines) + "\n"


def by_class(classes: Sequence[str], counts: Sequence[int]) -> list[Sample]:
    """One sample a class."""
    return [(f'{{group="{escaped(name)}"}}', count) for name, count in zip(classes, counts, strict=True)]


def figures(engine: Engine) -> str:
    """All of them, as they stand now."""
    counters, members = engine.counters, engine.endpoints
    classes = [name for name, _ in sorted(engine.names.classes.items(), key=lambda pair: pair[1])]
    avoided = engine.decisions.count_ejected(engine.now()) + len(members.draining)
    return "".join(
        (
            family("answered_total", "counter", "Requests served.", by_class(classes, counters.answered)),
            family("deferred_total", "counter", "Requests refused.", by_class(classes, counters.deferred)),
            family("errored_total", "counter", "Requests failed.", by_class(classes, counters.errored)),
            family("abandoned_total", "counter", "Clients that left.", by_class(classes, counters.abandoned)),
            family("sends_total", "counter", "Attempts written whole to endpoints.", [("", counters.sends)]),
            family("current", "gauge", "Requests taken and not ended.", [("", engine.open_request_count())]),
            family("cluster_size", "gauge", "Endpoints in the list.", [("", members.size())]),
            family("cluster_unhealthy", "gauge", "Listed endpoints avoided now.", [("", avoided)]),
        )
    )
