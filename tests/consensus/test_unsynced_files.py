"""Files that a process left unsynced when it was killed."""

import contextlib
import pathlib
import random

import pytest

from godwitstall.consensus import follower as followers
from godwitstall.consensus import log as log_module
from godwitstall.consensus import storage
from godwitstall import messages
from tests.consensus import disks as disks_module
from tests.consensus import fleet as fleets

_SLOT = messages.SlotId('c1')
# Losses of power of a test in which what survives is random.
_SEEDS = range(20)


def _entries(first: int, last: int) -> list[messages.Entry]:
    return [
        messages.Entry(i, 1, 1000 + i, b'command %d' % i)
        for i in range(first, last + 1)
    ]


def _format(root: pathlib.Path) -> pathlib.Path:
    folder = root / 'd'
    storage.format_disk(folder, 'test', _SLOT, True)
    return folder


def _read_log(folder: pathlib.Path) -> log_module.Log:
    log = log_module.Log(storage.LogFiles(folder))
    log.open(messages.SnapshotFile())
    log.files.close()
    return log


def test_entry_written_by_a_killed_process_is_durable_once_read(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against acknowledging an entry that was never synced.

    After a restart the entry is in the log, so that the follower confirms it
    to the leader without a further sync.
    """
    disks = disks_module.Disks(random.Random(), tmp_path / 'durable')
    disks.install(monkeypatch)
    folder = _format(tmp_path)
    files = storage.LogFiles(folder)
    files.open()
    files.append(_entries(1, 3))
    disks.faulty_folders.add(folder)
    with pytest.raises(OSError, match='disk failed'):
        files.append(_entries(4, 4))
    files.close()
    disks.faulty_folders.clear()
    confirmed_index = _read_log(folder).durable_index
    disks.restore(folder, disks.image(folder, keeps_later=False))
    assert _read_log(folder).last_index >= confirmed_index
    disks.close()


def test_vote_renamed_by_a_killed_process_is_durable_once_read(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a vote that is given twice, or a disk without its term.

    A replica stores a vote only if it differs from the one that it read.
    """
    disks = disks_module.Disks(random.Random(), tmp_path / 'durable')
    disks.install(monkeypatch)
    fleet = fleets.Fleet(tmp_path, 2)
    slot = fleet.slots[0]
    folder = fleet.folder(slot)
    vote = storage.Vote(7, 'c2/disk')

    def fail_to_sync_folder(path: pathlib.Path) -> None:
        raise OSError(f'{path} was not synced')

    with monkeypatch.context() as patch:
        patch.setattr(storage, 'sync_folder', fail_to_sync_folder)
        with pytest.raises(OSError, match='not synced'):
            storage.write_vote(folder, vote)

    async def start_and_lose_power(_: fleets.Fleet) -> None:
        await fleet.start(slot)
        assert fleet.members[slot].replica.state.term == vote.term
        image = disks.image(folder, keeps_later=False)
        await fleet.stop(slot)
        disks.restore(folder, image)

    fleets.run(start_and_lose_power, fleet)
    assert storage.read_vote(folder) == vote
    disks.close()


@pytest.mark.parametrize('is_oldest', [False, True])
def test_loss_of_power_while_segments_are_deleted(
    tmp_path: pathlib.Path, is_oldest: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a gap in the log, with which a replica cannot start.

    The power fails at the first sync of the folder, or before any.
    """
    for seed in _SEEDS:
        root = tmp_path / str(seed)
        root.mkdir()
        with monkeypatch.context() as patch:
            disks = disks_module.Disks(random.Random(seed), root / 'durable')
            disks.install(patch)
            folder = _format(root)
            files = storage.LogFiles(folder)
            files.open()
            for first in (1, 4, 7):
                files.append(_entries(first, first + 2))
                files.roll(first + 3)
            disks.faulty_folders.add(folder)
            with contextlib.suppress(OSError):
                if is_oldest:
                    files.delete_before(10)
                else:
                    files.truncate(2)
            files.close()
            disks.faulty_folders.clear()
            disks.restore(folder, disks.image(folder, keeps_later=True))
            storage.LogFiles(folder).open()
            disks.close()


def test_snapshot_keeps_the_entries_after_it(tmp_path: pathlib.Path) -> None:
    """Guards against dropping entries that were acknowledged as durable.

    A leader whose log no longer has the entry that it wants to compare sends
    its snapshot, and the follower may have entries after it.
    """
    fleet = fleets.Fleet(tmp_path, 2)
    slot = fleet.slots[1]

    async def scenario(_: fleets.Fleet) -> None:
        await fleet.start(slot)
        replica = fleet.members[slot].replica
        voters = [messages.Voter(s, messages.DiskId('d')) for s in fleet.slots]
        first = messages.SnapshotFile(1, 1, 1000, voters, voters_index=1)
        await _send_snapshot(replica.follower, first)
        await replica.follower.on_append(
            messages.AppendRequest(
                term=1,
                slot=fleet.slots[0],
                previous_index=1,
                previous_term=1,
                entries=_entries(2, 9),
                commit_index=2,
            )
        )
        later = messages.SnapshotFile(5, 1, 1005, voters, voters_index=1)
        await _send_snapshot(replica.follower, later)
        assert replica.state.applied_index == 5
        assert replica.state.log.last_index == 9
        assert replica.state.log.entries_between(6, 9) == _entries(6, 9)
        await fleet.stop(slot)
        await fleet.start(slot)
        assert fleet.members[slot].replica.state.log.last_index == 9

    async def _send_snapshot(
        follower: followers.Follower, header: messages.SnapshotFile
    ) -> None:
        data = storage.pack_snapshot(header, b'command')
        await follower.on_snapshot_chunk(
            messages.SnapshotChunk(
                term=1,
                slot=fleet.slots[0],
                last_index=header.last_index,
                last_term=header.last_term,
                offset=0,
                is_last=True,
                data=data,
            )
        )

    fleets.run(scenario, fleet)
