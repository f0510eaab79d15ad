"""Stand-ins of what surrounds the system; for development only."""
