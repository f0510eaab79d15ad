"""Errors of the forwarding node's I/O layer."""


class StoreError(Exception):
    """The operators' store returned no usable response."""
