"""Errors raised by the core package."""


class CoreError(Exception):
    """Base class of all errors raised by the core package."""


class ConfigurationError(CoreError):
    """A configuration document is invalid.

    Attributes:
        path: Path of the invalid field, such as `classes.a.index`.
        fault: What is wrong with the field and what is accepted.
    """

    def __init__(self, path: str, fault: str):
        super().__init__(f'{path}: {fault}')
        self.path = path
        self.fault = fault
