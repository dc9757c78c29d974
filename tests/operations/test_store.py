"""Frozen records against a copy taken in one piece."""

import typing

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import store as stores

# Few records in a block, so that views meet changes on both sides of it.
_BLOCK = 3
_T0 = 1_700_000_000_000


def _key(number: int) -> int:
    # Every second record is in the same shard.
    return stores.key_of(number % 2, (_T0 << 80) + (number // 2 << 11))


def _loaded(blocks: list[bytes]) -> stores.RecordStore:
    head, *rest = blocks
    store, _ = stores.start_load(head)
    for block in rest:
        stores.load_block(store, block)
    return store


def _content(store: stores.RecordStore) -> list[tuple[int, bytes]]:
    """Return all records by emptying a copy, first added first."""
    copy = _loaded(list(store.freeze(0)))
    found = []
    while (key := copy.first()) is not None:
        packed = copy.get(key)
        assert packed is not None
        found.append((key, packed))
        copy.pop_first()
    assert len(copy) == 0 and not copy.shards
    return found


class _Views(stateful.RuleBasedStateMachine):
    """Views are read bit by bit while records are added, changed, removed."""

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(stores, 'BLOCK_RECORDS', _BLOCK)
        self.patch.setattr(stores, 'CHUNK_KEYS', 2)
        self.store = stores.RecordStore()
        # Records in the order of adding.
        self.model: dict[int, bytes] = {}
        self.added = 0
        # Open views: generator, blocks so far, records at the start.
        self.views: list[tuple[typing.Any, list[bytes], dict[int, bytes]]] = []

    def teardown(self) -> None:
        self.patch.undo()

    @stateful.rule(count=st.integers(1, 5))
    def add(self, count: int) -> None:
        for _ in range(count):
            key, packed = _key(self.added), b'new %d' % self.added
            self.store.put(key, packed)
            self.model[key] = packed
            self.added += 1

    @stateful.rule(place=st.integers(0, 50), packed=st.binary(max_size=4))
    def change(self, place: int, packed: bytes) -> None:
        if self.model:
            key = list(self.model)[place % len(self.model)]
            self.store.put(key, packed)
            self.model[key] = packed

    @stateful.rule(count=st.integers(1, 5))
    def remove(self, count: int) -> None:
        for _ in range(min(count, len(self.model))):
            self.store.pop_first()
            del self.model[next(iter(self.model))]

    @stateful.precondition(lambda self: len(self.views) < 3)
    @stateful.rule()
    def freeze(self) -> None:
        self.views.append((self.store.freeze(7), [], dict(self.model)))

    @stateful.precondition(lambda self: self.views)
    @stateful.rule(place=st.integers(0, 2), count=st.integers(1, 4))
    def read(self, place: int, count: int) -> None:
        view, blocks, _ = self.views[place % len(self.views)]
        for _ in range(count):
            blocks.extend([block for block in [next(view, None)] if block])

    @stateful.precondition(lambda self: self.views)
    @stateful.rule(place=st.integers(0, 2))
    def finish(self, place: int) -> None:
        view, blocks, expected = self.views.pop(place % len(self.views))
        whole = _loaded([*blocks, *view])
        assert _content(whole) == list(expected.items())

    @stateful.precondition(lambda self: self.views)
    @stateful.rule(place=st.integers(0, 2))
    def abandon(self, place: int) -> None:
        self.views.pop(place % len(self.views))[0].close()

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        blocks = list(self.store.freeze(7))
        moved = _loaded(blocks)
        assert list(moved.freeze(7)) == blocks
        if not self.views:
            self.store = moved

    @stateful.invariant()
    def same_records(self) -> None:
        assert len(self.store) == len(self.model)
        assert self.store.first() == next(iter(self.model), None)
        for key, packed in self.model.items():
            assert self.store.get(key) == packed
        # Bytes of before are kept for open views only.
        open_views = [view for view in self.views if view[0].gi_frame]
        assert len(self.store._saved) == len(open_views)


TestViews = _Views.TestCase


@pytest.mark.parametrize(
    'attempt_id',
    ['', 'A', 'ab' * 16, 'AB' * 16, 'ab ' * 8, 'ab' * 15 + ' a', 'é' * 16],
)
@pytest.mark.parametrize(
    'claimed_ms,ended_ms', [(0, 0), (0, _T0), (_T0 - 9, 0), (_T0 + 9, _T0)]
)
def test_pack(attempt_id: str, claimed_ms: int, ended_ms: int) -> None:
    """Guards against a field that comes back as another value."""
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
    key = stores.key_of(
        store.workspaces.number_of('w'),
        int(record.operation_id.replace('-', ''), 16),
    )
    assert stores.time_of(key) == _T0
    packed = stores.pack(store, key, record)
    assert stores.unpack(store, key, packed) == record


@pytest.mark.parametrize(
    'data', [b'', b'x', b'\x92\xa0\x90', b'\x92\xc4\x01k\x90']
)
def test_bad_block(data: bytes) -> None:
    """Guards against records put together from a damaged block."""
    with pytest.raises(errors.LinkError):
        stores.load_block(stores.RecordStore(), data)
    with pytest.raises(errors.LinkError):
        stores.start_load(data)
