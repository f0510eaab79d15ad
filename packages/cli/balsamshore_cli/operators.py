"""Implements the commands for operators."""

import pathlib
from typing import Any

from balsamshore_cli import client
from balsamshore_cli import errors
from balsamshore_cli import output
from balsamshore_cli import queries
from balsamshore_cli import status
from balsamshore_core import configuration
from balsamshore_core import targets
from balsamshore_core import traces
from balsamshore_node import environment


def show_status(env: environment.Environment, vms: str) -> status.ExitStatus:
    """Shows the status of one node: classes, members and problems."""
    view = client.Client(queries.list_vms(env, vms)).read('/v1/status')
    if not env.stdout.isatty():
        output.write_json(env, view)
        return status.ExitStatus.SUCCESS
    env.stdout.write(
        f'VM {view["vm"]}: {view["state"]}, configuration {view["version"]}, '
        f'extra load {view["extra_load"]:.1%}\n'
    )
    if view.get('evacuated_domains'):
        domains = ', '.join(view['evacuated_domains'])
        env.stdout.write(f'Evacuated failure domains: {domains}\n')
    for problem in view['problems'] or ['Nothing is wrong.']:
        env.stdout.write(f'- {problem}\n')
    columns = ('class', 'in target', 'asked', 'coverage', 'p50 ms', 'p99 ms')
    rows = [
        (
            entry['name'],
            f'{entry["attainment"]:.1%}',
            f'{entry["target"]["quantile"]:.1%}',
            f'{entry["coverage"]:.2%}',
            entry['p50_ms'],
            entry['p99_ms'],
        )
        for entry in view['classes']
    ]
    output.write_table(env, 'classes', columns, rows)
    members = [tuple(entry.values()) for entry in view['members']]
    names = ('vm', 'state', 'failure domain', 'version')
    output.write_table(env, 'VMs', names, members)
    return status.ExitStatus.SUCCESS


def show_targets(env: environment.Environment, vms: str) -> status.ExitStatus:
    """Shows the targets in force."""
    current = client.Client(queries.list_vms(env, vms)).read('/v1/targets')
    columns = ('class', *targets.Target.__annotations__)
    rows = [
        (name, *target.values()) for name, target in current['classes'].items()
    ]
    title = f'targets of configuration {current["version"]}'
    output.write_rows(env, title, columns, rows)
    return status.ExitStatus.SUCCESS


def check_document(
    env: environment.Environment, file: str
) -> status.ExitStatus:
    """Validates a configuration document in the same way as a node."""
    checked = configuration.parse_document(read_file(file))
    if checked.is_error():
        env.stderr.write(
            f'{file}: a node would reject this document: {checked.error}\n'
            'Correct the file and check it again.\n'
        )
        return status.ExitStatus.CHECK_FAILED
    document = checked.ok
    output.write_json(
        env,
        {
            'accepted': True,
            'version': document.version,
            'digest': document.digest,
            'classes': len(document.classes),
            'backend_servers': len(document.backend_servers),
        },
    )
    return status.ExitStatus.SUCCESS


def compare_targets(
    env: environment.Environment, file: str, vms: str
) -> status.ExitStatus:
    """Compares the targets in a document with those in force."""
    checked = configuration.parse_document(read_file(file))
    if checked.is_error():
        raise errors.CommandError(f'{file}: {checked.error}; correct it first')
    current = client.Client(queries.list_vms(env, vms)).read('/v1/targets')
    proposed = targets.describe_classes(checked.ok)
    rows = _list_differences(current['classes'], proposed)
    if checked.ok.version <= current['version']:
        env.stderr.write(
            f'{file}: version {checked.ok.version} would be ignored, because '
            f'version {current["version"]} is in force. '
            'Use a higher version.\n'
        )
    columns = ('class', 'field', 'in force', 'in the file')
    output.write_rows(env, 'differences', columns, rows)
    return status.ExitStatus.SUCCESS


def evacuate_domain(
    env: environment.Environment, domain: str, back: bool, vms: str
) -> status.ExitStatus:
    """Writes the document that evacuates a failure domain, to be published.

    Args:
        env: The process environment.
        domain: The failure domain.
        back: Whether its servers are to be used again.
        vms: Addresses of entry VMs.
    """
    nodes = client.Client(queries.list_vms(env, vms))
    domains = set(nodes.read('/v1/status')['evacuated_domains'])
    domains = domains - {domain} if back else domains | {domain}
    verdict = nodes.check_change(
        {'classes': {}, 'evacuated_domains': sorted(domains)}
    )
    if not verdict['accepted']:
        env.stderr.write(f'balsamshore: {verdict["fault"]}\n')
        return status.ExitStatus.CHECK_FAILED
    output.write_json(env, verdict['document'])
    return status.ExitStatus.SUCCESS


def replay_trace(env: environment.Environment, file: str) -> status.ExitStatus:
    """Replays a trace; fails the check when any action differs."""
    lines = read_file(file).decode('utf-8', 'replace').splitlines()
    steps = differing = 0
    first = 0
    try:
        for step in traces.replay(lines):
            steps += 1
            if not step.same:
                differing += 1
                first = first or step.line
    except traces.TraceError as error:
        raise errors.CommandError(
            f'{file}: {error}; capture the trace again with --capture_file'
        ) from error
    output.write_json(
        env,
        {'steps': steps, 'differing': differing, 'first_differing_line': first},
    )
    if differing or not steps:
        return status.ExitStatus.CHECK_FAILED
    return status.ExitStatus.SUCCESS


def read_file(file: str) -> bytes:
    """Reads a file that the user named.

    Raises:
        CommandError: It cannot be read.
    """
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        raise errors.CommandError(f'{file}: {error.strerror}') from error


def _list_differences(
    before: dict[str, Any], after: dict[str, Any]
) -> list[tuple[str, str, Any, Any]]:
    rows = []
    for name in sorted(set(before) | set(after)):
        old, new = before.get(name, {}), after.get(name, {})
        for field in targets.Target.__annotations__:
            if old.get(field) != new.get(field):
                rows.append((name, field, old.get(field), new.get(field)))
    return rows
