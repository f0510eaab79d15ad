"""The balsamshore node: sockets, HTTP and telemetry around the engine."""
