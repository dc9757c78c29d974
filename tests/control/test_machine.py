"""The machine: replicas agree, nodes converge, garbage is harmless."""

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

_T0 = 1_700_000_000_000
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


def _new() -> machine.Machine:
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
_PRINTS = st.sampled_from([b'1' * 32, b'2' * 32])
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
        _PRINTS,
        node_id=_NODES,
        upstream_incarnation=_NUMBERS,
    ),
    st.builds(messages.Lift, _PRINTS),
).map(codec.encode)


def _all_queries(replica: machine.Machine) -> str:
    """Return every answer as JSON, so each must be ready for JSON."""
    texts = [f'018bcfe5-6800-7000-8000-{tail:012x}' for tail in range(3)]
    return json.dumps(
        [
            replica.query(kind, text)
            for kind in messages.QueryKind
            for text in ('', *texts)
        ]
    )


def _decoded(update: messages.StateUpdate) -> messages.StateUpdate:
    data = codec.encode(update)
    return typing.cast(messages.StateUpdate, codec.decode(data))


class _Replicas(stateful.RuleBasedStateMachine):
    """A replica is replaced by a restored one; a node reads updates."""

    def __init__(self) -> None:
        super().__init__()
        self.first, self.second = _new(), _new()
        self.index, self.now = 0, _T0
        self.calls: list[int] = []
        self.first.on_change.append(lambda: self.calls.append(self.index))
        # Snapshot being taken: its parts, those read, the state in one piece.
        self.parts: typing.Any = None
        self.read: list[bytes] = []
        self.whole = b''
        # Several blocks for the few records of this test.
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(stores, 'BLOCK_RECORDS', 1)
        self.patch.setattr(stores, 'CHUNK_KEYS', 2)
        # What a node has seen.
        self.node = _decoded(self.first.full_update())

    def _view(self) -> tuple[typing.Any, ...]:
        full = self.first.full_update()
        members = sorted(map(repr, full.members))
        return full.configuration, members, full.quarantines

    @stateful.rule(command=_COMMANDS, step=st.sampled_from([0, 1, 30_000]))
    def apply(self, command: bytes, step: int) -> None:
        self.index += 1
        self.now += step
        before = self._view()
        result = self.first.apply(self.index, self.now, command)
        assert self.second.apply(self.index, self.now, command) == result
        is_changed = before != self._view()
        assert is_changed == (self.calls[-1:] == [self.index])

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
        self.second = _new()
        self.second.restore(self.index, data)

    def teardown(self) -> None:
        self.patch.undo()

    @stateful.precondition(lambda self: self.parts is None)
    @stateful.rule()
    def begin_snapshot(self) -> None:
        self.whole = self.second.snapshot()
        self.parts, self.read = self.first.freeze(), []

    @stateful.precondition(lambda self: self.parts is not None)
    @stateful.rule(count=st.integers(1, 2))
    def read_parts(self, count: int) -> None:
        self.read += itertools.islice(self.parts, count)

    @stateful.precondition(lambda self: self.parts is not None)
    @stateful.rule(command=_COMMANDS)
    def end_snapshot(self, command: bytes) -> None:
        """A replica loads it, and applies entries before it is loaded."""
        data = b''.join([*self.read, *self.parts])
        assert data == self.whole
        self.parts = None
        late = _new()
        for number, _ in enumerate(late.load(self.index, data)):
            late.apply(number, self.now + 99_999, command)
        assert late.snapshot() == data and late.applied_index == self.index
        assert late.update_since(0).is_full or not self.index

    @stateful.rule(is_second=st.booleans())
    def node_reads_changes(self, is_second: bool) -> None:
        replica = self.second if is_second else self.first
        change = _decoded(replica.update_since(self.node.index))
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
        self.node.index = change.index
        seen = sorted(map(repr, self.node.members))
        view = (self.node.configuration, seen, self.node.quarantines)
        assert view == self._view() and self.node.index == self.index

    @stateful.invariant()
    def same_answers(self) -> None:
        answers = _all_queries(self.first)
        assert answers == _all_queries(self.second)
        assert _DIGEST not in answers
        assert self.first.full_update() == self.second.full_update()


TestReplicas = _Replicas.TestCase


@hypothesis.given(
    command=_COMMANDS,
    place=st.integers(0, 2000),
    mask=st.integers(1, 255),
)
@hypothesis.settings(max_examples=300)
def test_damaged_command(command: bytes, place: int, mask: int) -> None:
    """Guards against a replica that a damaged command stops."""
    damaged = bytearray(command)
    damaged[place % len(damaged)] ^= mask
    first, second = _new(), _new()
    result = first.apply(1, _T0, bytes(damaged))
    assert second.apply(1, _T0, bytes(damaged)) == result
    codec.decode(result)
    second.restore(1, first.snapshot())
    assert second.snapshot() == first.snapshot()


@pytest.mark.parametrize(
    'command', [b'', b'x' * 99, codec.encode(messages.Cancel())]
)
def test_no_command(command: bytes) -> None:
    """Guards against results that differ by memory addresses."""
    result = codec.decode(_new().apply(1, _T0, command))
    assert isinstance(result, messages.CommandResult)
    assert result.detail in (
        'The command cannot be decoded.',
        'Cancel is not a command.',
    )


def test_time_never_goes_back() -> None:
    """Guards against a record dated before the entry it follows."""
    replica = _new()
    replica.apply(1, _T0, b'')
    result = codec.decode(replica.apply(2, 1, codec.encode(_note(1, 1))))
    assert isinstance(result, messages.NoteResult)
    assert result.time_ms == _T0


def test_short_history(monkeypatch: typing.Any) -> None:
    """Guards against a change that a node misses as the history is cut."""
    monkeypatch.setattr(machine, 'MAX_CHANGES', 2)
    replica = _new()
    for number in range(1, 5):
        node_id = messages.NodeId(f'n{number}')
        member = messages.Member(node_id, 1, messages.ServiceName('s'))
        replica.apply(number, _T0, codec.encode(messages.Join(member)))
    assert [replica.update_since(i).is_full for i in range(6)] == [
        *[True, True, False, False, False, True]
    ]


def test_restore_refuses_other_bytes() -> None:
    """Guards against a replica that loses its state to a bad snapshot."""
    replica = _new()
    replica.apply(1, _T0, codec.encode(_note(1, 1)))
    claim = messages.Claim(
        messages.OperationId('018bcfe5-6800-7000-8000-000000000000'),
        attempt_id=messages.AttemptId('A'),
        node_id=messages.NodeId('n1'),
    )
    replica.apply(1, _T0, codec.encode(claim))
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
    """Guards against an upgrade that cannot read the snapshot on the disk."""
    first, second = _new(), _new()
    first.apply(1, _T0, codec.encode(_note(1, 1)))
    record = messages.OperationRecord(
        messages.OperationId('018bcfe5-6800-7000-8000-000000000000'),
        messages.WorkspaceName('w'),
        b'd',
        messages.AttemptId('A'),
        messages.NodeId('n1'),
        claimed_ms=_T0,
        claims=1,
    )
    second.restore(
        9,
        codec.encode(
            messages.MachineSnapshot(
                configuration=first.configuration.to_snapshot(),
                operations=messages.OperationsSnapshot([record], _T0),
            )
        ),
    )
    assert second.full_update().configuration.number == 1
    assert second.operations.lookup(record.operation_id) == [record]
    assert second.operations.time_ms == _T0
