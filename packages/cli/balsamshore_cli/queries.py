"""Implements the commands for callers."""

import json
import os
from typing import Any
from typing import NamedTuple

from balsamshore_cli import client
from balsamshore_cli import errors
from balsamshore_cli import output
from balsamshore_cli import status
from balsamshore_node import environment

VMS_VARIABLE = 'BALSAMSHORE_VMS'


class QueryOptions(NamedTuple):
    """Command line options of a request, as given."""

    class_name: str
    request: str
    vms: str
    deadline_ms: str
    domain: str
    stream: str
    request_id: str


def list_vms(env: environment.Environment, vms: str) -> list[str]:
    """Returns the VMs from the flag, or else from the environment."""
    text = vms or env.variables.get(VMS_VARIABLE, '')
    if not text:
        raise errors.CommandError(
            f'no VMs given; use --vms=HOST:PORT,... or set {VMS_VARIABLE}'
        )
    return text.split(',')


def run_query(
    env: environment.Environment, options: QueryOptions
) -> status.ExitStatus:
    """Runs an idempotent query, which may be retried."""
    entry_client = _connect(env, options)
    fields = _build_fields(options)
    if options.stream != 'no':
        return _stream_answer(env, entry_client, fields)
    return _show_answer(env, entry_client.query(fields))


def run_fetch(
    env: environment.Environment, options: QueryOptions
) -> status.ExitStatus:
    """Runs a request at most once, identified by a request id."""
    entry_client = _connect(env, options)
    fields = _build_fields(options)
    request_id = options.request_id or entry_client.create_request_id()
    env.stderr.write(f'request id {request_id}\n')
    fields['request_id'] = request_id
    return _show_answer(env, entry_client.query(fields))


def show_addresses(
    env: environment.Environment, vms: str, caller: str, domain: str
) -> status.ExitStatus:
    """Shows the addresses that a caller should use."""
    entry_client = client.Client(list_vms(env, vms))
    name = caller or f'cli-{os.getpid()}'
    output.write_json(env, entry_client.find_addresses(name, domain))
    return status.ExitStatus.SUCCESS


def _connect(
    env: environment.Environment, options: QueryOptions
) -> client.Client:
    entry_client = client.Client(list_vms(env, options.vms))
    entry_client.use_recommended_addresses(f'cli-{os.getpid()}', options.domain)
    return entry_client


def _build_fields(options: QueryOptions) -> dict[str, Any]:
    try:
        request = json.loads(options.request)
    except ValueError as error:
        raise errors.CommandError(
            f'the request is not valid JSON ({error}); '
            'quote it for the shell, for example \'{"key": "KL-1"}\''
        ) from error
    try:
        deadline_ms = float(options.deadline_ms)
    except ValueError:
        raise errors.CommandError(
            f'--deadline_ms={options.deadline_ms}: must be a number'
        ) from None
    return {
        'class': options.class_name,
        'request': request,
        'deadline_ms': deadline_ms,
    }


def _stream_answer(
    env: environment.Environment,
    entry_client: client.Client,
    fields: dict[str, Any],
) -> status.ExitStatus:
    last: dict[str, Any] = {}
    for line in entry_client.stream(fields):
        env.stdout.write(line + '\n')
        env.stdout.flush()
        last = json.loads(line)
    return status.BY_OUTCOME.get(
        last.get('outcome', ''), status.ExitStatus.ERROR
    )


def _show_answer(
    env: environment.Environment, answer: dict[str, Any]
) -> status.ExitStatus:
    output.write_json(env, answer)
    if answer.get('next'):
        env.stderr.write(f'{answer["message"]}; {answer["next"]}\n')
    return status.BY_OUTCOME[answer['outcome']]
