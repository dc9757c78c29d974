"""What a sender learns of the speed of upstreams from the answers of calls."""

import asyncio
import json
import os
import random
import typing

import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import attempts
from godwitstall import messages
from godwitstall.node import dispatcher as dispatcher_module
from godwitstall.node.peers import relay as relay_module
from godwitstall.node.requests import context
from godwitstall.routing import member_speed
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module
from godwitstall.routing import zone_balance
from tests import gateways

_SERVICE = messages.ServiceName('statements')
_OWNER = messages.NodeId('n1')


class _Forwarder:
    """Returns one answer after a wait."""

    def __init__(self, answer: messages.Answer) -> None:
        self.answer = answer

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        await asyncio.sleep(0.02)
        return self.answer

    def dump(self) -> dict[str, object]:
        return {}


def _relay(answer: messages.Answer, is_on: bool) -> relay_module.Relay:
    view = view_module.View()
    rand = random.Random(1)
    picker = picker_module.Picker(
        view,
        'z1',
        rand,
        member_speed.MemberSpeeds() if is_on else None,
        zone_balance.ZoneBalance('z1', rand) if is_on else None,
    )
    member = messages.Member(
        _OWNER,
        service=_SERVICE,
        zone='z1',
        state=messages.UpstreamState.READY,
        slots=10,
    )
    view.apply(messages.StateUpdate(1, True, members=[member]))
    forwarder: typing.Any = _Forwarder(answer)
    owner: typing.Any = None
    return relay_module.Relay(
        gateways.make_options('entry', 'other'), picker, forwarder, owner
    )


def _send(relay: relay_module.Relay) -> messages.Answer:
    call = messages.Call(service=_SERVICE, route_name='statement-read')
    return asyncio.run(
        relay.send(
            call,
            messages.Route('r', service=_SERVICE),
            1,
            clock.now() + 5,
            lambda _: True,
        )
    )


def _answer(**fields: typing.Any) -> messages.Answer:
    return messages.Answer(
        **{
            'outcome': errors.Outcome.RUN,
            'status': 200,
            'own_time_ms': 12.0,
            'load': messages.LoadReport(3, 1, 10),
            **fields,
        }
    )


def test_time_of_an_answer_is_learned() -> None:
    """Guards against times that owners report and no sender reads."""
    relay = _relay(_answer(), True)
    _send(relay)
    state = relay.dump()
    assert state['weighs_member_speed'] is True
    assert state['picker'][_OWNER]['speed_answers'] == 1
    assert state['zones'][_SERVICE]['loads'] == {'z1': 0.4}


@pytest.mark.parametrize(
    'answer',
    [
        _answer(status=500),
        _answer(kind=errors.ErrorKind.UPSTREAM_LOST),
        _answer(is_replayed=True),
        _answer(own_time_ms=0.0),
        _answer(own_time_ms=float('nan')),
        _answer(own_time_ms=60_000.0),
    ],
    ids=['failed', 'lost', 'replayed', 'not run', 'nan', 'beyond the wait'],
)
def test_answers_that_do_not_show_speed(answer: messages.Answer) -> None:
    """Guards against an upstream that looks fast because it fails."""
    relay = _relay(answer, True)
    _send(relay)
    assert relay.picker.speeds is not None
    assert not relay.picker.speeds.dump()


def test_switched_off_nothing_is_weighed() -> None:
    """Guards against a change for fleets that leave the switches off."""
    relay = _relay(_answer(), False)
    _send(relay)
    state = relay.dump()
    assert state['weighs_member_speed'] is False
    assert state['zones'] is None
    assert 'speed_ratio' not in state['picker'][_OWNER]


@pytest.mark.parametrize('own_time_ms', [0.0, 12.5, -1.0, float('inf')])
def test_time_passes_the_link_as_a_number(own_time_ms: float) -> None:
    """Guards against a time that its receiver cannot check."""
    answer = codec.decode(codec.encode(_answer(own_time_ms=own_time_ms)))
    assert isinstance(answer, messages.Answer)
    assert answer.own_time_ms == own_time_ms


def test_failed_try_says_why_its_member_was_chosen() -> None:
    """Guards against failed calls whose choice nobody can explain."""
    reader, descriptor = os.pipe()
    relay = _relay(_answer(status=503), True)
    relay.picker.on_answer(
        _OWNER, messages.LoadReport(4, 1, 10), False, clock.now()
    )
    relay.picker.on_run_time(_OWNER, 'r', 5.0, 6.0, clock.now())
    decisions.open_output(descriptor)
    try:
        _send(relay)
    finally:
        decisions.close_output()
        os.close(descriptor)
    with open(reader, 'rb') as output:
        lines = [json.loads(line) for line in output]
    line = next(line for line in lines if line['event'] == 'try_failed')
    assert line['owner_zone'] == 'z1'
    assert line['chosen_outstanding'] == 0
    assert line['chosen_reported'] == 5
    assert line['chosen_report_age_ms'] < 1000
    assert line['chosen_score'] == pytest.approx(0.5, abs=0.1)
    assert line['chosen_speed_ratio'] == 1.0
    assert line['chosen_speed_age_ms'] < 1000


@pytest.mark.parametrize(
    ('kind', 'own_time_ms'),
    [
        (errors.ErrorKind.NONE, 30.0),
        (errors.ErrorKind.UPSTREAM_UNREACHABLE, 0.0),
    ],
)
def test_owner_reports_the_time_of_its_upstream_alone(
    kind: errors.ErrorKind, own_time_ms: float
) -> None:
    """Guards against onward calls in the time of an upstream."""
    nothing: typing.Any = None
    dispatcher = dispatcher_module.Dispatcher(
        nothing, nothing, nothing, nothing, nothing, None, nothing
    )
    running = context.RequestContext(
        'token',
        messages.WorkspaceName('w'),
        messages.KeyId('k'),
        'r',
        messages.Priority.NORMAL,
        10.0,
        attempts.ChainBudget(1),
        0,
        b'',
        1.0,
    )
    running.start_onward_call(1.01)
    running.end_onward_call(1.08)
    answer = dispatcher._build_answer(
        messages.Call(attempts=2),
        running,
        dispatcher_module._DispatchResult(kind, None, ''),
        1.1,
    )
    assert answer.own_time_ms == pytest.approx(own_time_ms)
