"""Errors of the node."""


class NodeError(Exception):
    """Base of every error of the node's shell."""


class SettingsError(NodeError):
    """Settings were refused.

    Attributes:
        faults: One line each, naming flag, value and what is accepted.
    """

    def __init__(self, problems: tuple[str, ...]):
        super().__init__('\n'.join(problems))
        self.problems = problems


class RequestError(NodeError):
    """A caller's request was refused before it became a query.

    Attributes:
        status: HTTP status.
        reason: Machine-readable word.
        message: What is wrong.
        advice: What to do next.
    """

    def __init__(self, status: int, reason: str, message: str, advice: str):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.message = message
        self.advice = advice


class PeerError(NodeError):
    """A peer could not be asked or gave no usable answer."""


class BackendError(NodeError):
    """A backend server broke the protocol on a connection.

    Attributes:
        cause: `refused`, `reset`, `closed` or `protocol`.
    """

    def __init__(self, cause: str):
        super().__init__(cause)
        self.cause = cause
