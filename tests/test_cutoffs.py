"""Nodes of our own interface that reach no backend server, in virtual time."""

import pytest
import small

from balsamshore_core import actions
from balsamshore_core import addresses
from balsamshore_core import events
from balsamshore_standins import fakes

DETECTION_S = 2.0
INTERVAL_S = 0.1  # between queries
MAX_REFUSAL_S = 0.05


@pytest.fixture
def cut_off(monkeypatch):
    """Returns a function that resets and refuses a node's connections."""
    open_connection = fakes.ACTION_HANDLERS[actions.OpenConnection]

    def cut(world, node):
        def refuse(_world, opener, action):
            if opener is not node:
                open_connection(world, opener, action)
                return
            lost = events.ConnectionLost(action.connection_id, False, 'refused')
            world.schedule(fakes.CONNECT_S, lambda: world.feed(node, lost))

        monkeypatch.setitem(
            fakes.ACTION_HANDLERS, actions.OpenConnection, refuse
        )
        for connection in tuple(node.open_connections):
            world._drop_connection(node, connection, 'reset')

    return cut


def load(world, node, seconds):
    """Sends queries at a steady rate; returns their ids and times."""
    asked = []
    for number in range(round(seconds / INTERVAL_S)):
        sent_at = world.now
        asked.append((world.query(node, 'whole', b'"%d"' % number), sent_at))
        world.run(INTERVAL_S)
    world.run(1.0)
    return asked


def test_callers_are_not_directed_to_a_node_that_reaches_no_server(cut_off):
    world, (node, other, _) = small.start_world(nodes=3)
    small.warm_up(world, node)
    cut_off(world, node)
    load(world, node, DETECTION_S)
    for asked in (node, other):
        answer = addresses.answer_addresses(asked.board, 'c', '', 1.0)
        assert answer.addresses
        assert node.board.identity.address not in answer.addresses


def test_a_node_that_reaches_no_server_refuses_at_once(cut_off):
    world, (node, *_) = small.start_world(nodes=3)
    small.warm_up(world, node)
    cut_off(world, node)
    load(world, node, DETECTION_S)
    for query_id, sent_at in load(world, node, 1.0):
        assert node.answers[query_id].outcome == 'not run'
        assert node.answered_at[query_id] - sent_at < MAX_REFUSAL_S
