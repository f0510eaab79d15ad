"""Decision logic of the balsamshore query tier, without I/O."""
