"""What operators publish for the forwarding side, read for a check.

Nodes read the keys of the store one by one and skip those that they cannot
decode. A check needs all of them together, and every fault.
"""

from typing import NamedTuple

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
