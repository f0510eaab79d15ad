"""Measurements behind docs/CAPACITY.md and docs/DESIGN.md."""
