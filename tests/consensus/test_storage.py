"""Files of a replica after crashes and corruption."""

import asyncio
import collections.abc
import json
import pathlib
import shutil
import tempfile
import typing

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from godwitstall.consensus import log as log_module
from godwitstall.consensus import storage
from godwitstall import errors
from godwitstall import messages
from tests.consensus import fleet as fleets

_SLOT = messages.SlotId('c1')


def _entries(first: int, last: int, term: int = 1) -> list[messages.Entry]:
    return [
        messages.Entry(i, term, 1000 + i, b'command %d' % i)
        for i in range(first, last + 1)
    ]


def _format(folder: pathlib.Path) -> pathlib.Path:
    storage.format_disk(folder, 'test', _SLOT, True)
    return folder


def _write(folder: pathlib.Path, *groups: list[messages.Entry]) -> None:
    files = storage.LogFiles(folder)
    files.open()
    for group in groups:
        files.append(group)
    files.close()


def _read(folder: pathlib.Path) -> list[messages.Entry]:
    files = storage.LogFiles(folder)
    try:
        return files.open()
    finally:
        files.close()


@pytest.mark.parametrize('fill', [None, 0x00, 0xFF])
def test_torn_tail_is_cut(tmp_path: pathlib.Path, fill: int | None) -> None:
    """Guards against a replica that cannot start after a torn write.

    The last group is torn at each of its bytes: the file ends there, or is
    filled with other bytes.
    """
    folder = _format(tmp_path / 'd')
    path = storage.segment_path(folder, 1)
    _write(folder, _entries(1, 3))
    synced = path.stat().st_size
    _write(folder, _entries(4, 6))
    content = path.read_bytes()
    for size in range(synced, len(content)):
        tail = b'' if fill is None else bytes([fill]) * (len(content) - size)
        path.write_bytes(content[:size] + tail)
        entries = _read(folder)
        kept = len(entries)
        assert 3 <= kept < 6 or content[:size] + tail == content
        assert entries == _entries(1, kept)
        # New records must follow the remaining records.
        _write(folder, _entries(kept + 1, 7, term=2))
        assert _read(folder) == _entries(1, kept) + _entries(kept + 1, 7, 2)


def test_lost_block_of_the_last_group_is_cut(tmp_path: pathlib.Path) -> None:
    """Guards against reporting a partially written group as corruption.

    The disk may have stored the end of a group but not its beginning.
    """
    folder = _format(tmp_path / 'd')
    path = storage.segment_path(folder, 1)
    _write(folder, _entries(1, 3))
    start = path.stat().st_size
    _write(folder, _entries(4, 6))
    data = bytearray(path.read_bytes())
    data[start : start + 20] = bytes(20)
    path.write_bytes(data)
    assert _read(folder) == _entries(1, 3)


def test_bad_record_before_the_tail(tmp_path: pathlib.Path) -> None:
    """Guards against truncating synced entries as a torn write."""
    folder = _format(tmp_path / 'd')
    path = storage.segment_path(folder, 1)
    _write(folder, _entries(1, 1))
    end = path.stat().st_size
    _write(folder, _entries(2, 2), _entries(3, 3))
    content = path.read_bytes()
    for position in range(end):
        data = bytearray(content)
        data[position] ^= 0x10
        path.write_bytes(data)
        with pytest.raises(errors.StorageError, match='format it'):
            _read(folder)


def _flip_bit(path: pathlib.Path, position: int) -> None:
    data = bytearray(path.read_bytes())
    data[position] ^= 1
    path.write_bytes(data)


def _edit_identity(folder: pathlib.Path, **changes: typing.Any) -> None:
    path = folder / 'disk.json'
    path.write_text(json.dumps(json.loads(path.read_text()) | changes))


def _newest_file(folder: pathlib.Path, pattern: str) -> pathlib.Path:
    return sorted(folder.glob(pattern))[-1]


_Damage = collections.abc.Callable[[pathlib.Path], typing.Any]
_DAMAGES: dict[str, tuple[_Damage, str]] = {
    'other fleet': (lambda f: _edit_identity(f, fleet='x'), 'right disk'),
    'other slot': (lambda f: _edit_identity(f, slot='c9'), 'right disk'),
    'other format': (
        lambda f: _edit_identity(f, format=9),
        'program that wrote',
    ),
    'not formatted': (lambda f: (f / 'disk.json').unlink(), '--format'),
    'bad disk.json': (lambda f: _flip_bit(f / 'disk.json', 0), 'format it'),
    'bad vote': (lambda f: _flip_bit(f / 'vote', -1), 'format it'),
    'no vote': (lambda f: (f / 'vote').unlink(), 'format it'),
    'old vote': (
        lambda f: storage.write_vote(f, storage.Vote()),
        'of term 0, the log',
    ),
    'bad snapshot': (
        lambda f: _flip_bit(_newest_file(f, 'snapshot-*'), -1),
        'format it',
    ),
    'no snapshot': (
        lambda f: _newest_file(f, 'snapshot-*').unlink(),
        'missing',
    ),
    'cut snapshot': (
        lambda f: _newest_file(f, 'snapshot-*').write_bytes(b'abc'),
        'format it',
    ),
    'no log': (
        lambda f: [p.rename(f / f'x{p.name}') for p in f.glob('wal-*')],
        'no log file',
    ),
    'no middle segment': (
        lambda f: sorted(f.glob('wal-*'))[1].unlink(),
        'missing',
    ),
    'bad first segment': (
        lambda f: _flip_bit(sorted(f.glob('wal-*'))[0], -1),
        'format it',
    ),
}


@pytest.mark.parametrize('name', _DAMAGES)
def test_damaged_disk(tmp_path: pathlib.Path, name: str) -> None:
    """Guards against starting on a disk that lost synced data.

    Each error tells the operator what to do.
    """
    damage, text = _DAMAGES[name]
    fleet = fleets.Fleet(tmp_path, 1, snapshot_entries=16)
    slot = fleet.slots[0]

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        await fleet.propose(*(b'%d' % i for i in range(60)))
        # A segment ends at the first entry after a snapshot, which may come
        # after all commands proposed so far.
        number = 60
        async with asyncio.timeout(fleets.TIMEOUT_S):
            while len(list(fleet.folder(slot).glob('wal-*'))) < 3:
                await fleet.propose(b'%d' % number)
                number += 1
        await fleet.stop(slot)
        damage(fleet.folder(slot))
        with pytest.raises(errors.StorageError, match=text):
            await fleet.start()

    fleets.run(scenario, fleet)


def test_format_refuses_a_used_folder(tmp_path: pathlib.Path) -> None:
    """Guards against wiping a disk by a wrong path."""
    folder = _format(tmp_path / 'd')
    with pytest.raises(errors.StorageError, match='not empty'):
        _format(folder)


class LogModel(stateful.RuleBasedStateMachine):
    """Compares the log and its files with a plain list of entries."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.root = pathlib.Path(tempfile.mkdtemp())
        self.folder = _format(self.root / 'd')
        self.model: list[messages.Entry] = []
        self.snapshot = messages.SnapshotFile()
        self.term = 1
        self.open()

    def open(self) -> None:
        self.log = log_module.Log(storage.LogFiles(self.folder))
        self.log.open(self.snapshot)
        self.writer = self.loop.create_task(self.log.run())

    def stop(self) -> None:
        self.writer.cancel()
        self.loop.run_until_complete(
            asyncio.gather(self.writer, return_exceptions=True)
        )
        self.log.files.close()

    def teardown(self) -> None:
        self.stop()
        self.loop.close()
        shutil.rmtree(self.root)

    @property
    def last(self) -> int:
        return max(
            self.snapshot.last_index, self.model[-1].index if self.model else 0
        )

    @stateful.rule(count=strategies.integers(1, 5))
    def append(self, count: int) -> None:
        new_entries = _entries(self.last + 1, self.last + count, self.term)
        self.model += new_entries
        self.log.append(list(new_entries))

    @stateful.rule(back=strategies.integers(0, 4))
    def truncate(self, back: int) -> None:
        from_index = max(self.snapshot.last_index + 1, self.last - back)
        self.term += 1
        self.model = [e for e in self.model if e.index < from_index]
        self.log.truncate(from_index)

    def set_snapshot(self, index: int, term: int) -> None:
        self.snapshot = messages.SnapshotFile(index, term, 1)

    @stateful.precondition(lambda self: self.last > self.snapshot.last_index)
    @stateful.rule(back=strategies.integers(0, 3))
    def compact(self, back: int) -> None:
        index = max(self.snapshot.last_index + 1, self.last - back)
        term = next(e.term for e in self.model if e.index == index)
        self.set_snapshot(index, term)
        self.log.compact(self.snapshot)

    @stateful.rule(ahead=strategies.integers(1, 4))
    def install(self, ahead: int) -> None:
        self.term += 1
        self.set_snapshot(self.last + ahead, self.term)
        self.model = []
        self.log.reset(self.snapshot)

    @stateful.rule()
    def sync(self) -> None:
        self.loop.run_until_complete(self.log.sync())
        assert self.log.durable_index == self.last

    @stateful.rule()
    def restart(self) -> None:
        self.sync()
        self.stop()
        self.open()

    @stateful.invariant()
    def same_entries(self) -> None:
        """Entries after the snapshot match; older ones may be dropped."""
        after = self.snapshot.last_index + 1
        assert self.log.last_index == self.last
        assert self.log.entries_between(after, 1 << 40) == [
            e for e in self.model if e.index >= after
        ]
        for entry in self.log.entries:
            assert entry in self.model
        assert self.log.term_at(self.snapshot.last_index) == (
            self.snapshot.last_term
        )


TestLogModel = LogModel.TestCase
TestLogModel.settings = settings(
    max_examples=25, stateful_step_count=25, derandomize=True, deadline=None
)
