"""Which socket tests run on both fronts, the daemon and the library: all but those in `HOST_ONLY`."""

from __future__ import annotations

import pytest

SHARED = ("tests.test_sidecar", "tests.test_service")

# Tests, or single cases as test[case], that run on the daemon alone, with the reason: in an application that
# uses the library, these are tasks of the host server or of the process.
_HEADS = "the host server parses heads and targets, and passes on only well-formed ones"
_PATHS = "a path that names no class is handled by the wrapped application"
_CONNECTIONS = "the host server owns the client connections, their time-outs and their number"
_PIPELINE = "the host server reads pipelined requests, and answers them in order"
_PROCESS = "signals, configuration by environment and exit status belong to the process"
_FORM = "test_a_malformed_request_is_rejected_and_not_forwarded"
_PLAIN_4XX = "test_an_invalid_request_gets_a_4xx_and_its_connection_is_closed"

HOST_ONLY: dict[str, str] = {
    f"{_FORM}[absolute-form]": _HEADS,
    f"{_FORM}[fragment]": _HEADS,
    f"{_FORM}[two-slashes]": _PATHS,
    f"{_FORM}[no-length]": _PIPELINE,
    f"{_FORM}[pipelined-request]": _PIPELINE,
    f"{_PLAIN_4XX}[class]": _PATHS,
    f"{_PLAIN_4XX}[head]": _HEADS,
    "test_a_trailer_is_not_treated_as_a_header": _HEADS,
    "test_a_pipelined_request_is_rejected_and_cancels_the_open_one": _PIPELINE,
    "test_the_rest_of_an_oversized_body_is_discarded_up_to_a_limit": _CONNECTIONS,
    "test_a_connection_set_up_after_the_shutdown_is_not_read": _CONNECTIONS,
    "test_a_connection_accepted_while_the_listener_closes_is_served": _CONNECTIONS,
    "test_a_connection_without_a_complete_request_is_closed[silent]": _CONNECTIONS,
    "test_a_connection_without_a_complete_request_is_closed[half-head]": _CONNECTIONS,
    "test_a_connection_without_a_complete_request_is_closed[half-body]": (
        "the library has its own time-out, tested by test_a_body_that_comes_too_slowly_gets_408"
    ),
    "test_an_idle_client_connection_is_closed": _CONNECTIONS,
    "test_silent_connections_are_evicted_for_new_ones": _CONNECTIONS,
    "test_the_longest_idle_connection_is_evicted_first": _CONNECTIONS,
    "test_a_stopping_sidecar_keeps_no_idle_connection": (
        "SIGTERM belongs to the process; the library's close is tested by "
        "test_closing_finishes_open_requests_and_closes_all_connections"
    ),
    "test_readiness_does_not_wait_for_discovery": _PATHS,
    "test_sigterm_finishes_open_requests_and_exits": _PROCESS,
    "test_an_invalid_configuration_logs_one_line_and_exits": _PROCESS,
    "test_a_missing_configuration_logs_one_line_and_exits": _PROCESS,
    "test_sigterm_ends_the_process_despite_incomplete_requests_and_silent_clients": _PROCESS,
    "test_a_full_log_pipe_does_not_block_the_process": _PROCESS,
    "test_sighup_moves_the_watch_to_the_new_discovery_address": _PROCESS,
}

SEEN: set[tuple[str, str, str]] = set()  # all collected cases, in the form of `case`


def case(item: pytest.Item) -> tuple[str, str, str]:
    """The module, the test with its case, and the front of a test item."""
    assert isinstance(item, pytest.Function)
    name, _, ids = item.name.partition("[")
    front, _, case_id = ids[:-1].partition("-")
    return item.module.__name__, f"{name}[{case_id}]" if case_id else name, front


def is_shared(item: pytest.Item) -> bool:
    return isinstance(item, pytest.Function) and item.module.__name__ in SHARED


def is_host_only(item: pytest.Item) -> bool:
    if not is_shared(item):
        return False
    _, name, front = case(item)
    return front == "library" and (name in HOST_ONLY or name.partition("[")[0] in HOST_ONLY)
