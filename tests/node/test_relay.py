"""Retries of one call, with scripted answers of its owners."""

import asyncio
import random
import typing

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node.peers import relay as relay_module
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module
from tests import gateways

_SERVICE = messages.ServiceName('siop')
_POLICY = relay_module.RetryPolicy(
    counts_sends=True, retries_upstream_failures=True, max_refusals=2
)


class _ScriptedForwarder:
    """Returns the scripted answers in order, for calls to any owner."""

    def __init__(self, kinds: list[errors.ErrorKind]) -> None:
        self.kinds = list(kinds)
        self.calls: list[messages.Call] = []

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        kind = self.kinds.pop(0)
        rule = errors.ANSWERS[kind]
        self.calls.append(call)
        return messages.Answer(
            kind=kind, outcome=rule.outcome, status=rule.status
        )


def _send(scripted: _ScriptedForwarder) -> messages.Answer:
    view = view_module.View()
    picker = picker_module.Picker(view, 'z1', random.Random(3))
    view.apply(
        messages.StateUpdate(
            1,
            True,
            members=[
                messages.Member(
                    node_id=messages.NodeId(f'n{number}'),
                    service=_SERVICE,
                    zone='z1',
                    state=messages.UpstreamState.READY,
                    slots=10,
                )
                for number in range(3)
            ],
        )
    )
    options = gateways.make_options('entry', 'other')
    options.retry_min_per_s = 10.0
    forwarder: typing.Any = scripted
    owner: typing.Any = None
    relay = relay_module.Relay(options, picker, forwarder, owner, _POLICY)
    call = messages.Call(service=_SERVICE, is_idempotent=True)
    return asyncio.run(
        relay.send(
            call,
            messages.Route('r', service=_SERVICE),
            3,
            clock.now() + 5,
            lambda _: True,
        )
    )


@pytest.mark.parametrize(
    'first',
    [
        errors.ErrorKind.UPSTREAM_LOST,
        errors.ErrorKind.ANSWER_CUT,
        errors.ErrorKind.PEER_LOST,
    ],
)
@pytest.mark.parametrize(
    'second',
    [errors.ErrorKind.OVERLOADED, errors.ErrorKind.UPSTREAM_SHED],
)
def test_refused_retry_does_not_say_that_nothing_ran(
    first: errors.ErrorKind, second: errors.ErrorKind
) -> None:
    """Guards against "not run" if an earlier try may have run the request."""
    answer = _send(
        _ScriptedForwarder([first, second, errors.ErrorKind.STOPPING])
    )
    assert answer.kind is first
    assert answer.outcome is errors.Outcome.UNKNOWN


def test_refusals_alone_say_that_nothing_ran() -> None:
    """Guards against an unknown outcome if every owner refused the call."""
    kinds = [errors.ErrorKind.UPSTREAM_SHED, errors.ErrorKind.OVERLOADED]
    answer = _send(_ScriptedForwarder(kinds + [errors.ErrorKind.OVERLOADED]))
    assert answer.outcome is errors.Outcome.NOT_RUN


def test_good_retry_replaces_an_unknown_outcome() -> None:
    """Guards against an error although a later try succeeded."""
    forwarder = _ScriptedForwarder(
        [errors.ErrorKind.UPSTREAM_LOST, errors.ErrorKind.NONE]
    )
    assert _send(forwarder).kind is errors.ErrorKind.NONE
    assert len(forwarder.calls) == 2
