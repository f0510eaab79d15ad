"""Errors of the forwarding node's I/O layer."""


class StoreError(Exception):
    """The operators' store returned no usable response."""


class ResponseTooLargeError(StoreError):
    """The response exceeds the limit of a reply."""
