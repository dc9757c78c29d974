"""Replacement of a lost voter beside a change of leader."""

import asyncio
import pathlib

import pytest

from godwitstall import clock
from godwitstall.consensus import voter_changes
from tests.consensus import fleet as fleets
from tests.consensus import test_discovery

_VOTER_TIMEOUT_S = 0.5


def test_new_leader_knows_which_voter_has_been_gone(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lost voter that stays one after each new election.

    While it does, the fleet tolerates one loss less, although the successor
    of the voter has been there for long.
    """
    monkeypatch.setattr(voter_changes, '_VOTER_TIMEOUT_S', _VOTER_TIMEOUT_S)
    fleet = test_discovery.SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.wait_for_voters(*fleet.slots)
        first = await fleet.leader()
        lost = fleet.others(first.slot)[0]
        await fleet.stop(lost)
        lost_at = clock.now()
        await fleets.wait_until(
            lambda: clock.now() - lost_at > 2 * _VOTER_TIMEOUT_S
        )
        await fleet.stop(first.slot)
        second = await fleet.leader()
        state = second.replica.state
        # No time has passed in which the new leader waited for replies.
        state.leader_since = clock.now()
        changes = voter_changes.VoterChanges(state)
        gone = changes.unresponsive_voter()
        assert gone is not None and gone.slot == lost

    fleets.run(scenario, fleet)


def test_voter_that_was_lost_just_now_is_not_replaced(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a voter replaced for a link that broke for a moment."""
    monkeypatch.setattr(voter_changes, '_VOTER_TIMEOUT_S', fleets.TIMEOUT_S)
    fleet = test_discovery.SeedFleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.wait_for_voters(*fleet.slots)
        leader = await fleet.leader()
        lost = fleet.others(leader.slot)[0]
        peer = leader.replica.state.peers[lost]
        await fleet.stop(lost)
        await fleets.wait_until(lambda: peer.link is None)
        await asyncio.sleep(0.2)
        changes = voter_changes.VoterChanges(leader.replica.state)
        assert changes.unresponsive_voter() is None

    fleets.run(scenario, fleet)
