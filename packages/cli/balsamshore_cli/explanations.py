"""Explains one request from the logs of all nodes."""

import datetime
import json
from typing import Any

from balsamshore_cli import errors
from balsamshore_cli import status
from balsamshore_node import environment

ERA_EVENT = '"era"'
RETURN_SHOWN_S = 30.0  # what the store lost is written again in less
REASONS = {
    'no_replicas': 'too few of its shards had a usable backend server',
    'evacuated': 'its usable backend servers are in evacuated failure domains',
    'overloaded': 'the service had no capacity to answer it in time',
    'rate_limited': (
        'its backend servers take no more requests in time, as they state'
    ),
    'no_time': 'the deadline of the caller left no time for it',
    'no_configuration': 'this node had no configuration yet',
    'no_route': 'no route of the configuration in force matches it',
    'timeout': 'time ran out',
    'reset': 'a backend server reset the connection',
    'closed': 'a backend server closed the connection without an answer',
    'protocol': 'a backend server sent an invalid HTTP response',
    'crossed': 'a backend server sent the answer to another request',
    'refused': 'every backend server that was tried refused it',
    'failed': 'a backend server answered with a failure',
    'truncated': 'a backend server broke off its answer',
    'quarantined': 'backend servers crashed under this request before',
    'ended': 'a backend server ended before it answered',
    'unreachable': 'no backend server could be reached',
    'stopping': 'the node was shutting down and had no time left',
    'servers_closed': (
        'its backend servers want no requests for longer than it may wait'
    ),
    'isolated': 'it was ended: several servers crashed under this request',
    'cut_off': 'the node reached no backend server at all',
    'relayed': 'another node answered it; this one reached no backend server',
    'relay_refused': 'another node refused it after it may have run',
    'relay_lost': 'the connection to another node broke off',
}
STEPS = {
    'hedge': 'was late; a hedge was sent to a second server',
    'hedge_denied': 'was late; not hedged: the retry budget was exhausted',
    'retry': 'was retried',
    'retry_denied': 'was not retried: the retry budget was exhausted',
    'attempts_used': 'was not retried: it had reached the limit of attempts',
    'sends_used': 'was not retried: it had been sent to enough servers',
    'time_used': 'was not retried: no time was left before the deadline',
    'queued': 'was sent after waiting for a connection or a rate limit',
    'refused': 'was refused by the server',
    'failed': 'failed on the server',
    'reset': 'failed: the server reset the connection',
    'closed': 'failed: the server closed the connection without an answer',
    'protocol': 'got an invalid HTTP response',
    'crossed': 'got the answer to another request',
    'truncated': 'failed: the server broke off its answer',
    'ended': 'failed: the server ended before it answered',
    'held': 'waited: a server was lost under this request',
    'alone': 'was sent alone: a server was lost under this request',
    'unreachable': 'could not be sent: the server was unreachable',
    'isolated': 'was ended: several servers crashed under this request',
    'passed_on': 'was passed on to another node',
    'checking_links': 'waited: the node checked whether it reaches any server',
    'part_failed': 'failed without further attempts',
    'missing': 'had no answer in time',
}


def explain(
    env: environment.Environment, request_id: str, files: tuple[str, ...]
) -> status.ExitStatus:
    """Writes the log entries about one request, oldest entry first.

    Given a fingerprint in place of a request id, it writes the entries about
    all repeats of a request.

    Raises:
        errors.CommandError: A file cannot be read, or no log line has the
            request id.
    """
    entries: list[dict[str, Any]] = []
    returns: list[dict[str, Any]] = []
    for file in files:
        try:
            with open(file, encoding='utf-8', errors='replace') as lines:
                _find_lines(lines, request_id, entries, returns)
        except OSError as error:
            raise errors.CommandError(f'{file}: {error.strerror}') from error
    if not entries:
        raise errors.CommandError(
            f'no log line has request id or fingerprint {request_id!r}: only '
            'a sample of the complete answers in time is logged; pass the '
            'logs of every node'
        )
    entries += [line for line in returns if _precedes(line, entries)]
    for line in sorted(entries, key=lambda line: str(line.get('time', ''))):
        env.stdout.write('\n'.join(_describe(line)) + '\n')
    return status.ExitStatus.SUCCESS


def _find_lines(
    lines: Any,
    request_id: str,
    entries: list[dict[str, Any]],
    returns: list[dict[str, Any]],
) -> None:
    """Adds the lines about a request, and those about the store's returns."""
    for line in lines:
        start = line.find('{')
        if start < 0 or not (request_id in line or ERA_EVENT in line):
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if request_id in (fields.get('request_id'), fields.get('fingerprint')):
            entries.append(fields)
        elif fields.get('event') == 'era':
            returns.append(fields)


def _precedes(line: dict[str, Any], entries: list[dict[str, Any]]) -> bool:
    """Returns whether the store came back shortly before a node's entry."""
    at = _read_time(line)
    return any(
        entry.get('vm') == line.get('vm')
        and 0 <= _read_time(entry) - at <= RETURN_SHOWN_S
        for entry in entries
    )


def _read_time(line: dict[str, Any]) -> float:
    try:
        time = datetime.datetime.fromisoformat(str(line.get('time')))
    except ValueError:
        return 0.0
    return time.timestamp()


def _describe(line: dict[str, Any]) -> list[str]:
    origin = f'{line.get("time", "?")} {line.get("vm", "?")}:'
    reason = line.get('reason', '')
    explanation = REASONS.get(reason, reason)
    if line.get('event') == 'refused':
        return [
            f'{origin} refused with {line.get("status")}'
            + (f': {explanation}' if explanation else '')
        ]
    if line.get('event') == 'era':
        return [
            f'{origin} {line.get("message")}: era {line.get("era")}, before '
            f'{line.get("before")}; what it lost may still be unknown'
        ]
    if line.get('event') == 'quarantine':
        return [
            f'{origin} request {line.get("fingerprint")}: '
            f'{line.get("message")}; last server {line.get("server")}, '
            f'{line.get("crashes")} crashes, stopped for '
            f'{line.get("stopped_s")} s'
        ]
    text = f'{origin} class {line.get("route")}, {line.get("outcome")}'
    if line.get('missing'):
        text += f', {line["missing"]} shards missing'
    text += f' after {line.get("took_ms")} ms'
    if explanation:
        text += f': {explanation}'
    if line.get('caller'):
        text += (
            f'; {line.get("method")} {line.get("host")}{line.get("path")} '
            f'from {line["caller"]}'
        )
    if line.get('fingerprint'):
        text += f'; fingerprint {line["fingerprint"]}'
    if line.get('retry_after_s'):
        text += f'; retry after {line["retry_after_s"]} s'
    output = [
        text,
        f'  decided with configuration {line.get("version")} and catalog '
        f'revision {line.get("revision")}, confirmed {line.get("checked_s")} '
        's earlier',
    ]
    for at_ms, what, service, server, detail in line.get('steps', ()):
        description = STEPS.get(what, what)
        suffix = f' ({server})' if server else ''
        details = f', {REASONS.get(detail, detail)}' if detail else ''
        output.append(
            f'  {at_ms:>6} ms  {service} {description}{suffix}{details}'
        )
    return output
