"""Log lines about requests that end without an answer."""

import asyncio
import collections.abc
import json
import os
import typing

import pytest

from godwitstall import decisions
from godwitstall.http import connection as http_connection
from godwitstall.http import messages as http_messages
from godwitstall.node.callers import gateway
from tests import gateways


@pytest.fixture
def output() -> collections.abc.Iterator[int]:
    """Return a descriptor from which the log lines can be read."""
    reader, writer = os.pipe()
    decisions.open_output(writer)
    yield reader
    decisions.close_output()
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize('reason', http_connection.CutReason)
def test_cut_request_is_logged_with_its_reason(
    output: int,
    monkeypatch: pytest.MonkeyPatch,
    reason: http_connection.CutReason,
) -> None:
    """Guards against a request that is lost without a trace in the log."""

    async def never_admit(*_: typing.Any) -> typing.Any:
        await asyncio.Event().wait()

    monkeypatch.setattr(gateway.Gateway, '_match_route', _match_no_route)
    monkeypatch.setattr(gateway.Gateway, '_admit', never_admit)
    node = gateways.make_node('siop')
    request = http_messages.Request(
        'GET',
        '/a/1',
        [(gateways.DIALECT.attempt_id, b'4711')],
        b'',
        0.0,
    )

    async def scenario() -> None:
        task = asyncio.create_task(node.gateway.serve(request))
        await asyncio.sleep(0)
        task.cancel(reason.value)
        await asyncio.wait({task})
        assert task.cancelled()

    asyncio.run(scenario())
    line = json.loads(os.read(output, 10_000))
    assert line['event'] == 'cut'
    assert line['request'] == '4711'
    assert line['reason'] == reason.value


class _Route:
    name = 'a-route'


def _match_no_route(*_: typing.Any) -> _Route:
    return _Route()
