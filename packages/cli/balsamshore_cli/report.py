"""HTML reports with plots, for the benchmark and experiments."""

import base64
import html
import io
import pathlib
from collections.abc import Sequence
from typing import Any

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from balsamshore_cli import summaries  # noqa: E402

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 16px; }
table { border-collapse: collapse; }
td, th { border-bottom: 1px solid #8884; padding: 4px 8px; text-align: left; }
img { max-width: 100%; }
"""
COLOURS = {'node': 'tab:blue', 'baseline': 'tab:orange'}
PLOT_COLUMNS = 3
BIN_WIDTH_S = 0.5  # holds about 30 requests at the base rate
TAIL_QUANTILE = 0.95
ANSWERED_OUTCOMES = ('complete', 'partial')


def write_report(
    path: pathlib.Path,
    columns: Sequence[str],
    rows: Sequence[Sequence[Any]],
    results: Sequence[Any],
) -> None:
    """Writes the benchmark report as one self-contained page.

    Args:
        path: Output file.
        columns: Column headings of the table.
        rows: Rows of the table.
        results: Results with `site`, `scenario`, `system`, `latencies_ms`.
    """
    images = ''.join(
        f'<h2>{html.escape(site)}</h2><img alt="latencies" '
        f'src="data:image/png;base64,{_plot_site(site, results)}">'
        for site in sorted({result['site'] for result in results})
    )
    path.write_text(
        '<!doctype html><meta charset="utf-8"><title>balsamshore bench'
        f'</title><style>{STYLE}</style><h1>balsamshore compared with the '
        f'plain baseline</h1>{_write_table(columns, rows)}{images}',
        encoding='utf-8',
    )


def write_timeline(
    path: pathlib.Path,
    title: str,
    table: tuple[Sequence[str], Sequence[Sequence[Any]]],
    results: Sequence[Any],
    faults: Sequence[tuple[str, float, float]],
) -> None:
    """Writes the report of an experiment as one self-contained page.

    Args:
        path: Output file.
        title: Name of the experiment.
        table: Column headings and rows.
        results: Results with `system` and `timeline`.
        faults: Kind, start and duration of each fault, in seconds.
    """
    image = _plot_timeline(results, faults)
    path.write_text(
        '<!doctype html><meta charset="utf-8"><title>balsamshore experiment'
        f'</title><style>{STYLE}</style><h1>{html.escape(title)}</h1>'
        f'{_write_table(*table)}<img alt="timeline" '
        f'src="data:image/png;base64,{image}">',
        encoding='utf-8',
    )


def _write_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    head = ''.join(f'<th>{html.escape(column)}</th>' for column in columns)
    body = ''.join(
        '<tr>'
        + ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in row)
        + '</tr>'
        for row in rows
    )
    return f'<table><tr>{head}</tr>{body}</table>'


def _plot_timeline(
    results: Sequence[Any], faults: Sequence[tuple[str, float, float]]
) -> str:
    """Plots latency by class, coverage and refusals over time.

    Returns:
        The PNG image in base64.
    """
    timelines = [(each['system'], each['timeline']) for each in results]
    classes = sorted(
        {point['class'] for _, timeline in timelines for point in timeline}
    )
    plots: list[tuple[str, str, Any]] = [
        (f'{name}: p95 latency, ms', 'log', _make_tail_latency(name))
        for name in classes
    ]
    plots.append(('mean coverage', 'linear', _compute_coverage))
    reasons = sorted(
        {
            point['reason'] or point['outcome']
            for _, timeline in timelines
            for point in timeline
            if point['outcome'] not in ANSWERED_OUTCOMES
        }
    )
    plots += [
        (f'not answered: {reason}', 'linear', _make_count(reason))
        for reason in reasons
    ]
    figure, axes = pyplot.subplots(
        len(plots), 1, figsize=(11, 2.2 * len(plots)), squeeze=False
    )
    for axis, (name, scale, compute) in zip(axes.flat, plots, strict=True):
        for system, timeline in timelines:
            _plot_series(axis, system, timeline, compute)
        axis.set_yscale(scale)
        axis.set_title(name, loc='left', fontsize=10)
        axis.margins(y=0.15)
        _mark_faults(axis, faults)
    axes.flat[0].legend(loc='upper right', fontsize=8)
    axes.flat[-1].set_xlabel('seconds')
    return _encode_figure(figure)


def _plot_series(axis: Any, system: str, points: Any, compute: Any) -> None:
    bins: dict[int, list[Any]] = {}
    for point in points:
        bins.setdefault(int(point['at_s'] / BIN_WIDTH_S), []).append(point)
    series = [
        ((number + 0.5) * BIN_WIDTH_S, compute(bin_points))
        for number, bin_points in sorted(bins.items())
    ]
    series = [pair for pair in series if pair[1] is not None]
    axis.plot(
        [at for at, _ in series],
        [value for _, value in series],
        marker='.',
        label=system,
        color=COLOURS.get(system, 'tab:green'),
    )


def _mark_faults(axis: Any, faults: Sequence[tuple[str, float, float]]) -> None:
    for name, at_s, for_s in faults:
        axis.axvspan(at_s, at_s + for_s, color='tab:red', alpha=0.12)
        axis.axvline(at_s, color='tab:red', linewidth=0.8)
        axis.annotate(
            name,
            (at_s, 1.0),
            xycoords=('data', 'axes fraction'),
            xytext=(2, -9),
            textcoords='offset points',
            fontsize=8,
            color='tab:red',
        )


def _make_tail_latency(name: str) -> Any:
    def compute(points: Any) -> float | None:
        latencies = sorted(
            point['latency_ms'] for point in points if point['class'] == name
        )
        return (
            summaries.compute_quantile(latencies, TAIL_QUANTILE)
            if latencies
            else None
        )

    return compute


def _compute_coverage(points: Any) -> float | None:
    coverages = [
        point['coverage']
        for point in points
        if point['outcome'] in ANSWERED_OUTCOMES
    ]
    return sum(coverages) / len(coverages) if coverages else None


def _make_count(reason: str) -> Any:
    def compute(points: Any) -> float:
        return sum(
            point['outcome'] not in ANSWERED_OUTCOMES
            and (point['reason'] or point['outcome']) == reason
            for point in points
        )

    return compute


def _plot_site(site: str, results: Sequence[Any]) -> str:
    """Plots the latency tail of every scenario of a site.

    Returns:
        The PNG image in base64.
    """
    site_results = [result for result in results if result['site'] == site]
    names = list(dict.fromkeys(result['scenario'] for result in site_results))
    plot_rows = -(-len(names) // PLOT_COLUMNS)
    figure, axes = pyplot.subplots(
        plot_rows,
        PLOT_COLUMNS,
        figsize=(4.5 * PLOT_COLUMNS, 3 * plot_rows),
        squeeze=False,
    )
    for name, axis in zip(names, axes.flat, strict=False):
        for result in site_results:
            if result['scenario'] == name:
                _plot_latency_tail(axis, result)
        axis.set_title(name)
        axis.set_xlabel('latency, ms')
        axis.set_ylabel('share of slower requests')
        axis.legend()
    for axis in list(axes.flat)[len(names) :]:
        axis.set_visible(False)
    return _encode_figure(figure)


def _plot_latency_tail(axis: Any, result: Any) -> None:
    latencies = result['latencies_ms']
    count = len(latencies)
    shares = [(count - rank) / count for rank in range(count)]
    system = result['system']
    axis.loglog(latencies, shares, label=system, color=COLOURS[system])


def _encode_figure(figure: Any) -> str:
    figure.tight_layout()
    buffer = io.BytesIO()
    figure.savefig(buffer, format='png', dpi=80)
    pyplot.close(figure)
    return base64.b64encode(buffer.getvalue()).decode()
