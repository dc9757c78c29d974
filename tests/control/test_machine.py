"""State machine: determinism, snapshots, updates and invalid commands."""

import itertools
import json
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall.control import machine
from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import store as stores
from godwitstall import settings

_START_MS = 1_700_000_000_000
_OPTIONS = settings.ControlOptions(
    slot=messages.SlotId('c1'),
    zone='z',
    region='r',
    admin_address='127.0.0.1:1',
    data_folder='unused',
    operation_lifetime_s=60,
    quarantine_lifetime_s=60,
)
_DIGEST = 'ab' * 32


def _new_machine() -> machine.Machine:
    return machine.Machine.from_config(_OPTIONS)


def _note(number: int, burst: int) -> messages.ApplyNote:
    table = 'added' if number == 1 else 'changed'
    text = f'number = {number}\n[[{table}.workspaces]]\nname = "w"\n'
    text += f'rate = 1\nburst = {burst}\n'
    if number == 1:
        text += f'[[added.keys]]\nid="k"\nworkspace="w"\ndigest="{_DIGEST}"\n'
    return messages.ApplyNote(
        number, notes.digest_of(text), 'ann', text.encode()
    )


_NODES: typing.Any = st.sampled_from(['n1', 'n2', 'n3'])
_NUMBERS = st.integers(1, 3)
_IDS: typing.Any = st.integers(0, 2).map(
    lambda tail: f'018bcfe5-6800-7000-8000-{tail:012x}'
)
_ATTEMPTS: typing.Any = st.sampled_from(['A', 'B'])
_FINGERPRINTS = st.sampled_from([b'1' * 32, b'2' * 32])
_STATES = st.sampled_from(list(messages.UpstreamState))

_COMMANDS = st.one_of(
    st.builds(_note, _NUMBERS, st.integers(0, 2)),
    st.builds(
        messages.Join,
        st.builds(messages.Member, _NODES, _NUMBERS, service=st.just('s')),
    ),
    st.builds(messages.SetUpstreamState, _NODES, _NUMBERS, _STATES),
    st.builds(messages.Leave, _NODES, _NUMBERS),
    st.builds(
        messages.Expire,
        st.lists(st.builds(messages.NodeBeat, _NODES, _NUMBERS), max_size=2),
    ),
    st.builds(messages.Drain, _NODES, st.booleans()),
    st.builds(
        messages.Claim,
        _IDS,
        st.just('w'),
        st.just(b'd'),
        _ATTEMPTS,
        _NODES,
        _NUMBERS,
    ),
    st.builds(messages.Complete, _IDS, _ATTEMPTS, workspace=st.just('w')),
    st.builds(messages.Release, _IDS, _ATTEMPTS, st.just('w')),
    st.builds(
        messages.ReportCrash,
        _FINGERPRINTS,
        node_id=_NODES,
        upstream_incarnation=_NUMBERS,
    ),
    st.builds(messages.Lift, _FINGERPRINTS),
    st.builds(
        messages.Evacuate,
        st.sampled_from(['z1', 'z2', 'z9']),
        st.booleans(),
        known_zones=st.just(['z1', 'z2']),
        seen_index=st.integers(0, 9),
    ),
).map(codec.encode)


def _query_all(replica: machine.Machine) -> str:
    """Return the results of all queries as JSON."""
    texts = [f'018bcfe5-6800-7000-8000-{tail:012x}' for tail in range(3)]
    return json.dumps(
        [
            replica.query(kind, text)
            for kind in messages.QueryKind
            for text in ('', *texts)
        ]
    )


def _decode_update(update: messages.StateUpdate) -> messages.StateUpdate:
    data = codec.encode(update)
    return typing.cast(messages.StateUpdate, codec.decode(data))


class _Replicas(stateful.RuleBasedStateMachine):
    """Compares two replicas, one of them restored, and a node's view."""

    def __init__(self) -> None:
        super().__init__()
        self.first, self.second = _new_machine(), _new_machine()
        self.index, self.now = 0, _START_MS
        self.notified_at: list[int] = []
        self.first.on_change.append(
            lambda: self.notified_at.append(self.index)
        )
        # Snapshot in progress: remaining sections, sections read so far, and
        # the complete snapshot for comparison.
        self.sections: typing.Any = None
        self.sections_read: list[bytes] = []
        self.snapshot = b''
        # Small blocks, so that the few records of this test need several.
        self.monkeypatch = pytest.MonkeyPatch()
        self.monkeypatch.setattr(stores, 'BLOCK_RECORDS', 1)
        self.monkeypatch.setattr(stores, 'CHUNK_KEYS', 2)
        # State of a node that receives updates.
        self.node = _decode_update(self.first.full_update())

    def _view(self) -> tuple[typing.Any, ...]:
        full = self.first.full_update()
        members = sorted(map(repr, full.members))
        return (
            full.configuration,
            members,
            full.quarantines,
            full.evacuations,
        )

    @stateful.rule(command=_COMMANDS, step=st.sampled_from([0, 1, 30_000]))
    def apply(self, command: bytes, step: int) -> None:
        self.index += 1
        self.now += step
        before = self._view()
        result = self.first.apply(self.index, self.now, command)
        assert self.second.apply(self.index, self.now, command) == result
        is_changed = before != self._view()
        assert is_changed == (self.notified_at[-1:] == [self.index])

    @stateful.rule(data=st.binary(max_size=64))
    def apply_garbage(self, data: bytes) -> None:
        before = self.first.snapshot()
        self.index += 1
        result = codec.decode(self.first.apply(self.index, 0, data))
        assert isinstance(result, messages.CommandResult)
        assert result.detail and not result.is_accepted
        assert self.first.snapshot() == before
        self.second.apply(self.index, 0, data)

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        data = self.first.snapshot()
        assert data == self.second.snapshot()
        self.second = _new_machine()
        self.second.restore(self.index, data)

    def teardown(self) -> None:
        self.monkeypatch.undo()

    @stateful.precondition(lambda self: self.sections is None)
    @stateful.rule()
    def begin_snapshot(self) -> None:
        self.snapshot = self.second.snapshot()
        self.sections, self.sections_read = self.first.freeze(), []

    @stateful.precondition(lambda self: self.sections is not None)
    @stateful.rule(count=st.integers(1, 2))
    def read_parts(self, count: int) -> None:
        self.sections_read += itertools.islice(self.sections, count)

    @stateful.precondition(lambda self: self.sections is not None)
    @stateful.rule(command=_COMMANDS)
    def end_snapshot(self, command: bytes) -> None:
        """Load the snapshot at a replica that applies entries meanwhile."""
        data = b''.join([*self.sections_read, *self.sections])
        assert data == self.snapshot
        self.sections = None
        loading = _new_machine()
        for number, _ in enumerate(loading.load(self.index, data)):
            loading.apply(number, self.now + 99_999, command)
        assert (
            loading.snapshot() == data and loading.applied_index == self.index
        )
        assert loading.update_since(0).is_full or not self.index

    @stateful.rule(is_second=st.booleans())
    def node_reads_changes(self, is_second: bool) -> None:
        replica = self.second if is_second else self.first
        change = _decode_update(replica.update_since(self.node.index))
        members = {m.node_id: m for m in self.node.members}
        if change.is_full:
            members.clear()
        for member in change.members:
            members[member.node_id] = member
        for node_id in change.removed_members:
            members.pop(messages.NodeId(node_id), None)
        self.node.members = list(members.values())
        if change.has_configuration:
            self.node.configuration = change.configuration
        if change.has_quarantines:
            self.node.quarantines = change.quarantines
        if change.has_evacuations:
            self.node.evacuations = change.evacuations
        self.node.index = change.index
        members_seen = sorted(map(repr, self.node.members))
        view = (
            self.node.configuration,
            members_seen,
            self.node.quarantines,
            self.node.evacuations,
        )
        assert view == self._view() and self.node.index == self.index

    @stateful.invariant()
    def same_answers(self) -> None:
        answers = _query_all(self.first)
        assert answers == _query_all(self.second)
        assert _DIGEST not in answers
        assert self.first.full_update() == self.second.full_update()


TestReplicas = _Replicas.TestCase


@hypothesis.given(
    command=_COMMANDS,
    position=st.integers(0, 2000),
    mask=st.integers(1, 255),
)
@hypothesis.settings(max_examples=300)
def test_damaged_command(command: bytes, position: int, mask: int) -> None:
    """Guards against a replica that stops on a corrupted command."""
    corrupted = bytearray(command)
    corrupted[position % len(corrupted)] ^= mask
    first, second = _new_machine(), _new_machine()
    result = first.apply(1, _START_MS, bytes(corrupted))
    assert second.apply(1, _START_MS, bytes(corrupted)) == result
    codec.decode(result)
    second.restore(1, first.snapshot())
    assert second.snapshot() == first.snapshot()


@pytest.mark.parametrize(
    'command', [b'', b'x' * 99, codec.encode(messages.Cancel())]
)
def test_no_command(command: bytes) -> None:
    """Guards against results that contain memory addresses."""
    result = codec.decode(_new_machine().apply(1, _START_MS, command))
    assert isinstance(result, messages.CommandResult)
    assert result.detail in (
        'The command cannot be decoded.',
        'Cancel is not a command.',
    )


def test_time_never_goes_back() -> None:
    """Guards against a result dated before the previous entry."""
    replica = _new_machine()
    replica.apply(1, _START_MS, b'')
    result = codec.decode(replica.apply(2, 1, codec.encode(_note(1, 1))))
    assert isinstance(result, messages.NoteResult)
    assert result.time_ms == _START_MS


def test_short_history(monkeypatch: typing.Any) -> None:
    """Guards against a change that a node misses in a truncated history."""
    monkeypatch.setattr(machine, 'MAX_CHANGES', 2)
    replica = _new_machine()
    for number in range(1, 5):
        node_id = messages.NodeId(f'n{number}')
        member = messages.Member(node_id, 1, messages.ServiceName('s'))
        replica.apply(number, _START_MS, codec.encode(messages.Join(member)))
    assert [replica.update_since(i).is_full for i in range(6)] == [
        *[True, True, False, False, False, True]
    ]


def test_restore_refuses_other_bytes() -> None:
    """Guards against a replica that loses its state to an invalid snapshot."""
    replica = _new_machine()
    replica.apply(1, _START_MS, codec.encode(_note(1, 1)))
    claim = messages.Claim(
        messages.OperationId('018bcfe5-6800-7000-8000-000000000000'),
        attempt_id=messages.AttemptId('A'),
        node_id=messages.NodeId('n1'),
    )
    replica.apply(1, _START_MS, codec.encode(claim))
    before = replica.snapshot()
    other = codec.encode(messages.MachineSnapshot())
    for data in (
        b'',
        codec.encode(messages.Cancel()),
        before[:-1],
        before[:20],
        len(other).to_bytes(4, 'big') + other,
        before + b'\0\0\0\1x',
    ):
        with pytest.raises(errors.LinkError):
            replica.restore(9, data)
    assert replica.snapshot() == before and replica.applied_index == 1


def test_restore_of_records_as_messages() -> None:
    """Guards against an upgrade that cannot read a legacy snapshot."""
    first, second = _new_machine(), _new_machine()
    first.apply(1, _START_MS, codec.encode(_note(1, 1)))
    record = messages.OperationRecord(
        messages.OperationId('018bcfe5-6800-7000-8000-000000000000'),
        messages.WorkspaceName('w'),
        b'd',
        messages.AttemptId('A'),
        messages.NodeId('n1'),
        claimed_ms=_START_MS,
        claims=1,
    )
    second.restore(
        9,
        codec.encode(
            messages.MachineSnapshot(
                configuration=first.configuration.to_snapshot(),
                operations=messages.OperationsSnapshot([record], _START_MS),
            )
        ),
    )
    assert second.full_update().configuration.number == 1
    assert second.operations.lookup(record.operation_id) == [record]
    assert second.operations.time_ms == _START_MS
