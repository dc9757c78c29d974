"""Upstreams and nodes that answer with a status that HTTP does not have.

A status outside of 100 to 599 is no answer. The request may have run, so it
ends at once as a truncated answer does, and its connection is not used again.
"""

import asyncio
import collections.abc

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client

_FRAMING = upstream_answer.Framing(b'attempt-id', True)
_ANSWER = (
    b'HTTP/1.1 %s Odd\r\nattempt-id: own\r\nserver-signature: s\r\n'
    b'content-length: 2\r\n\r\nok'
)
# The upstream keeps its connection open, so that a request that is held ends
# with a timeout.
_DEADLINE_S = 5.0

_INVALID_STATUSES = (b'000', b'001', b'099', b'600', b'999')


async def _send(
    respond: collections.abc.Callable[[asyncio.StreamWriter], None],
) -> upstream_answer.UpstreamAnswer:
    """Send a request to an upstream that answers each request alike."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                respond(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        client = upstream_client.UpstreamClient(
            '127.0.0.1', port, 1, 4096, _FRAMING
        )
        try:
            return await client.send(
                'GET',
                '/',
                b'',
                b'',
                clock.now() + _DEADLINE_S,
                b'a',
                b'own',
            )
        finally:
            assert not client.busy
            client.close()


@pytest.mark.parametrize('status', _INVALID_STATUSES)
def test_invalid_status_ends_the_request(status: bytes) -> None:
    """Guards against a request held to its deadline, or answered so."""
    with pytest.raises(errors.RequestError) as raised:
        asyncio.run(_send(lambda writer: writer.write(_ANSWER % status)))
    assert raised.value.kind is errors.ErrorKind.ANSWER_CUT
    rule = errors.ANSWERS[raised.value.kind]
    assert rule.outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize('status', _INVALID_STATUSES)
def test_connection_with_an_invalid_status_is_not_reused(
    status: bytes,
) -> None:
    """Guards against the answer behind such a status reaching a caller."""
    with pytest.raises(errors.RequestError) as raised:
        asyncio.run(
            _send(
                lambda writer: writer.write(
                    _ANSWER % status + _ANSWER % b'200'
                )
            )
        )
    assert raised.value.kind is errors.ErrorKind.ANSWER_CUT


def test_unknown_interim_status_precedes_the_answer() -> None:
    """Guards against a lost answer behind a notice (RFC 9110, 15.2)."""
    notice = b'HTTP/1.1 199 Odd\r\n\r\n'
    answer = asyncio.run(
        _send(lambda writer: writer.write(notice + _ANSWER % b'200'))
    )
    assert (answer.status, answer.body) == (200, b'ok')


def _invalid_statuses() -> float:
    name = b'godwitstall_upstream_invalid_statuses_total '
    return next(
        (
            float(line.removeprefix(name))
            for line in metrics.render().splitlines()
            if line.startswith(name)
        ),
        0.0,
    )


def test_invalid_status_is_counted() -> None:
    """Guards against an upstream in trouble that no metric shows."""
    before = _invalid_statuses()
    with pytest.raises(errors.RequestError):
        asyncio.run(_send(lambda writer: writer.write(_ANSWER % b'000')))
    assert _invalid_statuses() == before + 1


@pytest.mark.parametrize('status', (-1, 0, 99, 103, 199, 600, 999, 2000))
def test_answer_of_a_node_with_an_invalid_status(status: int) -> None:
    """Guards against a status from another node that no caller can read."""
    answer = messages.Answer(
        outcome=errors.Outcome.RUN, status=status, body=b'x'
    )
    with pytest.raises(errors.RequestError) as raised:
        answers.check_status(answer)
    assert raised.value.kind is errors.ErrorKind.ANSWER_CUT


def test_error_of_a_node_has_the_status_of_its_kind() -> None:
    """Guards against an error of another node with an odd status."""
    answer = messages.Answer(kind=errors.ErrorKind.OVERLOADED, status=0)
    answers.check_status(answer)
    assert answer.status == 503
