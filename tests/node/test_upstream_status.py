"""What an upstream says about itself in its answers, over real sockets."""

import asyncio
import pathlib

import pytest

from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_status
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [
        {
            'name': 'far',
            'path_prefix': '/far',
            'service': 'gwydd',
            'attempts': 2,
        }
    ],
)
_KEY = 'key-dyffryn'

# Requests that users accept in 4 s from an upstream with a limit of 0.
_ACCEPTED_REQUESTS = 5


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [
        ({}, upstream_status.UpstreamStatus()),
        ({'x': '1'}, upstream_status.UpstreamStatus()),
        ({'limit': '24.5'}, upstream_status.UpstreamStatus(24.5)),
        (
            {'limit': '0', 'leaving': '1'},
            upstream_status.UpstreamStatus(0.0, True),
        ),
        ({'leaving': '0'}, upstream_status.UpstreamStatus()),
        ({'leaving': ''}, upstream_status.UpstreamStatus()),
    ],
)
def test_headers_are_parsed(
    headers: dict[str, str], expected: upstream_status.UpstreamStatus
) -> None:
    """Guards against a status that is read where there is none."""
    answer = upstream_answer.UpstreamAnswer(
        200,
        [(name.encode(), value.encode()) for name, value in headers.items()],
        b'',
    )
    names = upstream_status.Names(b'limit', b'leaving')
    assert upstream_status.parse(names, answer) == expected


def test_limit_reaches_the_owner(tmp_path: pathlib.Path) -> None:
    """Guards against a limit that the upstream client loses."""

    async def run() -> None:
        services = {'siop-1': 'siop', 'gwydd-1': 'gwydd'}
        async with fakes.running(tmp_path, _NOTE, services) as (
            _,
            [entry, owner],
        ):
            answer = fakes.response(b'', 200, {'godwitstall-rate-limit': '0'})
            owner.upstream.respond = fakes.sends(answer)
            assert (await entry.call('/far/first', _KEY)).status == 200
            answers = await asyncio.gather(
                *(entry.call(f'/far/{number}', _KEY) for number in range(40))
            )
            assert len(owner.upstream.runs) <= _ACCEPTED_REQUESTS
            refusals = [answer for answer in answers if answer.status != 200]
            assert len(refusals) >= 40 - _ACCEPTED_REQUESTS
            for refusal in refusals:
                assert refusal.status == 503
                assert refusal.headers['godwitstall-outcome'] == 'not-run'
                assert int(refusal.headers['godwitstall-retry-after-ms']) > 0
            state = owner.node.upstream.dump()
            assert state['rate_limit'] == 0.0

    asyncio.run(run())


def test_leave_reaches_the_fleet(tmp_path: pathlib.Path) -> None:
    """Guards against a leaving upstream that its announcements call ready."""

    async def run() -> None:
        services = {'siop-1': 'siop', 'gwydd-1': 'gwydd', 'gwydd-2': 'gwydd'}
        async with fakes.running(tmp_path, _NOTE, services) as (
            _,
            [entry, leaving, other],
        ):
            answer = fakes.response(b'', 200, {'godwitstall-leaving': '1'})
            leaving.upstream.respond = fakes.sends(answer)
            while not leaving.upstream.runs:
                assert (await entry.call('/far/first', _KEY)).status == 200
            await leaving.announce()
            runs_before = len(leaving.upstream.runs)
            for number in range(30):
                answer_of_other = await entry.call(f'/far/{number}', _KEY)
                assert answer_of_other.status == 200
            assert len(leaving.upstream.runs) == runs_before
            assert len(other.upstream.runs) >= 30

    asyncio.run(run())
