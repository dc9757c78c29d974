"""Judges a soak by what clients and upstreams have seen on the wire."""

import collections.abc

from tests.soak import clients
from tests.soak import fleet

_OK = 200
_REFUSED = 503
# The node gave a request up; an upstream may have run it.
_CUT_STATUSES = (502, 504)


def violations(
    wires: collections.abc.Iterable[clients.Wire], upstreams: fleet.Upstreams
) -> list[str]:
    """Return a line for each promise that was broken."""
    found = [
        f'{request_id} was run {count} times'
        for request_id, count in upstreams.starts.items()
        if count > 1
    ]
    found += [
        f'{request_id} ran in an evacuated zone'
        for request_id in upstreams.late
    ]
    for wire in wires:
        found += _violations_of_wire(wire, upstreams)
    return found


def _violations_of_wire(
    wire: clients.Wire, upstreams: fleet.Upstreams
) -> collections.abc.Iterator[str]:
    responses = wire.responses()
    for request_id, response in zip(wire.sent, responses, strict=False):
        yield from _violations_of_response(request_id, response, upstreams)
    if len(responses) > len(wire.sent):
        yield f'{len(responses)} responses to {len(wire.sent)} requests'
    closes = [response.closes_connection for response in responses]
    if any(closes[:-1]):
        yield f'{wire.sent[closes.index(True)]} closed before the last answer'
    if wire.has_left:
        return
    for request_id in wire.sent[len(responses) :]:
        # It crossed the close, or is behind the announced one.
        if upstreams.starts[request_id]:
            yield f'{request_id} was run and has no response'


def _violations_of_response(
    request_id: str, response: clients.Response, upstreams: fleet.Upstreams
) -> collections.abc.Iterator[str]:
    if response.status == _OK:
        if response.body != request_id.encode():
            yield f'{request_id} got the response {response.body!r}'
        if not upstreams.ends[request_id]:
            yield f'{request_id} got 200 and has not ended'
    elif response.status == _REFUSED:
        if upstreams.starts[request_id]:
            yield f'{request_id} was refused as not run and was run'
        if not response.has_retry_after:
            yield f'{request_id} was refused without a time to come back'
    elif response.status not in _CUT_STATUSES:
        yield f'{request_id} got status {response.status}'
