"""Renders the metrics in Prometheus's text format (exposition formats, version 0.0.4). Does no I/O.

prometheus-client is not used: its registry would duplicate the engine's counters, and it adds some megabytes
to a process that may have only 32 MB.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from laurelstep.engine import Engine

# The labels of a sample, as rendered, and its value.
Sample = tuple[str, int]


def escape_label(value: str) -> str:
    """Escape the value of a label as the text format requires."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def family(name: str, metric_type: str, help_text: str, samples: Iterable[Sample]) -> str:
    """Render one metric with its help text, its type and its samples."""
    lines = [f"# HELP lb_{name} {help_text}", f"# TYPE lb_{name} {metric_type}"]
    lines += [f"lb_{name}{labels} {value}" for labels, value in samples]
    return "\n".join(lines) + "\n"


def by_class(classes: Sequence[str], counts: Sequence[int]) -> list[Sample]:
    """One sample for each class."""
    return [(f'{{group="{escape_label(name)}"}}', count) for name, count in zip(classes, counts, strict=True)]


def event_samples(counts: Mapping[tuple[str, str], int]) -> list[Sample]:
    """One sample for each kind and reason of events that has occurred."""
    return [
        (f'{{kind="{escape_label(kind)}",reason="{escape_label(reason)}"}}', count)
        for (kind, reason), count in sorted(counts.items())
    ]


def render_metrics(engine: Engine) -> str:
    """Render all metrics with their current values."""
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
            family("events_total", "counter", "Events by reason.", event_samples(engine.event_log.counts)),
        )
    )
