"""Snapshots that are slow, interrupted, or large beside their log."""

import asyncio
import pathlib
import typing

import pytest

from godwitstall.consensus import snapshots
from godwitstall.consensus import storage
from tests.consensus import fleet as fleets

_ENTRIES = 16


def _commands(start: int, count: int) -> list[bytes]:
    return [b'%d' % number for number in range(start, start + count)]


async def _propose(member: fleets.Member, commands: list[bytes]) -> None:
    await asyncio.gather(
        *(member.replica.propose(c, fleets.TIMEOUT_S) for c in commands)
    )


def test_entries_during_a_snapshot(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a snapshot that includes some later entries."""
    # Write each part in a thread, so that snapshots take longer.
    monkeypatch.setattr(snapshots, '_WRITE_BATCH_BYTES', 1)

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        leader = await fleet.leader()
        replica = leader.replica
        overlap_count = 0
        for start in range(0, 400, 4):
            await _propose(leader, _commands(start, 4))
            overlap_count += replica.snapshots.lock.locked()
        assert overlap_count > 10
        await fleets.wait_until(lambda: not replica.snapshots.lock.locked())
        assert replica.state.log.snapshot_index > 100
        await fleet.stop(leader.slot)
        await fleet.start()
        await fleet.propose(b'more')
        await fleet.wait_until_applied(*_commands(0, 400), b'more')

    fleets.run(scenario, fleets.Fleet(tmp_path, 1, snapshot_entries=_ENTRIES))


@pytest.mark.parametrize('step', ['write', 'commit', 'rename'])
@pytest.mark.parametrize('leaves_file', [False, True])
def test_crash_during_a_snapshot(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    step: str,
    leaves_file: bool,
) -> None:
    """Guards against entries lost by a crash during a snapshot."""
    reached = asyncio.Event()
    loop: list[asyncio.AbstractEventLoop] = []

    def crash(*arguments: typing.Any) -> None:
        loop[0].call_soon_threadsafe(reached.set)
        raise OSError(5, 'Input/output error')

    async def scenario(fleet: fleets.Fleet) -> None:
        loop.append(asyncio.get_running_loop())
        await fleet.start()
        leader = await fleet.leader()
        await _propose(leader, _commands(0, 3 * _ENTRIES))
        await fleets.wait_until(
            lambda: not leader.replica.snapshots.lock.locked()
        )
        first = leader.replica.state.log.snapshot_index
        assert first
        with monkeypatch.context() as patch:
            if leaves_file:
                patch.setattr(storage.SnapshotWriter, 'close', lambda _: None)
            if step == 'rename':
                patch.setattr(pathlib.Path, 'rename', crash)
            else:
                patch.setattr(storage.SnapshotWriter, step, crash)
            last_commands = _commands(3 * _ENTRIES, 4 * _ENTRIES)
            await _propose(leader, last_commands[:1])
            tasks = [
                asyncio.create_task(
                    leader.replica.propose(c, fleets.TIMEOUT_S)
                )
                for c in last_commands[1:]
            ]
            await reached.wait()
            await leader.replica.wait_failed()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.stop(leader.slot)
        acknowledged = 1 + sum(isinstance(r, tuple) for r in results)
        folder = fleet.folder(leader.slot)
        temp_files = list(folder.glob('*.tmp'))
        assert bool(temp_files) is leaves_file
        await fleet.start()
        leader = await fleet.leader()
        assert not any(path.exists() for path in temp_files)
        restored = leader.machine.commands
        expected = _commands(0, 3 * _ENTRIES) + last_commands
        assert restored == expected[: len(restored)]
        assert len(restored) >= 3 * _ENTRIES + acknowledged

    fleets.run(scenario, fleets.Fleet(tmp_path, 1, snapshot_entries=_ENTRIES))


def test_stop_during_a_snapshot(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a frozen state or a file left after cancellation."""
    monkeypatch.setattr(snapshots, '_WRITE_BATCH_BYTES', 1)
    closed: list[bool] = []

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        leader = await fleet.leader()
        freeze = leader.machine.freeze

        def endless_freeze() -> typing.Any:
            try:
                yield from freeze()
                while True:
                    yield b''
            finally:
                closed.append(True)

        leader.machine.freeze = endless_freeze  # type: ignore[method-assign]
        await _propose(leader, _commands(0, 2 * _ENTRIES))
        assert leader.replica.snapshots.lock.locked() and not closed
        await fleet.stop(leader.slot)
        folder = fleet.folder(leader.slot)
        assert closed and not list(folder.glob('*.tmp'))
        await fleet.start()
        await fleet.wait_until_applied(*_commands(0, 2 * _ENTRIES))

    fleets.run(scenario, fleets.Fleet(tmp_path, 1, snapshot_entries=_ENTRIES))


def test_large_state_is_written_seldom(tmp_path: pathlib.Path) -> None:
    """Guards against writing a large state for every few small entries."""

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        leader = await fleet.leader()
        replica = leader.replica
        large = b'x' * 80_000
        await _propose(leader, [large, *_commands(0, _ENTRIES)])
        await fleets.wait_until(lambda: replica.state.log.snapshot_index > 0)
        await fleets.wait_until(lambda: not replica.snapshots.lock.locked())
        first = replica.state.log.snapshot_index
        for start in range(0, 200, 10):
            await _propose(leader, _commands(1000 + start, 10))
        assert replica.state.log.snapshot_index == first
        await _propose(leader, [b'y' * 10_000])
        await fleets.wait_until(
            lambda: replica.state.log.snapshot_index > first
        )

    fleets.run(scenario, fleets.Fleet(tmp_path, 1, snapshot_entries=_ENTRIES))
