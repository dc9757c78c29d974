"""Bytes that an earlier build wrote, read by this one."""

import asyncio
import json
import pathlib
import shutil

import pytest

from godwitstall import codec
from godwitstall import messages
from tests.control import harness
from tests.recorded import recorder

_MESSAGES: dict[str, str] = json.loads(recorder.MESSAGES.read_text())


def test_every_message_is_recorded() -> None:
    """Guards against a message of which no bytes are compared."""
    names = {kind.__name__ for kind in recorder.all_kinds()}
    assert names == set(_MESSAGES)


@pytest.mark.parametrize(
    'kind', recorder.all_kinds(), ids=lambda k: k.__name__
)
def test_message_has_the_recorded_bytes(kind: type) -> None:
    """Guards against a renamed or moved field that old peers misread."""
    data = bytes.fromhex(_MESSAGES[kind.__name__])
    message = recorder.sample(kind)
    assert codec.encode(message) == data
    assert codec.decode(data) == message


async def _set_addresses(fleet: harness.Fleet) -> None:
    """Replace the recorded addresses of the replicas by those of this run."""
    for slot, process in fleet.control.items():
        found = await fleet.addresses_for(slot)
        for peer in process.replica.peers.values():
            peer.address = found[peer.slot]


def test_fleet_starts_on_recorded_disks(tmp_path: pathlib.Path) -> None:
    """Guards against a build that loses what an earlier one acknowledged.

    The three data folders hold a vote, a snapshot and log entries after it.
    """
    expected = json.loads(recorder.EXPECTED.read_text())
    ids = [messages.OperationId(text) for text in expected['OPERATIONS']]
    for slot in harness.SLOTS:
        shutil.copytree(recorder.DISKS / slot, tmp_path / slot)

    async def run() -> None:
        fleet = harness.Fleet(tmp_path, **recorder.OPTIONS)
        try:
            await fleet.start()
            await _set_addresses(fleet)
            leader = fleet.control[await fleet.leader()]
            found = recorder.read(leader, ids)
            assert json.loads(json.dumps(found)) == expected
            # The old log goes on with entries of this build.
            await fleet.apply_note(harness.rate_note(3, 6.0, 8))
            assert leader.configuration.number == 3
        finally:
            await fleet.close()

    asyncio.run(run())
