"""Choice of a control replica by zone and recent failures."""

import asyncio
import random

import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.node.sessions import control_session
from godwitstall.node.sessions import replica_choice
from tests import gateways

_SEEDS = ['10.1.0.1:1', '10.2.0.1:1', '10.3.0.1:1']


def _voter(zone: int) -> messages.Voter:
    return messages.Voter(
        messages.SlotId(f'c{zone}'),
        messages.DiskId('d'),
        f'10.{zone}.0.1:1',
        f'z{zone}',
    )


def _choice(zone: str, voter_count: int = 5) -> replica_choice.ReplicaChoice:
    choice = replica_choice.ReplicaChoice(zone, {}, _SEEDS, random.Random(7))
    choice.update(_voter(number) for number in range(1, voter_count + 1))
    return choice


def test_own_zone_goes_first() -> None:
    """Guards against control traffic that crosses zones unnecessarily."""
    choice = _choice('z4')
    assert {choice.next(0.0) for _ in range(50)} == {'10.4.0.1:1'}
    assert choice.should_move_to_own_zone('10.1.0.1:1', 0.0)
    assert not choice.should_move_to_own_zone('10.4.0.1:1', 0.0)


def test_zone_without_replica_spreads_over_all() -> None:
    """Guards against one replica that serves all zones without a replica."""
    choice = _choice('z9')
    assert len({choice.next(0.0) for _ in range(200)}) == 5
    assert not choice.should_move_to_own_zone('10.1.0.1:1', 0.0)


def test_failed_replica_comes_last_for_a_while() -> None:
    """Guards against a node that keeps using a partitioned replica."""
    choice = _choice('z4')
    choice.on_session_failed('10.4.0.1:1', 0.5, 0.0)
    assert choice.next(0.1) != '10.4.0.1:1'
    assert not choice.should_move_to_own_zone('10.1.0.1:1', 0.1)
    assert choice.next(100.0) == '10.4.0.1:1'
    assert choice.should_move_to_own_zone('10.1.0.1:1', 100.0)


def test_replica_that_fails_again_is_avoided_longer() -> None:
    """Guards against repeated moves to and from a partitioned replica."""
    choice = _choice('z4')
    now = 0.0
    moves = 0
    while now < 120.0:
        if choice.should_move_to_own_zone('10.1.0.1:1', now):
            moves += 1
            choice.on_session_failed('10.4.0.1:1', 0.6, now)
        now += 1.0
    assert moves <= 6


def test_all_failed_are_tried_in_turn() -> None:
    """Guards against a node that repeatedly tries the same dead replica."""
    choice = _choice('z4')
    chosen = []
    for step in range(10):
        address = choice.next(step * 0.1)
        chosen.append(address)
        choice.on_session_failed(address, 0.0, step * 0.1)
    assert len(set(chosen[:5])) == 5
    assert chosen[5:] == chosen[:5]


def test_long_session_clears_failures() -> None:
    """Guards against an avoidance time that grows during stable operation."""
    choice = _choice('z4')
    for hour in range(10):
        choice.on_session_failed('10.4.0.1:1', 3000.0, hour * 3600.0)
        assert choice.next(hour * 3600.0 + 6.0) == '10.4.0.1:1'


def test_seeds_stay_reachable_when_the_known_ones_are_gone() -> None:
    """Guards against a node that knows only replicas on lost VMs."""
    choice = replica_choice.ReplicaChoice('z1', {}, _SEEDS, random.Random(7))
    choice.update([_voter(7)])
    chosen = set()
    for step in range(4):
        address = choice.next(step * 0.1)
        chosen.add(address)
        choice.on_session_failed(address, 0.0, step * 0.1)
    assert chosen == {*_SEEDS, '10.7.0.1:1'}


def test_changed_seeds_are_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that uses seeds from before a reload."""
    monkeypatch.setattr(control_session, '_RECONNECT_MIN_S', 0.0)
    node = gateways.make_node('siop')
    node.session.fleet.seeds = ['10.9.0.1:1']
    is_new_seed_used = asyncio.Event()

    async def serve(address: str) -> None:
        if address == '10.9.0.1:1':
            is_new_seed_used.set()
        raise errors.LinkError(errors.ErrorKind.PEER_LOST)

    monkeypatch.setattr(node.session, '_run_session', serve)

    async def scenario() -> None:
        task = asyncio.create_task(node.session.run())
        async with asyncio.timeout(10.0):
            await is_new_seed_used.wait()
        task.cancel()

    asyncio.run(scenario())
