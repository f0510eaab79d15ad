"""The I/O layer around `balsamshore_core.forwarding`: sockets and clocks."""
