"""Errors of the command line."""


class CommandError(Exception):
    """A command cannot do its work; the text says what to do next."""
