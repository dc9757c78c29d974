"""Open links between replicas go silent without a reset; new ones work."""

import pathlib

import pytest

from godwitstall import errors
from godwitstall import messages
from tests.consensus import fleet as fleets


def test_leader_is_elected_although_old_links_are_silent(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a fleet that stays without a leader.

    The leader notices its silent links by itself. The others notice theirs
    only when they ask for votes, after the leader has been lost.
    """
    fleet = fleets.Fleet(tmp_path, 5)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(b'1')
        fleet.silence_open_links()
        await fleet.propose(b'2')
        await fleet.stop((await fleet.leader()).slot)
        await fleet.propose(b'3')
        await fleet.wait_until_applied(b'1', b'2', b'3')

    fleets.run(scenario, fleet)


def test_forwarding_goes_on_although_old_links_are_silent(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a replica that can forward nothing to its leader."""
    fleet = fleets.Fleet(tmp_path, 3)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(b'1')
        leader = await fleet.leader()
        follower = fleet.members[fleet.others(leader.slot)[0]].replica
        fleet.silence_open_links()
        silent = follower.leader_link()
        assert silent is not None
        with pytest.raises(errors.LinkError):
            await silent.request(messages.TransferLeadership(term=0), 0.05)
        await fleets.wait_until(
            lambda: follower.leader_link() not in (None, silent)
        )
        link = follower.leader_link()
        assert link is not None
        reply = await link.request(
            messages.TransferLeadership(term=0), fleets.TIMEOUT_S
        )
        assert isinstance(reply, messages.Done)

    fleets.run(scenario, fleet)
