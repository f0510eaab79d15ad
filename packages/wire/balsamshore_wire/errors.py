"""Errors of the wire layer."""


class WireError(Exception):
    """Base class: a message from a peer is invalid."""


class AuthenticationError(WireError):
    """A message has no authentication code of an accepted key."""


class FormatError(WireError):
    """A message is authentic but does not conform to the schema or limits."""
