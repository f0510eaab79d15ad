"""What the repeats of a request have in common."""

import hypothesis
import hypothesis.strategies as st

from balsamshore_core.forwarding import fingerprints
from balsamshore_core.forwarding import routes
from balsamshore_platform import headers

TEXT = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=8)


def compute(target='/p/1', body=b'', host='x.example', **fields):
    """Computes the fingerprint of a request as it is read from a caller."""
    request = headers.Headers().read_request(
        b'POST',
        target.encode(),
        [(b'host', host.encode())]
        + [
            (name.replace('_', '-').encode(), value.encode())
            for name, value in fields.items()
        ],
        body,
    )
    return fingerprints.compute_fingerprint(
        request.method,
        request.host,
        request.target,
        request.credentials,
        request.body,
    )


def test_ids_deadlines_and_hop_headers_do_not_count():
    first = compute(request_id='r1', deadline_ms='600', connection='close')
    assert first == compute(request_id='r2', deadline_ms='90', te='trailers')
    assert first == compute()


def test_the_spelling_of_the_host_does_not_count():
    assert (
        compute() == compute(host='X.Example') == compute(host='x.example:80')
    )
    assert compute() != compute(host='y.example')


def test_other_headers_and_their_order_do_not_count():
    first = compute(user_agent='a', traceparent='00-1')
    assert first == compute(traceparent='00-2', user_agent='b') == compute()


def test_the_order_of_credentials_does_not_count():
    first = compute(authorization='a', cookie='b')
    assert first == compute(cookie='b', authorization='a')
    assert first != compute(cookie='a', authorization='b')


def test_credentials_target_and_body_count():
    prints = {
        compute(),
        compute(authorization='Bearer a'),
        compute(cookie='Bearer a'),
        compute(target='/p/2'),
        compute(target='/p/1?a=b'),
        compute(body=b'x'),
    }
    assert len(prints) == 6


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(*[st.tuples(TEXT, TEXT, TEXT, TEXT, TEXT)] * 2)
def test_only_equal_requests_have_equal_fingerprints(first, second):
    prints = [
        fingerprints.compute_fingerprint(
            *fields[:3], fields[3].encode(), fields[4].encode()
        )
        for fields in (first, second)
    ]
    common = [
        (method, routes.normalize_host(host), *rest)
        for method, host, *rest in (first, second)
    ]
    assert (prints[0] == prints[1]) == (common[0] == common[1])
