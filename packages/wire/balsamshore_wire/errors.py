"""Errors of the wire layer."""


class WireError(Exception):
    """A message from a peer cannot be used."""


class AuthenticationError(WireError):
    """A message bears no valid code of any accepted key."""


class FormatError(WireError):
    """A message is authentic but does not have the agreed shape."""
