"""Logs as JSON lines, statsd metrics and OpenTelemetry spans."""

import collections
import json
import sys
import typing

import loguru
import opentelemetry.sdk.resources as otel_resources
import opentelemetry.sdk.trace as otel_sdk
import opentelemetry.sdk.trace.export as otel_export
import opentelemetry.sdk.trace.sampling as otel_sampling
import opentelemetry.trace as otel_trace
import statsd
from opentelemetry.trace.propagation import tracecontext

from balsamshore_node import settings

METRICS_PREFIX = 'balsamshore'
MAX_TIMINGS_PER_FLUSH = 1_000

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


def configure_logging(sink: typing.TextIO, level: str, vm: str) -> None:
    """Writes the log to `sink` as one JSON object per line."""
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: _write_line(sink, message), level=level, format=''
    )
    loguru.logger.configure(extra={'vm': vm})


def _write_line(sink: typing.TextIO, message: typing.Any) -> None:
    record = message.record
    fields = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        **record['extra'],
        'message': record['message'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    sink.write(json.dumps(fields) + '\n')
    sink.flush()


class Metrics:
    """Counters and timings, buffered until the next flush to statsd."""

    def __init__(self, address: str):
        self._client: statsd.StatsClient | None = None
        if address:
            host, port = address.rsplit(':', 1)
            self._client = statsd.StatsClient(
                host, int(port), prefix=METRICS_PREFIX
            )
        self.counters: collections.Counter[str] = collections.Counter()
        self._unflushed: collections.Counter[str] = collections.Counter()
        self._timings: list[tuple[str, float]] = []

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] += amount
        self._unflushed[name] += amount

    def time(self, name: str, duration_s: float) -> None:
        """Records a duration unless the limit per flush is reached."""
        if self._client and len(self._timings) < MAX_TIMINGS_PER_FLUSH:
            self._timings.append((name, duration_s * 1000))

    def flush(self) -> None:
        """Sends counts and timings recorded since the last flush."""
        unflushed, self._unflushed = self._unflushed, collections.Counter()
        timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, amount in unflushed.items():
                pipeline.incr(name, amount)
            for name, duration_ms in timings:
                pipeline.timing(name, duration_ms)


class _JsonLinesExporter(otel_export.SpanExporter):
    """Writes each span as one JSON line."""

    def __init__(self, sink: typing.TextIO):
        self._sink = sink

    def export(
        self, spans: typing.Sequence[otel_sdk.ReadableSpan]
    ) -> otel_export.SpanExportResult:
        for span in spans:
            self._sink.write(json.dumps(_describe_span(span)) + '\n')
        self._sink.flush()
        return otel_export.SpanExportResult.SUCCESS


def _describe_span(span: otel_sdk.ReadableSpan) -> dict[str, typing.Any]:
    context = span.get_span_context()
    assert context is not None
    started = span.start_time or 0
    return {
        'trace_id': otel_trace.format_trace_id(context.trace_id),
        'span_id': otel_trace.format_span_id(context.span_id),
        'parent_id': (
            otel_trace.format_span_id(span.parent.span_id)
            if span.parent
            else ''
        ),
        'name': span.name,
        'start_ns': started,
        'duration_ms': ((span.end_time or started) - started) / 1e6,
        'attributes': dict(span.attributes or {}),
        'resource': dict(span.resource.attributes),
    }


class Spans:
    """Creates spans; a span that is not sampled costs almost nothing."""

    def __init__(self, config: settings.Settings):
        self._provider = otel_sdk.TracerProvider(
            sampler=otel_sampling.ParentBased(
                otel_sampling.TraceIdRatioBased(config.trace_ratio)
            ),
            resource=otel_resources.Resource(
                {'service.name': 'balsamshored', 'vm': config.name}
            ),
        )
        self._sink: typing.TextIO | None = None
        if config.span_file:
            self._sink = _open_sink(config.span_file)
            self._provider.add_span_processor(
                otel_export.BatchSpanProcessor(_JsonLinesExporter(self._sink))
            )
        self._tracer = self._provider.get_tracer('balsamshore')

    def start(
        self,
        name: str,
        traceparent: str = '',
        parent: otel_trace.Span | None = None,
        **attributes: str | int | float,
    ) -> otel_trace.Span:
        """Starts a span below a parent span or a caller's traceparent."""
        context = None
        if parent is not None:
            context = otel_trace.set_span_in_context(parent)
        elif traceparent:
            context = _PROPAGATOR.extract({'traceparent': traceparent})
        return self._tracer.start_span(
            name, context=context, attributes=attributes
        )

    def close(self) -> None:
        """Exports the buffered spans and closes their file."""
        self._provider.shutdown()
        if self._sink is not None and self._sink is not sys.stderr:
            self._sink.close()


def _open_sink(path: str) -> typing.TextIO:
    if path == '-':
        return sys.stderr
    return open(path, 'a', encoding='utf-8')  # noqa: SIM115


def format_traceparent(span: otel_trace.Span) -> str:
    """Returns the traceparent header that makes this span the parent."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, otel_trace.set_span_in_context(span))
    return carrier.get('traceparent', '')
