"""The oracle of the soak, with each promise broken on purpose."""

import pytest

from tests.soak import clients
from tests.soak import fleet
from tests.soak import oracle


def _response(status: int, body: str, headers: str = '') -> bytes:
    return (
        f'HTTP/1.1 {status} Phrase\r\n{headers}'
        f'content-length: {len(body)}\r\n\r\n{body}'
    ).encode()


_CLOSE = 'connection: close\r\n'
_RETRY = 'retry-after: 1.5\r\n'
_OK_A = _response(200, 'a')
_REFUSED = _response(503, '', _RETRY)


def _violations(
    received: bytes, runs: str = 'a', ended: str = 'a', has_left: bool = False
) -> list[str]:
    """Judge a connection with the requests a and b."""
    upstreams = fleet.Upstreams()
    upstreams.starts.update(runs)
    upstreams.ends.update(ended)
    wire = clients.Wire(['a', 'b'], received, has_left)
    return oracle.violations([wire], upstreams)


# Guards against an oracle that objects to what is allowed.
@pytest.mark.parametrize(
    ('received', 'runs'),
    [
        (_OK_A + _response(200, 'b', _CLOSE), 'ab'),
        (_OK_A + _REFUSED, 'a'),
        (_OK_A + _response(504, ''), 'ab'),
        # The second request is behind the close.
        (_response(200, 'a', _CLOSE), 'a'),
    ],
)
def test_true_answers_are_no_violation(received: bytes, runs: str) -> None:
    assert _violations(received, runs, runs) == []


# Guards against an oracle that misses a broken promise.
@pytest.mark.parametrize(
    ('received', 'runs', 'ended', 'expected'),
    [
        (_OK_A, 'aab', 'ab', 'a was run 2 times'),
        (_OK_A, 'ab', 'ab', 'b was run and has no response'),
        (_OK_A + _REFUSED, 'ab', 'a', 'b was refused as not run and was run'),
        (_OK_A, 'a', '', 'a got 200 and has not ended'),
        (_response(200, 'b'), 'a', 'a', "a got the response b'b'"),
        (_response(400, ''), '', '', 'a got status 400'),
        (
            _OK_A + _response(503, ''),
            'a',
            'a',
            'b was refused without a time to come back',
        ),
        (
            _response(200, 'a', _CLOSE) + _REFUSED,
            'a',
            'a',
            'a closed before the last answer',
        ),
        (_OK_A + _REFUSED * 2, 'a', 'a', '3 responses to 2 requests'),
    ],
)
def test_broken_promise_is_a_violation(
    received: bytes, runs: str, ended: str, expected: str
) -> None:
    assert expected in _violations(received, runs, ended)


def test_run_in_an_evacuated_zone_is_a_violation() -> None:
    """Guards against an oracle that ignores when requests arrive."""
    upstreams = fleet.Upstreams()
    upstreams.late.append('a')
    expected = ['a ran in an evacuated zone']
    assert oracle.violations([], upstreams) == expected


def test_bytes_that_are_no_response_are_a_violation() -> None:
    """Guards against an oracle that ignores what it cannot parse."""
    with pytest.raises(AssertionError):
        _violations(_OK_A + b'garbage')


def test_client_that_has_left_is_owed_no_response() -> None:
    """Guards against an oracle that counts what a client did not wait for."""
    assert _violations(_OK_A, 'ab', 'ab', has_left=True) == []
