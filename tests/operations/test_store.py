"""Tests of the record store, with snapshots compared with plain copies."""

import typing

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import store as stores

# Few records in a block, so that changes occur between blocks of a snapshot.
_BLOCK_RECORDS = 3
_START_MS = 1_700_000_000_000


def _make_key(number: int) -> int:
    # All keys are in the same shard, every second one in the same workspace.
    return stores.make_key(number % 2, (_START_MS << 80) + (number // 2 << 11))


def _load(blocks: list[bytes]) -> stores.RecordStore:
    header, *rest = blocks
    store, _ = stores.load_header(header)
    for block in rest:
        stores.load_block(store, block)
    return store


def _list_records(store: stores.RecordStore) -> list[tuple[int, bytes]]:
    """Return all records in insertion order by emptying a copy."""
    copy = _load(list(store.snapshot_blocks(0)))
    found = []
    while (key := copy.first_key()) is not None:
        packed = copy.get(key)
        assert packed is not None
        found.append((key, packed))
        copy.pop_first()
    assert len(copy) == 0 and not copy.shards
    return found


class _OpenSnapshots(stateful.RuleBasedStateMachine):
    """Reads snapshots in parts while records are added, changed, removed."""

    def __init__(self) -> None:
        super().__init__()
        self.monkeypatch = pytest.MonkeyPatch()
        self.monkeypatch.setattr(stores, 'BLOCK_RECORDS', _BLOCK_RECORDS)
        self.monkeypatch.setattr(stores, 'CHUNK_KEYS', 2)
        self.store = stores.RecordStore()
        # Records in insertion order.
        self.model: dict[int, bytes] = {}
        self.next_number = 0
        # Open snapshots: generator, blocks read so far, expected records.
        self.snapshots: list[
            tuple[typing.Any, list[bytes], dict[int, bytes]]
        ] = []

    def teardown(self) -> None:
        self.monkeypatch.undo()

    @stateful.rule(count=st.integers(1, 5))
    def add(self, count: int) -> None:
        for _ in range(count):
            key, packed = (
                _make_key(self.next_number),
                b'new %d' % self.next_number,
            )
            self.store.put(key, packed)
            self.model[key] = packed
            self.next_number += 1

    @stateful.rule(index=st.integers(0, 50), packed=st.binary(max_size=4))
    def change(self, index: int, packed: bytes) -> None:
        if self.model:
            key = list(self.model)[index % len(self.model)]
            self.store.put(key, packed)
            self.model[key] = packed

    @stateful.rule(count=st.integers(1, 5))
    def remove(self, count: int) -> None:
        for _ in range(min(count, len(self.model))):
            self.store.pop_first()
            del self.model[next(iter(self.model))]

    @stateful.precondition(lambda self: len(self.snapshots) < 3)
    @stateful.rule()
    def open_snapshot(self) -> None:
        self.snapshots.append(
            (self.store.snapshot_blocks(7), [], dict(self.model))
        )

    @stateful.precondition(lambda self: self.snapshots)
    @stateful.rule(index=st.integers(0, 2), count=st.integers(1, 4))
    def read(self, index: int, count: int) -> None:
        snapshot, blocks, _ = self.snapshots[index % len(self.snapshots)]
        for _ in range(count):
            blocks.extend([block for block in [next(snapshot, None)] if block])

    @stateful.precondition(lambda self: self.snapshots)
    @stateful.rule(index=st.integers(0, 2))
    def read_to_end(self, index: int) -> None:
        snapshot, blocks, expected = self.snapshots.pop(
            index % len(self.snapshots)
        )
        loaded = _load([*blocks, *snapshot])
        assert _list_records(loaded) == list(expected.items())

    @stateful.precondition(lambda self: self.snapshots)
    @stateful.rule(index=st.integers(0, 2))
    def close_early(self, index: int) -> None:
        self.snapshots.pop(index % len(self.snapshots))[0].close()

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        blocks = list(self.store.snapshot_blocks(7))
        loaded = _load(blocks)
        assert list(loaded.snapshot_blocks(7)) == blocks
        if not self.snapshots:
            self.store = loaded

    @stateful.invariant()
    def check_records(self) -> None:
        assert len(self.store) == len(self.model)
        assert self.store.first_key() == next(iter(self.model), None)
        for key, packed in self.model.items():
            assert self.store.get(key) == packed
        # Before images are kept for open snapshots only.
        open_snapshots = [
            snapshot for snapshot in self.snapshots if snapshot[0].gi_frame
        ]
        assert len(self.store._before_images) == len(open_snapshots)


TestViews = _OpenSnapshots.TestCase


@pytest.mark.parametrize(
    'attempt_id',
    ['', 'A', 'ab' * 16, 'AB' * 16, 'ab ' * 8, 'ab' * 15 + ' a', 'é' * 16],
)
@pytest.mark.parametrize(
    'claimed_ms,ended_ms',
    [(0, 0), (0, _START_MS), (_START_MS - 9, 0), (_START_MS + 9, _START_MS)],
)
def test_pack(attempt_id: str, claimed_ms: int, ended_ms: int) -> None:
    """Guards against a field that changes when it is packed and unpacked."""
    record = messages.OperationRecord(
        messages.OperationId('018bcfe5-6800-7fff-bfff-ffffffffffff'),
        messages.WorkspaceName('w'),
        b'd' * 32,
        messages.AttemptId(attempt_id),
        messages.NodeId('n1'),
        2**64 - 1,
        'u',
        'r',
        messages.OperationState.RUN,
        claimed_ms,
        ended_ms,
        65535,
        b'h',
        b'b',
        True,
        2**32 - 1,
    )
    store = stores.RecordStore()
    key = stores.make_key(
        store.workspace_table.intern('w'),
        int(record.operation_id.replace('-', ''), 16),
    )
    assert stores.key_time_ms(key) == _START_MS
    packed = stores.pack(store, key, record)
    assert stores.unpack(store, key, packed) == record


@pytest.mark.parametrize(
    'data', [b'', b'x', b'\x92\xa0\x90', b'\x92\xc4\x01k\x90']
)
def test_bad_block(data: bytes) -> None:
    """Guards against the use of records from a damaged block."""
    with pytest.raises(errors.LinkError):
        stores.load_block(stores.RecordStore(), data)
    with pytest.raises(errors.LinkError):
        stores.load_header(data)
