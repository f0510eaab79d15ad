"""Forwarding of opaque requests: routes, servers, exchanges and the fleet."""
