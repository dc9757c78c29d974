"""Operation records against a model that scans everything."""

import typing
import weakref

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import records
from godwitstall.operations import store as stores

_V = messages.ClaimVerdict
_S = messages.OperationState
_OUT = errors.Outcome

_T0 = 1_700_000_000_000
_LIFETIME = 100_000
_AHEAD = 300_000
_RANK = {_S.CLAIMED: 0, _S.RELEASED: 1, _S.UNKNOWN: 2, _S.RUN: 3}


def _id_at(time_ms: int, tail: int = 0) -> messages.OperationId:
    text = f'{time_ms:012x}'
    return messages.OperationId(f'{text[:8]}-{text[8:]}-7000-8000-{tail:012x}')


def _claim(
    attempt: str,
    operation_id: str = _id_at(_T0),
    node: str = 'n1',
    digest: bytes = b'd',
    workspace: str = 'w',
) -> messages.Claim:
    return messages.Claim(
        operation_id=messages.OperationId(operation_id),
        workspace=messages.WorkspaceName(workspace),
        request_digest=digest,
        attempt_id=messages.AttemptId(attempt),
        node_id=messages.NodeId(node),
        incarnation=1,
    )


def _end(attempt: str, outcome: _OUT | None = None) -> typing.Any:
    """Return a Complete, or a Release without an outcome."""
    names: typing.Any = {
        'operation_id': _id_at(_T0),
        'workspace': 'w',
        'attempt_id': attempt,
    }
    if outcome is None:
        return messages.Release(**names)
    return messages.Complete(**names, outcome=outcome, status=201, body=b'ok')


def _run(
    kept: records.OperationRecords,
    command: typing.Any,
    time_ms: int = _T0,
    gone: typing.Container[str] = (),
) -> typing.Any:
    """Apply a command; return a verdict, or whether it was accepted."""
    match command:
        case messages.Claim():
            result = kept.claim(
                command, time_ms, lambda node_id, _: node_id not in gone
            )
            if isinstance(result, messages.ClaimResult):
                return result.verdict
            return result.is_accepted
        case messages.Complete():
            return kept.complete(command, time_ms).is_accepted
        case _:
            return kept.release(command, time_ms).is_accepted


_A, _B = _claim('A'), _claim('B', node='n2')
_LATE = _T0 + _LIFETIME + 1

# Name, then steps of (command, answer[, time, nodes that are gone]).
_CASES: dict[str, list[tuple[typing.Any, ...]]] = {
    'resend of the claim': [(_A, _V.GRANTED), (_A, _V.GRANTED)],
    'resend through another node': [(_A, _V.GRANTED), (_B, _V.RUNNING)],
    'the node is lost': [(_A, _V.GRANTED), (_B, _V.UNKNOWN, _T0, 'n1')],
    'the lost node was only cut off': [
        (_A, _V.GRANTED),
        (_B, _V.UNKNOWN, _T0, 'n1'),
        (_end('A', _OUT.RUN), True),
        (_B, _V.DONE, _T0, 'n1'),
    ],
    'expired': [(_A, _V.GRANTED), (_B, _V.EXPIRED, _LATE)],
    'at the end of the lifetime': [
        (_A, _V.GRANTED),
        (_end('A', _OUT.RUN), True),
        (_B, _V.DONE, _LATE - 1),
        (_end('A', _OUT.RUN), False, _LATE),
    ],
    'expired behind a record that expires later': [
        (_claim('Z', _id_at(_T0 + _AHEAD)), _V.GRANTED),
        (_A, _V.GRANTED),
        (_end('A', _OUT.RUN), False, _LATE),
        (_B, _V.EXPIRED, _LATE),
    ],
    'other request': [
        (_A, _V.GRANTED),
        (_claim('B', digest=b'e'), _V.MISMATCH),
    ],
    'other workspace': [
        (_A, _V.GRANTED),
        (_claim('B', workspace='v'), _V.GRANTED),
    ],
    'other spelling of the id': [
        (_claim('A', _id_at(_T0, 0xABC)), _V.GRANTED),
        (_claim('B', _id_at(_T0, 0xABC).upper()), _V.RUNNING),
    ],
    'no id': [(_claim('A', ''), False)],
    'braces': [(_claim('A', '{' + _id_at(_T0) + '}'), False)],
    'version 4': [(_claim('A', _id_at(_T0).replace('-7', '-4')), False)],
    'no attempt': [(_claim(''), False)],
    '5 min ahead': [(_claim('A', _id_at(_T0 + _AHEAD)), _V.GRANTED)],
    'too far ahead': [(_claim('A', _id_at(_T0 + _AHEAD + 1)), False)],
    'released': [(_A, _V.GRANTED), (_end('A'), True), (_B, _V.GRANTED)],
    'not run': [
        (_A, _V.GRANTED),
        (_end('A', _OUT.NOT_RUN), True),
        (_B, _V.GRANTED),
    ],
    'claim after its release': [
        (_end('A'), True),
        (_A, _V.RUNNING),
        (_B, _V.GRANTED),
    ],
    'late outcome of another attempt': [
        (_A, _V.GRANTED),
        (_end('A'), True),
        (_B, _V.GRANTED),
        (_end('A', _OUT.RUN), False),
        (_end('A'), False),
        (_A, _V.RUNNING),
    ],
    'no step back from an outcome': [
        (_A, _V.GRANTED),
        (_end('A', _OUT.RUN), True),
        (_end('A'), False),
        (_end('A', _OUT.UNKNOWN), False),
        (_B, _V.DONE),
    ],
    'unknown, then known': [
        (_A, _V.GRANTED),
        (_end('A', _OUT.UNKNOWN), True),
        (_B, _V.UNKNOWN),
        (_end('A', _OUT.RUN), True),
        (_B, _V.DONE),
    ],
}


@pytest.mark.parametrize('name', _CASES)
def test_case(name: str) -> None:
    """Guards against a second run, or a refusal without need."""
    kept = records.OperationRecords(_LIFETIME)
    for command, answer, *rest in _CASES[name]:
        assert _run(kept, command, *rest) == answer


@pytest.mark.parametrize('size,is_kept', [(8192, True), (8193, False)])
def test_large_answer(size: int, is_kept: bool) -> None:
    """Guards against records that fill the memory with answers."""
    kept = records.OperationRecords(_LIFETIME)
    _run(kept, _A)
    command = _end('A', _OUT.RUN)
    command.body = b'x' * size
    assert kept.complete(command, _T0).is_accepted
    (record,) = kept.lookup(_id_at(_T0).upper())
    assert (record.is_truncated, len(record.body)) == (
        not is_kept,
        size * is_kept,
    )


def test_lookup_counts_claims_of_all_workspaces() -> None:
    """Guards against an operator who sees only one of two records."""
    kept = records.OperationRecords(_LIFETIME)
    for command in (_A, _A, _B, _claim('C', workspace='v')):
        _run(kept, command)
    found = kept.lookup(_id_at(_T0))
    assert [(r.workspace, r.claims) for r in found] == [('w', 3), ('v', 1)]
    assert kept.lookup('nothing') == []


def test_expiry_frees_memory_in_order() -> None:
    """Guards against records that are never dropped."""
    kept = records.OperationRecords(_LIFETIME)
    for step in range(100):
        _run(kept, _claim('A', _id_at(_T0 + step)), _T0 + step)
    kept.expire(_T0 + _LIFETIME + 60)
    assert len(kept) == 40
    kept.expire(_LATE + 100)
    assert len(kept) == 0 and not kept.records


def test_expiry_of_many_is_spread() -> None:
    """Guards against a command that drops all records after a pause."""
    kept = records.OperationRecords(_LIFETIME)
    for step in range(2500):
        _run(kept, _claim('A', _id_at(_T0, step)))
    left = []
    while len(kept):
        kept.expire(_LATE)
        left.append(len(kept))
        assert _run(kept, _claim('B', _id_at(_T0, 2499)), _LATE) is _V.EXPIRED
        assert not _run(kept, _end('A', _OUT.RUN), _LATE)
        assert kept.lookup(_id_at(_T0, 2499)) == []
    assert left[0] == 1500


def test_former_records_are_freed_bit_by_bit() -> None:
    """Guards against a pause or a leak when a snapshot replaces the state."""
    kept = records.OperationRecords(_LIFETIME)
    for step in range(3000):
        _run(kept, _claim('A', _id_at(_T0, step)))
    former = weakref.ref(kept.store)
    kept.adopt(stores.RecordStore(), _T0)
    assert len(kept) == 0
    steps = 0
    while former() is not None:
        kept.expire(_T0)
        steps += 1
    assert 1000 < steps < 1100


_ATTEMPTS = st.sampled_from([('A', 'n1'), ('B', 'n1'), ('C', 'n2')])
_IDS = st.sampled_from([0, 30_000, 90_000, 400_000])
_WORKSPACES = st.sampled_from(['w', 'v'])


class _RecordsAgainstModel(stateful.RuleBasedStateMachine):
    """The model keeps [state, attempt, node, digest, claims] by key."""

    def __init__(self) -> None:
        super().__init__()
        self.kept = records.OperationRecords(_LIFETIME)
        self.now = _T0
        self.gone: set[str] = set()
        self.model: dict[tuple[str, int], list[typing.Any]] = {}
        # Attempts granted and never shown not to have run.
        self.may_run: dict[tuple[str, int], set[str]] = {}

    def _is_expired(self, offset: int) -> bool:
        return _T0 + offset + _LIFETIME < self.now

    @stateful.rule(step=st.sampled_from([0, 1, 20_000, 70_000, 300_000]))
    def pass_time(self, step: int) -> None:
        self.now += step
        for key in list(self.model):
            if self._is_expired(key[1]):
                del self.model[key]

    @stateful.rule(node=st.sampled_from(['n1', 'n2']), is_gone=st.booleans())
    def node_goes_or_returns(self, node: str, is_gone: bool) -> None:
        self.gone = self.gone - {node} | ({node} if is_gone else set())

    @stateful.rule(
        who=_ATTEMPTS, at=_IDS, workspace=_WORKSPACES, digest=st.booleans()
    )
    def claim(
        self, who: tuple[str, str], at: int, workspace: str, digest: bool
    ) -> None:
        attempt, node = who
        content = b'd' if digest else b'e'
        command = _claim(attempt, _id_at(_T0 + at), node, content, workspace)
        answer = _run(self.kept, command, self.now, self.gone)
        assert answer == self._expected(who, (workspace, at), content)
        if answer is _V.GRANTED:
            granted = self.may_run.setdefault((workspace, at), set())
            granted.add(attempt)
            assert len(granted) == 1

    def _expected(
        self, who: tuple[str, str], key: tuple[str, int], digest: bytes
    ) -> typing.Any:
        if _T0 + key[1] > self.now + _AHEAD:
            return False
        if self._is_expired(key[1]):
            return _V.EXPIRED
        record = self.model.setdefault(key, [_S.RELEASED, '', '', b'', 0])
        record[4] += 1
        state, attempt, node, kept_digest, claims = record
        if kept_digest not in (b'', digest):
            return _V.MISMATCH
        if state in (_S.RUN, _S.UNKNOWN):
            return _V.DONE if state is _S.RUN else _V.UNKNOWN
        if state is _S.RELEASED and attempt != who[0]:
            record[:] = [_S.CLAIMED, *who, digest, claims]
            return _V.GRANTED
        if state is _S.CLAIMED and attempt == who[0]:
            return _V.GRANTED
        if state is _S.CLAIMED and node in self.gone:
            return _V.UNKNOWN
        return _V.RUNNING

    @stateful.rule(
        who=_ATTEMPTS,
        at=_IDS,
        workspace=_WORKSPACES,
        outcome=st.sampled_from([None, *_OUT]),
    )
    def end(
        self,
        who: tuple[str, str],
        at: int,
        workspace: str,
        outcome: _OUT | None,
    ) -> None:
        key = (workspace, at)
        command = _end(who[0], outcome)
        command.operation_id = _id_at(_T0 + at)
        command.workspace = workspace
        is_accepted = _run(self.kept, command, self.now)
        if outcome is None and self._is_expired(at):
            assert is_accepted
            return
        is_ahead = _T0 + at > self.now + _AHEAD
        if key not in self.model and outcome is None and not is_ahead:
            self.model[key] = [_S.RELEASED, who[0], '', b'', 0]
        record = self.model.get(key)
        to = {_OUT.RUN: _S.RUN, _OUT.UNKNOWN: _S.UNKNOWN}.get(
            outcome or _OUT.NOT_RUN, _S.RELEASED
        )
        can_end = (
            record is not None
            and record[1] == who[0]
            and _RANK[to] >= _RANK[record[0]]
        )
        assert is_accepted == can_end
        if record is not None and can_end:
            record[0] = to
            if to is _S.RELEASED:
                self.may_run.get(key, set()).discard(who[0])

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        head, *blocks = self.kept.freeze()
        self.kept = records.OperationRecords(_LIFETIME)
        store, time_ms = stores.start_load(head)
        for block in blocks:
            stores.load_block(store, block)
        self.kept.adopt(store, time_ms)

    @stateful.invariant()
    def same_records(self) -> None:
        self.kept.expire(self.now)
        for workspace in ('w', 'v'):
            for at in (0, 30_000, 90_000, 400_000):
                found = [
                    [r.state, r.attempt_id, r.node_id, r.request_digest]
                    + [r.claims]
                    for r in self.kept.lookup(_id_at(_T0 + at))
                    if r.workspace == workspace
                ]
                record = self.model.get((workspace, at))
                assert found == ([] if record is None else [record])


TestRecordsAgainstModel = _RecordsAgainstModel.TestCase
