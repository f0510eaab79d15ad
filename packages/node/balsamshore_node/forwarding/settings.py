"""Settings of the forwarding node."""

from typing import NamedTuple

from balsamshore_core.forwarding import board
from balsamshore_core.forwarding import retrybudgets


class Settings(NamedTuple):
    """The node's identity, addresses and limits.

    Attributes:
        name: Unique name of the node.
        host: IP address of the VM.
        failure_domain: Failure domain of the VM.
        front_address: Address to which callers send requests.
        gossip_port: UDP port for datagrams between nodes.
        stream_port: TCP port for streams between nodes.
        seeds: Hosts of some other nodes, contacted first.
        capacity: Processor cores that the node may use.
        retry_budget_limits: Limits of each service's retry budget, for attempts
            beyond the first.
        grace_s: Time between the stop signal and the kill.
        log_level: Minimum level of logged messages.
        first_start: Whether the whole fleet starts for the first time.
        source_address: IP address from which backend servers are reached, or
            '' for the one that the kernel chooses.
        learned_capacity: Whether servers are chosen by what they were seen to
            take well.
        overload_control: Whether requests for which a service lacks capacity
            are refused.
        drain_s: How long a server goes on serving once it says that it drains.
    """

    name: str
    host: str
    failure_domain: str
    front_address: str
    gossip_port: int
    stream_port: int
    seeds: tuple[str, ...]
    capacity: float
    retry_budget_limits: retrybudgets.Limits
    grace_s: float
    log_level: str = 'INFO'
    first_start: bool = False
    source_address: str = ''
    drain_s: float = board.DEFAULT_DRAIN_S
    learned_capacity: bool = False
    overload_control: bool = False
