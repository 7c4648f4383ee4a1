"""Which of the daemon's socket tests the library plays too: all but the table below."""

from __future__ import annotations

import pytest

SHARED = ("tests.test_sidecar", "tests.test_service")

# Test, or test[case], and why it belongs to the host server or the process alone.
_HEADS = "the host server reads heads and targets, and what it passes on is in form"
_PATHS = "a path that names no class is the wrapped app's"
_CONNECTIONS = "the host server owns the callers' connections, their waits and their number"
_PIPELINE = "the host server reads what comes behind a request, and answers it in its turn"
_PROCESS = "signals, configuration by environment and exit status are the process's"
_FORM = "test_what_is_not_in_form_is_refused_and_nothing_sent"
_PLAIN_4XX = "test_a_bad_request_gets_a_plain_4xx_and_the_connection_closed"

HOST_ONLY: dict[str, str] = {
    f"{_FORM}[absolute-form]": _HEADS,
    f"{_FORM}[fragment]": _HEADS,
    f"{_FORM}[two-slashes]": _PATHS,
    f"{_FORM}[no-length]": _PIPELINE,
    f"{_FORM}[request-behind]": _PIPELINE,
    f"{_PLAIN_4XX}[class]": _PATHS,
    f"{_PLAIN_4XX}[head]": _HEADS,
    "test_a_trailer_is_no_header": _HEADS,
    "test_a_second_request_while_the_first_is_open_ends_both": _PIPELINE,
    "test_the_rest_of_a_body_too_large_is_dropped_within_a_bound": _CONNECTIONS,
    "test_a_connection_that_comes_up_after_the_last_one_is_not_read": _CONNECTIONS,
    "test_a_connection_accepted_in_the_turn_that_closes_the_listener_is_served": _CONNECTIONS,
    "test_a_caller_that_brings_no_request_is_ended[silent]": _CONNECTIONS,
    "test_a_caller_that_brings_no_request_is_ended[half-head]": _CONNECTIONS,
    "test_a_caller_that_brings_no_request_is_ended[half-body]": (
        "the library's own wait has its test: test_a_body_that_comes_too_slowly_gets_408"
    ),
    "test_a_caller_that_asked_once_and_stays_is_ended": _CONNECTIONS,
    "test_a_crowd_of_silent_callers_makes_room_for_those_that_ask": _CONNECTIONS,
    "test_of_those_at_rest_the_longest_gives_way": _CONNECTIONS,
    "test_a_stopping_sidecar_keeps_no_connection_at_rest": (
        "SIGTERM is the process's; the library's close has its test: "
        "test_closing_waits_for_what_was_taken_and_keeps_nothing"
    ),
    "test_ready_does_not_wait_for_discovery": _PATHS,
    "test_sigterm_finishes_what_was_taken_and_exits": _PROCESS,
    "test_a_bad_configuration_is_one_line_and_an_exit": _PROCESS,
    "test_no_configuration_is_one_line_and_an_exit": _PROCESS,
    "test_sigterm_ends_it_though_half_sent_and_silent_callers_stay": _PROCESS,
    "test_a_log_that_nobody_reads_holds_nothing_up": _PROCESS,
    "test_sighup_moves_the_watch_to_what_the_file_names": _PROCESS,
}

SEEN: set[tuple[str, str, str]] = set()


def case(item: pytest.Item) -> tuple[str, str, str]:
    """Module, test with its case, and front."""
    assert isinstance(item, pytest.Function)
    name, _, ids = item.name.partition("[")
    front, _, rest = ids[:-1].partition("-")
    return item.module.__name__, f"{name}[{rest}]" if rest else name, front


def is_shared(item: pytest.Item) -> bool:
    return isinstance(item, pytest.Function) and item.module.__name__ in SHARED


def is_host_only(item: pytest.Item) -> bool:
    if not is_shared(item):
        return False
    _, name, front = case(item)
    return front == "library" and (name in HOST_ONLY or name.partition("[")[0] in HOST_ONLY)
