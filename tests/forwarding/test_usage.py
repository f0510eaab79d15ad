"""What a node says of its load."""

import time

from balsamshore_node.forwarding import usage


def burn(seconds):
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass


def test_the_start_does_not_count_as_load():
    # All nodes that start at once look busy, and each would then count all
    # of them as carriers of traffic for half a minute.
    found = usage.Usage(100.0)
    burn(0.02)
    found.measure(101.0, 0, 0.01)
    assert found.load == 0.0
    found.measure(102.0, 0, 0.01)
    burn(0.02)
    found.measure(103.0, 0, 0.01)
    assert found.load > 0.5


def test_requests_make_a_node_busy_from_the_first_second():
    found = usage.Usage(100.0)
    found.measure(101.0, 10, 1.0)
    assert found.active
