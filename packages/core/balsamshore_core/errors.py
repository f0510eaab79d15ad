"""Errors of the decision layer."""


class CoreError(Exception):
    """Base of every error that the decision layer reports."""


class ConfigurationError(CoreError):
    """A configuration document was refused.

    Attributes:
        path: Where in the document the fault is, e.g. `classes.a.index`.
        fault: What is wrong there and what is accepted.
    """

    def __init__(self, path: str, fault: str):
        super().__init__(f'{path}: {fault}')
        self.path = path
        self.fault = fault
