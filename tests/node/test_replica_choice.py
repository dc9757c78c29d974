"""Choice of a control replica: near ones first, failed ones last."""

import asyncio
import random

import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.node import control_session
from godwitstall.node import replica_choice
from tests import gateways

_SEEDS = ['10.1.0.1:1', '10.2.0.1:1', '10.3.0.1:1']


def _voter(zone: int) -> messages.Voter:
    return messages.Voter(
        messages.SlotId(f'c{zone}'),
        messages.DiskId('d'),
        f'10.{zone}.0.1:1',
        f'z{zone}',
    )


def _choice(zone: str, known: int = 5) -> replica_choice.ReplicaChoice:
    choice = replica_choice.ReplicaChoice(zone, {}, _SEEDS, random.Random(7))
    choice.learn(_voter(number) for number in range(1, known + 1))
    return choice


def test_own_zone_goes_first() -> None:
    """Guards against control traffic that crosses zones without need."""
    choice = _choice('z4')
    assert {choice.next(0.0) for _ in range(50)} == {'10.4.0.1:1'}
    assert choice.knows_nearer('10.1.0.1:1', 0.0)
    assert not choice.knows_nearer('10.4.0.1:1', 0.0)


def test_zone_without_replica_spreads_over_all() -> None:
    """Guards against one replica that serves all zones without their own."""
    choice = _choice('z9')
    assert len({choice.next(0.0) for _ in range(200)}) == 5
    assert not choice.knows_nearer('10.1.0.1:1', 0.0)


def test_failed_replica_comes_last_for_a_while() -> None:
    """Guards against a node that stays with a replica that is cut off."""
    choice = _choice('z4')
    choice.on_end('10.4.0.1:1', 0.5, 0.0)
    assert choice.next(0.1) != '10.4.0.1:1'
    assert not choice.knows_nearer('10.1.0.1:1', 0.1)
    assert choice.next(100.0) == '10.4.0.1:1'
    assert choice.knows_nearer('10.1.0.1:1', 100.0)


def test_replica_that_fails_again_is_avoided_longer() -> None:
    """Guards against moving to and fro beside a replica that is cut off."""
    choice = _choice('z4')
    now = 0.0
    tries = 0
    while now < 120.0:
        if choice.knows_nearer('10.1.0.1:1', now):
            tries += 1
            choice.on_end('10.4.0.1:1', 0.6, now)
        now += 1.0
    assert tries <= 6


def test_all_failed_are_tried_in_turn() -> None:
    """Guards against a node that asks one dead replica again and again."""
    choice = _choice('z4')
    asked = []
    for step in range(10):
        address = choice.next(step * 0.1)
        asked.append(address)
        choice.on_end(address, 0.0, step * 0.1)
    assert len(set(asked[:5])) == 5
    assert asked[5:] == asked[:5]


def test_long_session_clears_failures() -> None:
    """Guards against a penalty that grows over the life of a process."""
    choice = _choice('z4')
    for hour in range(10):
        choice.on_end('10.4.0.1:1', 3000.0, hour * 3600.0)
        assert choice.next(hour * 3600.0 + 6.0) == '10.4.0.1:1'


def test_seeds_stay_reachable_when_the_known_ones_are_gone() -> None:
    """Guards against a node that is left with addresses of lost machines."""
    choice = replica_choice.ReplicaChoice('z1', {}, _SEEDS, random.Random(7))
    choice.learn([_voter(7)])
    seen = set()
    for step in range(4):
        address = choice.next(step * 0.1)
        seen.add(address)
        choice.on_end(address, 0.0, step * 0.1)
    assert seen == {*_SEEDS, '10.7.0.1:1'}


def test_changed_seeds_are_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that asks seeds which a reload has replaced."""
    monkeypatch.setattr(control_session, '_RECONNECT_MIN_S', 0.0)
    node = gateways.make_node('siop')
    node.session.fleet.seeds = ['10.9.0.1:1']
    asked = asyncio.Event()

    async def serve(address: str) -> None:
        if address == '10.9.0.1:1':
            asked.set()
        raise errors.LinkError(errors.ErrorKind.PEER_LOST)

    monkeypatch.setattr(node.session, '_run_session', serve)

    async def scenario() -> None:
        task = asyncio.create_task(node.session.run())
        async with asyncio.timeout(10.0):
            await asked.wait()
        task.cancel()

    asyncio.run(scenario())
