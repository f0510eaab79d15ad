"""Tests of the load and activity that a node reports."""

import time

from balsamshore_node.forwarding import usage


def burn(seconds):
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass


def test_startup_does_not_count_as_load():
    # Nodes that start together all use much processor time. If that counted,
    # each would treat all others as senders of requests for half a minute.
    measured = usage.Usage(100.0)
    burn(0.02)
    measured.measure(101.0, 0, 0.01)
    assert measured.load == 0.0
    measured.measure(102.0, 0, 0.01)
    burn(0.02)
    measured.measure(103.0, 0, 0.01)
    assert measured.load > 0.5


def test_requests_make_a_node_active_from_the_first_second():
    measured = usage.Usage(100.0)
    measured.measure(101.0, 10, 1.0)
    assert measured.active


def test_one_request_at_the_start_does_not_make_a_node_active():
    # The first sample was taken some milliseconds after the start.
    measured = usage.Usage(100.0)
    measured.measure(100.02, 1, 1.0)
    assert not measured.active
    measured.measure(101.02, 1, 1.0)
    assert not measured.active
