"""Connections to backend servers: pooling, dispatch, silence."""
