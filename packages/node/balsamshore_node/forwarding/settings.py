"""What the forwarding node is told about its place."""

from typing import NamedTuple

from balsamshore_core.forwarding import allowances


class Settings(NamedTuple):
    """The node's place and bounds.

    Attributes:
        name: Names the node.
        host: IP address of the VM.
        failure_domain: Where it stands.
        front_address: Where callers send requests.
        gossip_port: Datagrams between nodes.
        stream_port: Streams between nodes.
        seeds: Hosts of some other nodes.
        capacity: Processor, in cores.
        retry_budget_limits: Bounds of the retry budget.
        grace_s: From the stop signal to the kill.
        log_level: Least level that is logged.
        first_start: Whether the whole fleet starts for the first time.
    """

    name: str
    host: str
    failure_domain: str
    front_address: str
    gossip_port: int
    stream_port: int
    seeds: tuple[str, ...]
    capacity: float
    retry_budget_limits: allowances.Limits
    grace_s: float
    log_level: str = 'INFO'
    first_start: bool = False
