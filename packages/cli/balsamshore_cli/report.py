"""The benchmark's HTML report with plots."""

import base64
import html
import io
import pathlib
from collections.abc import Sequence
from typing import Any

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 16px; }
table { border-collapse: collapse; }
td, th { border-bottom: 1px solid #8884; padding: 4px 8px; text-align: left; }
img { max-width: 100%; }
"""
COLOURS = {'node': 'tab:blue', 'baseline': 'tab:orange'}
COLUMNS_OF_PLOTS = 3


def write_report(
    path: pathlib.Path,
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
    results: Sequence[Any],
) -> None:
    """Writes one self-contained page.

    Args:
        path: Where to write it.
        columns: Heads of the table.
        rows: Cells of the table.
        results: Results with `site`, `scenario`, `system`, `latencies_ms`.
    """
    head = ''.join(f'<th>{html.escape(column)}</th>' for column in columns)
    body = ''.join(
        '<tr>'
        + ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in row)
        + '</tr>'
        for row in rows
    )
    images = ''.join(
        f'<h2>{html.escape(site)}</h2><img alt="latencies" '
        f'src="data:image/png;base64,{_plot(site, results)}">'
        for site in sorted({result['site'] for result in results})
    )
    path.write_text(
        '<!doctype html><meta charset="utf-8"><title>balsamshore bench'
        f'</title><style>{STYLE}</style><h1>balsamshore beside the plain '
        f'baseline</h1><table><tr>{head}</tr>{body}</table>{images}',
        encoding='utf-8',
    )


def _plot(site: str, results: Sequence[Any]) -> str:
    """Plots the tail of every scenario of a site, as base64 PNG."""
    own = [result for result in results if result['site'] == site]
    names = list(dict.fromkeys(result['scenario'] for result in own))
    lines = -(-len(names) // COLUMNS_OF_PLOTS)
    figure, axes = pyplot.subplots(
        lines,
        COLUMNS_OF_PLOTS,
        figsize=(4.5 * COLUMNS_OF_PLOTS, 3 * lines),
        squeeze=False,
    )
    for name, axis in zip(names, axes.flat, strict=False):
        for result in own:
            if result['scenario'] == name:
                _plot_tail(axis, result)
        axis.set_title(name)
        axis.set_xlabel('latency, ms')
        axis.set_ylabel('share slower')
        axis.legend()
    for axis in list(axes.flat)[len(names) :]:
        axis.set_visible(False)
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format='png', dpi=80)
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()


def _plot_tail(axis: Any, result: Any) -> None:
    latencies = result['latencies_ms']
    count = len(latencies)
    shares = [(count - place) / count for place in range(count)]
    system = result['system']
    axis.loglog(latencies, shares, label=system, color=COLOURS[system])
