"""Decisions of the balsamshore query tier, free of I/O."""
