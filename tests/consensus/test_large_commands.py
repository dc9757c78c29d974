"""Large commands: what a replica keeps of them, and how it applies them."""

import pathlib
import typing

import pytest

from godwitstall.consensus import applier as appliers
from godwitstall.consensus import snapshot_manager
from tests.consensus import fleet as fleets

_COMMAND_BYTES = 64 * 1024
# Small, so that few commands make a snapshot due.
_SNAPSHOT_LOG_BYTES = 8 * _COMMAND_BYTES


def _commands(count: int) -> list[bytes]:
    return [b'%d ' % i + b'x' * _COMMAND_BYTES for i in range(count)]


def test_log_of_large_commands_is_bounded(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against replicas that cannot hold their log at the next start.

    There are far fewer commands than make a snapshot due by their number.
    """
    monkeypatch.setattr(
        snapshot_manager, '_SNAPSHOT_LOG_BYTES', _SNAPSHOT_LOG_BYTES
    )
    fleet = fleets.Fleet(tmp_path, 3)
    commands = _commands(60)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(*commands)
        await fleet.wait_until_applied(*commands)

        def is_bounded() -> bool:
            return all(
                len(member.replica.state.log.entries) * _COMMAND_BYTES
                <= 3 * _SNAPSHOT_LOG_BYTES
                and sum(
                    path.stat().st_size
                    for path in fleet.folder(slot).glob('wal-*.log')
                )
                <= 3 * _SNAPSHOT_LOG_BYTES
                for slot, member in fleet.members.items()
            )

        await fleets.wait_until(is_bounded)
        for slot in fleet.slots:
            await fleet.stop(slot)
        await fleet.start()
        await fleet.wait_until_applied(*commands)

    fleets.run(scenario, fleet)


def test_large_entries_are_applied_in_several_turns(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an event loop that stands still while a log is read."""
    fleet = fleets.Fleet(tmp_path, 1)
    commands = _commands(40)
    batches: list[int] = []
    apply_batch = appliers.Applier._apply_batch

    def count_applied(applier: appliers.Applier) -> None:
        before = applier.state.applied_index
        apply_batch(applier)
        batches.append(applier.state.applied_index - before)

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(*commands)
        await fleet.stop(fleet.slots[0])
        patched: typing.Any = count_applied
        monkeypatch.setattr(appliers.Applier, '_apply_batch', patched)
        await fleet.start()
        await fleet.wait_until_applied(*commands)
        assert max(batches) * _COMMAND_BYTES <= 2 * 256 * 1024

    fleets.run(scenario, fleet)
