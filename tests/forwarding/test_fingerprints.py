"""What the repeats of a request have in common."""

import hypothesis
import hypothesis.strategies as st

from balsamshore_core.forwarding import fingerprints
from balsamshore_platform import headers

TEXT = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=8)


def compute(caller='10.0.0.1', target='/p/1', body=b'', **fields):
    """Computes the fingerprint of a request as it is read from a caller."""
    request = headers.Headers().read_request(
        b'POST',
        target.encode(),
        [(b'host', b'x.example')]
        + [
            (name.replace('_', '-').encode(), value.encode())
            for name, value in fields.items()
        ],
        body,
    )
    return fingerprints.compute_fingerprint(
        caller, request.method, request.host, request.target, request.body
    )


def test_ids_deadlines_and_hop_headers_do_not_count():
    first = compute(request_id='r1', deadline_ms='600', connection='close')
    assert first == compute(request_id='r2', deadline_ms='90', te='trailers')
    assert first == compute()


def test_caller_target_and_body_count():
    prints = {
        compute(),
        compute(caller='10.0.0.2'),
        compute(target='/p/2'),
        compute(target='/p/1?a=b'),
        compute(body=b'x'),
    }
    assert len(prints) == 5


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(*[st.tuples(TEXT, TEXT, TEXT, TEXT, TEXT)] * 2)
def test_only_equal_requests_have_equal_fingerprints(first, second):
    prints = [
        fingerprints.compute_fingerprint(*fields[:4], fields[4].encode())
        for fields in (first, second)
    ]
    assert (prints[0] == prints[1]) == (first == second)
