"""Errors of the command line."""


class CommandError(Exception):
    """A command failed; the message says why and what to do next."""
