"""Stand-ins for the system's surroundings, for development and tests."""
