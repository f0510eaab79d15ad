"""What operators publish for the forwarding side, read for a check.

Nodes read the keys of the store one by one and skip those that they cannot
decode. A check needs all of them together, and every fault.
"""

import collections.abc
from typing import Any
from typing import NamedTuple

from balsamshore_core.forwarding import evacuations
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers


class Fault(NamedTuple):
    """A value that nodes cannot decode.

    Attributes:
        path: Key of the value, and the place in it if it is known.
        text: What is wrong.
    """

    path: str
    text: str


class Publication(NamedTuple):
    """A route table and, if they are known, the servers it is used with.

    Attributes:
        table: The route table.
        services: Services in the order of the document. A name may occur
            twice, of which `table` keeps the last one.
        entries: Entries of the servers, or None if they are not known.
        evacuated_domains: Evacuated failure domains.
    """

    table: routes.RouteTable
    services: tuple[routes.Service, ...]
    entries: tuple[servers.ServerEntry, ...] | None = None
    evacuated_domains: tuple[str, ...] = ()


class Reading(NamedTuple):
    """The result of reading a document.

    Attributes:
        publication: What was read, or None if the table cannot be decoded.
        faults: Values that cannot be decoded.
    """

    publication: Publication | None
    faults: tuple[Fault, ...]


def collect(
    values: collections.abc.Sequence[Any],
    services: tuple[routes.Service, ...],
    is_listing: bool,
) -> Publication:
    """Builds a publication from decoded values, a route table among them.

    Args:
        values: Route tables, server entries and evacuations.
        services: Services in the order of the document.
        is_listing: Whether all values of the store are given.
    """
    entries = tuple(
        value for value in values if isinstance(value, servers.ServerEntry)
    )
    return Publication(
        next(value for value in values if isinstance(value, routes.RouteTable)),
        services,
        entries if is_listing else None,
        tuple(
            value.failure_domain
            for value in values
            if isinstance(value, evacuations.Evacuation)
        ),
    )
