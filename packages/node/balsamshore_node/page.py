"""Renders the operators' page, laid out for screens 360 pixels wide."""

import html
import importlib.resources

from balsamshore_node import overview

TEMPLATE = 'page.html'


def render(view: overview.Overview) -> str:
    """Renders the page from an overview."""
    template = (
        importlib.resources.files('balsamshore_node')
        .joinpath(TEMPLATE)
        .read_text(encoding='utf-8')
    )
    replacements = {
        'VM': _escape(view['vm']),
        'STATE': _escape(view['state']),
        'VERSION': str(view['version']),
        'EXTRA': f'{view["extra_load"]:.1%}',
        'PROBLEMS': _render_problems(view['problems']),
        'CLASSES': ''.join(_render_class(item) for item in view['classes']),
        'MEMBERS': ''.join(_render_member(item) for item in view['members']),
    }
    for name, text in replacements.items():
        template = template.replace(f'<!--{name}-->', text)
    return template


def _escape(text: str) -> str:
    return html.escape(text, quote=True)


def _render_problems(problems: list[str]) -> str:
    if not problems:
        return '<p class="good">Nothing is wrong.</p>'
    rows = ''.join(f'<li>{_escape(text)}</li>' for text in problems)
    return f'<ul class="bad">{rows}</ul>'


def _render_class(view: overview.ClassView) -> str:
    name = _escape(view['name'])
    target = view['target']
    met = view['attainment'] >= target['quantile']
    verdict = 'good' if met or not view['answered'] else 'bad'
    return f"""
<section class="card" data-class="{name}">
<h2>{name}</h2>
<p class="{verdict}">{view['attainment']:.1%} within target
 (asked {target['quantile']:.1%})</p>
<dl>
<dt>p50 / p99</dt><dd>{view['p50_ms']:.0f} / {view['p99_ms']:.0f} ms</dd>
<dt>coverage</dt><dd>{view['coverage']:.2%}</dd>
<dt>answers</dt><dd>{view['answered']}</dd>
</dl>
<form>
{_render_input('deadline_ms', 'answer within (ms)', target['deadline_ms'])}
{_render_input('quantile', 'share in time', target['quantile'])}
{_render_input('coverage_floor', 'least coverage', target['coverage_floor'])}
</form>
</section>"""


def _render_input(field: str, label: str, value: float) -> str:
    return (
        f'<label>{label}<input name="{field}" inputmode="decimal" '
        f'value="{value:g}" data-before="{value:g}"></label>'
    )


def _render_member(view: overview.MemberView) -> str:
    return (
        f'<tr><td>{_escape(view["name"])}</td>'
        f'<td>{_escape(view["failure_domain"])}</td>'
        f'<td>{_escape(view["status"])}</td><td>{view["version"]}</td></tr>'
    )
