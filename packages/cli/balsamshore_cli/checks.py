"""Implements `balsamshore check-configuration`."""

import collections.abc
import importlib
import importlib.metadata
import json
from typing import NamedTuple

from balsamshore_cli import client
from balsamshore_cli import documentchecks
from balsamshore_cli import errors
from balsamshore_cli import findings
from balsamshore_cli import operators
from balsamshore_cli import output
from balsamshore_cli import queries
from balsamshore_cli import routechecks
from balsamshore_cli import status
from balsamshore_core import membership
from balsamshore_core.forwarding import publications
from balsamshore_node import environment

DECODERS_GROUP = 'balsamshore.decoders'  # entry points that packages register
Checker = collections.abc.Callable[[bytes, int], findings.Report]
Reader = collections.abc.Callable[[bytes], publications.Reading]


class CheckOptions(NamedTuple):
    """Command line options of a check, as given."""

    file: str
    against: str
    vms: str
    decoder: str
    nodes: str


class InForce(NamedTuple):
    """What nodes have in force, and how many nodes there are."""

    document: bytes
    nodes: int


def check_configuration(
    env: environment.Environment, options: CheckOptions
) -> status.ExitStatus:
    """Shows what is wrong with a document and how it differs.

    Args:
        env: The process environment.
        options: The command line options.
    """
    fault = _find_usage_fault(options)
    if fault:
        env.stderr.write(f'balsamshore: {fault}\n')
        return status.ExitStatus.USAGE
    document = operators.read_file(options.file)
    in_force = _read_in_force(env, options)
    nodes = int(options.nodes) or (in_force.nodes if in_force else 0)
    check = _choose_checker(options.decoder)
    report = check(document, nodes)
    found = list(report.findings)
    if in_force is not None:
        former = check(in_force.document, nodes)
        if former.view is None:
            raise errors.CommandError(
                f'the version in force is invalid: {former.findings[0].path}: '
                f'{former.findings[0].detail}; name another with --against'
            )
        found += findings.compare(former, report)
    return _show_findings(env, options.file, found)


def _find_usage_fault(options: CheckOptions) -> str:
    if not (options.nodes.isascii() and options.nodes.isdigit()):
        return f'--nodes={options.nodes}: must be a whole number'
    if options.against and options.vms:
        return 'give either --against or --vms'
    if options.decoder and options.vms:
        return '--vms serve no document for --decoder; use --against'
    return ''


def _read_in_force(
    env: environment.Environment, options: CheckOptions
) -> InForce | None:
    """Reads the version in force; None if there is none to compare with."""
    if options.against:
        return InForce(operators.read_file(options.against), 0)
    variable = env.variables.get(queries.VMS_VARIABLE)
    if options.decoder or not (options.vms or variable):
        return None
    return _ask_nodes(client.Client(queries.list_vms(env, options.vms)))


def _ask_nodes(nodes: client.Client) -> InForce:
    """Reads the version in force by the check of an empty change."""
    verdict = nodes.check_change({'classes': {}})
    if not verdict['accepted']:
        raise errors.CommandError(
            f'{verdict["fault"]}; or name a file with --against'
        )
    document = verdict['document']
    document['version'] -= 1  # a node answers with the next version
    members = [
        member
        for member in nodes.read('/v1/status')['members']
        if member['status'] in membership.PRESENT_STATUSES
    ]
    return InForce(json.dumps(document).encode(), len(members))


def _choose_checker(decoder: str) -> Checker:
    """Returns the check of the own document, or that of a decoder's one."""
    if not decoder:
        return documentchecks.check_document
    read = _load_reader(decoder)
    return lambda document, nodes: routechecks.check_reading(
        read(document), nodes
    )


def _load_reader(decoder: str) -> Reader:
    """Loads a decoder by the name of its entry point or of its module."""
    registered = importlib.metadata.entry_points(
        group=DECODERS_GROUP, name=decoder
    )
    modules = [point.module for point in registered] or [decoder]
    try:
        return importlib.import_module(modules[0]).read_document
    except (ModuleNotFoundError, AttributeError, ValueError) as error:
        raise errors.CommandError(
            f'--decoder={decoder}: no such decoder ({error}); give the name '
            'of an installed one or of its module'
        ) from error


def _show_findings(
    env: environment.Environment, file: str, found: list[findings.Finding]
) -> status.ExitStatus:
    if not found:
        if env.stdout.isatty():
            env.stdout.write(f'{file}: nothing found\n')
        return status.ExitStatus.SUCCESS
    output.write_rows(env, file, findings.Finding._fields, found)
    return status.ExitStatus.CHECK_FAILED
