"""Connections to backend servers: pools, dispatch, half-open detection."""
