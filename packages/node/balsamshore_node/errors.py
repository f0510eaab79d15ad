"""Errors of the node."""


class NodeError(Exception):
    """Base class of the errors of this package."""


class SettingsError(NodeError):
    """The settings are invalid.

    Attributes:
        problems: One line per setting: flag, value and what is accepted.
    """

    def __init__(self, problems: tuple[str, ...]):
        super().__init__('\n'.join(problems))
        self.problems = problems


class RequestError(NodeError):
    """A caller's request was rejected before it became a query.

    Attributes:
        status: HTTP status code.
        reason: Machine-readable error code.
        message: What is wrong with the request.
        advice: Recommended next step.
    """

    def __init__(self, status: int, reason: str, message: str, advice: str):
        super().__init__(message)
        self.status = status
        self.reason = reason
        self.message = message
        self.advice = advice


class PeerError(NodeError):
    """A peer was unreachable or its response was unusable."""


class BackendError(NodeError):
    """A connection to a backend server failed.

    Attributes:
        cause: `refused`, `reset`, `closed` or `protocol`.
    """

    def __init__(self, cause: str):
        super().__init__(cause)
        self.cause = cause
