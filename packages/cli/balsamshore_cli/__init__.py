"""The `balsamshore` command line for callers and operators."""
