"""Tests that the engine's actions do not depend on the hash seed."""

import subprocess
import sys
import textwrap

SCRIPT = textwrap.dedent(
    """
    import sys
    sys.path.insert(0, 'tests')
    import small
    world, nodes = small.start_world(nodes=1)
    node = nodes[0]
    inner = node.engine.step
    def step(event, now):
        output = inner(event, now)
        print(repr(output))
        return output
    node.engine.step = step
    small.warm_up(world, node)
    fewer = small.build_document(2)
    kept = {name: server for name, server in fewer['backend_servers'].items()
            if name.startswith('one')}
    fewer['backend_servers'] = kept
    fewer['indexes']['many'] = fewer['indexes']['one']
    world.document = small.encode(fewer)
    world.run(20.0)
    """
)


def test_a_trace_replays_under_any_hash_seed():
    outputs = {
        subprocess.run(
            [sys.executable, '-c', SCRIPT],
            env={'PYTHONHASHSEED': seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ('0', '1', '2', '77')
    }
    assert len(outputs) == 1
    assert b'CloseConnection' in outputs.pop()
