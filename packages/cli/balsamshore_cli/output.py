"""Writes results as tables on a terminal and as JSON lines when piped."""

import json
from collections.abc import Sequence
from typing import Any

import rich.box
import rich.console
import rich.markup
import rich.table

from balsamshore_node import environment

PIPED_WIDTH = 120


def write_json(env: environment.Environment, fields: Any) -> None:
    """Writes one value: indented on a terminal, one line when piped."""
    indent = 2 if env.stdout.isatty() else None
    env.stdout.write(json.dumps(fields, indent=indent) + '\n')


def write_rows(
    env: environment.Environment,
    title: str,
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
) -> None:
    """Writes rows: a table on a terminal, JSON lines when piped."""
    if not env.stdout.isatty():
        for row in rows:
            fields = dict(zip(columns, row, strict=True))
            env.stdout.write(json.dumps(fields) + '\n')
        return
    write_table(env, title, columns, rows)


def write_table(
    env: environment.Environment,
    title: str,
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
) -> None:
    """Writes a table, also when piped."""
    table = rich.table.Table(
        title=rich.markup.escape(title), box=rich.box.SIMPLE
    )
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(_format_cell(cell) for cell in row))
    width = None if env.stdout.isatty() else PIPED_WIDTH
    rich.console.Console(file=env.stdout, width=width).print(table)


def _format_cell(cell: Any) -> str:
    if isinstance(cell, float):
        return f'{cell:.4g}'
    return rich.markup.escape(str(cell))
