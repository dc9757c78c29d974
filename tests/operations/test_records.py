"""Tests of operation records, with examples and against a model."""

import typing
import weakref

from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import records
from godwitstall.operations import store as stores

_Verdict = messages.ClaimVerdict
_State = messages.OperationState
_Outcome = errors.Outcome

_START_MS = 1_700_000_000_000
_LIFETIME_MS = 100_000
_MAX_CLOCK_SKEW_MS = 300_000
_STATE_RANKS = {
    _State.CLAIMED: 0,
    _State.RELEASED: 1,
    _State.UNKNOWN: 2,
    _State.RUN: 3,
}


def _make_id(time_ms: int, tail: int = 0) -> messages.OperationId:
    text = f'{time_ms:012x}'
    return messages.OperationId(f'{text[:8]}-{text[8:]}-7000-8000-{tail:012x}')


def _claim(
    attempt: str,
    operation_id: str = _make_id(_START_MS),
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


def _outcome_command(
    attempt: str, outcome: _Outcome | None = None
) -> typing.Any:
    """Return a Complete, or a Release if there is no outcome."""
    fields: typing.Any = {
        'operation_id': _make_id(_START_MS),
        'workspace': 'w',
        'attempt_id': attempt,
    }
    if outcome is None:
        return messages.Release(**fields)
    return messages.Complete(**fields, outcome=outcome, status=201, body=b'ok')


def _apply(
    table: records.OperationRecords,
    command: typing.Any,
    time_ms: int = _START_MS,
    removed_nodes: typing.Container[str] = (),
) -> typing.Any:
    """Apply a command; return its verdict, or whether it was accepted."""
    match command:
        case messages.Claim():
            result = table.claim(
                command,
                time_ms,
                lambda node_id, _: node_id not in removed_nodes,
            )
            if isinstance(result, messages.ClaimResult):
                return result.verdict
            return result.is_accepted
        case messages.Complete():
            return table.complete(command, time_ms).is_accepted
        case _:
            return table.release(command, time_ms).is_accepted


_CLAIM_A, _CLAIM_B = _claim('A'), _claim('B', node='n2')
_EXPIRED_MS = _START_MS + _LIFETIME_MS + 1

# Steps of (command, expected result[, time, removed nodes]) by name.
_CASES: dict[str, list[tuple[typing.Any, ...]]] = {
    'resend of the claim': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_CLAIM_A, _Verdict.GRANTED),
    ],
    'resend through another node': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_CLAIM_B, _Verdict.RUNNING),
    ],
    'resend after the node was removed': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_CLAIM_B, _Verdict.UNKNOWN, _START_MS, 'n1'),
    ],
    'outcome from a removed node': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_CLAIM_B, _Verdict.UNKNOWN, _START_MS, 'n1'),
        (_outcome_command('A', _Outcome.RUN), True),
        (_CLAIM_B, _Verdict.DONE, _START_MS, 'n1'),
    ],
    'claim of an expired id': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_CLAIM_B, _Verdict.EXPIRED, _EXPIRED_MS),
    ],
    'at the end of the lifetime': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A', _Outcome.RUN), True),
        (_CLAIM_B, _Verdict.DONE, _EXPIRED_MS - 1),
        (_outcome_command('A', _Outcome.RUN), False, _EXPIRED_MS),
    ],
    'expired record behind one that expires later': [
        (
            _claim('Z', _make_id(_START_MS + _MAX_CLOCK_SKEW_MS)),
            _Verdict.GRANTED,
        ),
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A', _Outcome.RUN), False, _EXPIRED_MS),
        (_CLAIM_B, _Verdict.EXPIRED, _EXPIRED_MS),
    ],
    'different request': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_claim('B', digest=b'e'), _Verdict.MISMATCH),
    ],
    'different workspace': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_claim('B', workspace='v'), _Verdict.GRANTED),
    ],
    'id in upper case': [
        (_claim('A', _make_id(_START_MS, 0xABC)), _Verdict.GRANTED),
        (_claim('B', _make_id(_START_MS, 0xABC).upper()), _Verdict.RUNNING),
    ],
    'empty id': [(_claim('A', ''), False)],
    'id in braces': [(_claim('A', '{' + _make_id(_START_MS) + '}'), False)],
    'id of version 4': [
        (_claim('A', _make_id(_START_MS).replace('-7', '-4')), False)
    ],
    'empty attempt id': [(_claim(''), False)],
    'id 5 minutes ahead': [
        (
            _claim('A', _make_id(_START_MS + _MAX_CLOCK_SKEW_MS)),
            _Verdict.GRANTED,
        )
    ],
    'id too far ahead': [
        (
            _claim('A', _make_id(_START_MS + _MAX_CLOCK_SKEW_MS + 1)),
            False,
        )
    ],
    'released': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A'), True),
        (_CLAIM_B, _Verdict.GRANTED),
    ],
    'not run': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A', _Outcome.NOT_RUN), True),
        (_CLAIM_B, _Verdict.GRANTED),
    ],
    'claim after its release': [
        (_outcome_command('A'), True),
        (_CLAIM_A, _Verdict.RUNNING),
        (_CLAIM_B, _Verdict.GRANTED),
    ],
    'late outcome of another attempt': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A'), True),
        (_CLAIM_B, _Verdict.GRANTED),
        (_outcome_command('A', _Outcome.RUN), False),
        (_outcome_command('A'), False),
        (_CLAIM_A, _Verdict.RUNNING),
    ],
    'known outcome is final': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A', _Outcome.RUN), True),
        (_outcome_command('A'), False),
        (_outcome_command('A', _Outcome.UNKNOWN), False),
        (_CLAIM_B, _Verdict.DONE),
    ],
    'unknown outcome becomes known': [
        (_CLAIM_A, _Verdict.GRANTED),
        (_outcome_command('A', _Outcome.UNKNOWN), True),
        (_CLAIM_B, _Verdict.UNKNOWN),
        (_outcome_command('A', _Outcome.RUN), True),
        (_CLAIM_B, _Verdict.DONE),
    ],
}


@pytest.mark.parametrize('name', _CASES)
def test_case(name: str) -> None:
    """Guards against a second run and against unnecessary rejections."""
    table = records.OperationRecords(_LIFETIME_MS)
    for command, expected, *rest in _CASES[name]:
        assert _apply(table, command, *rest) == expected


@pytest.mark.parametrize('size,is_kept', [(8192, True), (8193, False)])
def test_large_answer(size: int, is_kept: bool) -> None:
    """Guards against large answers that fill the memory."""
    table = records.OperationRecords(_LIFETIME_MS)
    _apply(table, _CLAIM_A)
    command = _outcome_command('A', _Outcome.RUN)
    command.body = b'x' * size
    assert table.complete(command, _START_MS).is_accepted
    (record,) = table.lookup(_make_id(_START_MS).upper())
    assert (record.is_truncated, len(record.body)) == (
        not is_kept,
        size * is_kept,
    )


def test_lookup_counts_claims_of_all_workspaces() -> None:
    """Guards against a lookup that returns only one of two records."""
    table = records.OperationRecords(_LIFETIME_MS)
    for command in (_CLAIM_A, _CLAIM_A, _CLAIM_B, _claim('C', workspace='v')):
        _apply(table, command)
    found = table.lookup(_make_id(_START_MS))
    assert [(r.workspace, r.claims) for r in found] == [('w', 3), ('v', 1)]
    assert table.lookup('nothing') == []


def test_expiry_frees_memory_in_order() -> None:
    """Guards against records that are never dropped."""
    table = records.OperationRecords(_LIFETIME_MS)
    for step in range(100):
        _apply(
            table, _claim('A', _make_id(_START_MS + step)), _START_MS + step
        )
    table.expire(_START_MS + _LIFETIME_MS + 60)
    assert len(table) == 40
    table.expire(_EXPIRED_MS + 100)
    assert len(table) == 0 and not table.shards


def test_expiry_of_many_is_spread() -> None:
    """Guards against a command that drops all records after a pause."""
    table = records.OperationRecords(_LIFETIME_MS)
    for step in range(2500):
        _apply(table, _claim('A', _make_id(_START_MS, step)))
    remaining = []
    while len(table):
        table.expire(_EXPIRED_MS)
        remaining.append(len(table))
        assert (
            _apply(table, _claim('B', _make_id(_START_MS, 2499)), _EXPIRED_MS)
            is _Verdict.EXPIRED
        )
        assert not _apply(
            table, _outcome_command('A', _Outcome.RUN), _EXPIRED_MS
        )
        assert table.lookup(_make_id(_START_MS, 2499)) == []
    assert remaining[0] == 1500


def test_old_records_are_freed_in_batches() -> None:
    """Guards against a pause or a leak when a snapshot replaces the state."""
    table = records.OperationRecords(_LIFETIME_MS)
    for step in range(3000):
        _apply(table, _claim('A', _make_id(_START_MS, step)))
    old_store = weakref.ref(table.store)
    table.replace_store(stores.RecordStore(), _START_MS)
    assert len(table) == 0
    commands = 0
    while old_store() is not None:
        table.expire(_START_MS)
        commands += 1
    assert 1000 < commands < 1100


_ATTEMPTS = st.sampled_from([('A', 'n1'), ('B', 'n1'), ('C', 'n2')])
_OFFSETS_MS = st.sampled_from([0, 30_000, 90_000, 400_000])
_WORKSPACES = st.sampled_from(['w', 'v'])


class _RecordsAgainstModel(stateful.RuleBasedStateMachine):
    """Compares with a model of [state, attempt, node, digest, claims] lists.

    Keys of the model are the workspace and the offset of the id.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = records.OperationRecords(_LIFETIME_MS)
        self.now = _START_MS
        self.removed_nodes: set[str] = set()
        self.model: dict[tuple[str, int], list[typing.Any]] = {}
        # Granted attempts that have not been reported as not run.
        self.may_have_run: dict[tuple[str, int], set[str]] = {}

    def _is_expired(self, offset_ms: int) -> bool:
        return _START_MS + offset_ms + _LIFETIME_MS < self.now

    @stateful.rule(step=st.sampled_from([0, 1, 20_000, 70_000, 300_000]))
    def pass_time(self, step: int) -> None:
        self.now += step
        for key in list(self.model):
            if self._is_expired(key[1]):
                del self.model[key]

    @stateful.rule(
        node=st.sampled_from(['n1', 'n2']), is_removed=st.booleans()
    )
    def set_removed(self, node: str, is_removed: bool) -> None:
        self.removed_nodes = self.removed_nodes - {node} | (
            {node} if is_removed else set()
        )

    @stateful.rule(
        sender=_ATTEMPTS,
        offset_ms=_OFFSETS_MS,
        workspace=_WORKSPACES,
        is_first_request=st.booleans(),
    )
    def claim(
        self,
        sender: tuple[str, str],
        offset_ms: int,
        workspace: str,
        is_first_request: bool,
    ) -> None:
        attempt, node = sender
        request_digest = b'd' if is_first_request else b'e'
        command = _claim(
            attempt,
            _make_id(_START_MS + offset_ms),
            node,
            request_digest,
            workspace,
        )
        result = _apply(self.table, command, self.now, self.removed_nodes)
        assert result == self._expected(
            sender, (workspace, offset_ms), request_digest
        )
        if result is _Verdict.GRANTED:
            granted = self.may_have_run.setdefault(
                (workspace, offset_ms), set()
            )
            granted.add(attempt)
            assert len(granted) == 1

    def _expected(
        self, sender: tuple[str, str], key: tuple[str, int], digest: bytes
    ) -> typing.Any:
        if _START_MS + key[1] > self.now + _MAX_CLOCK_SKEW_MS:
            return False
        if self._is_expired(key[1]):
            return _Verdict.EXPIRED
        record = self.model.setdefault(key, [_State.RELEASED, '', '', b'', 0])
        record[4] += 1
        state, attempt, node, stored_digest, claims = record
        if stored_digest not in (b'', digest):
            return _Verdict.MISMATCH
        if state in (_State.RUN, _State.UNKNOWN):
            return _Verdict.DONE if state is _State.RUN else _Verdict.UNKNOWN
        if state is _State.RELEASED and attempt != sender[0]:
            record[:] = [_State.CLAIMED, *sender, digest, claims]
            return _Verdict.GRANTED
        if state is _State.CLAIMED and attempt == sender[0]:
            return _Verdict.GRANTED
        if state is _State.CLAIMED and node in self.removed_nodes:
            return _Verdict.UNKNOWN
        return _Verdict.RUNNING

    @stateful.rule(
        sender=_ATTEMPTS,
        offset_ms=_OFFSETS_MS,
        workspace=_WORKSPACES,
        outcome=st.sampled_from([None, *_Outcome]),
    )
    def complete_or_release(
        self,
        sender: tuple[str, str],
        offset_ms: int,
        workspace: str,
        outcome: _Outcome | None,
    ) -> None:
        key = (workspace, offset_ms)
        command = _outcome_command(sender[0], outcome)
        command.operation_id = _make_id(_START_MS + offset_ms)
        command.workspace = workspace
        is_accepted = _apply(self.table, command, self.now)
        if outcome is None and self._is_expired(offset_ms):
            assert is_accepted
            return
        is_ahead = _START_MS + offset_ms > self.now + _MAX_CLOCK_SKEW_MS
        if key not in self.model and outcome is None and not is_ahead:
            self.model[key] = [_State.RELEASED, sender[0], '', b'', 0]
        record = self.model.get(key)
        state = {
            _Outcome.RUN: _State.RUN,
            _Outcome.UNKNOWN: _State.UNKNOWN,
        }.get(outcome or _Outcome.NOT_RUN, _State.RELEASED)
        is_applicable = (
            record is not None
            and record[1] == sender[0]
            and _STATE_RANKS[state] >= _STATE_RANKS[record[0]]
        )
        assert is_accepted == is_applicable
        if record is not None and is_applicable:
            record[0] = state
            if state is _State.RELEASED:
                self.may_have_run.get(key, set()).discard(sender[0])

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        header, *blocks = self.table.snapshot_blocks()
        self.table = records.OperationRecords(_LIFETIME_MS)
        store, time_ms = stores.load_header(header)
        for block in blocks:
            stores.load_block(store, block)
        self.table.replace_store(store, time_ms)

    @stateful.invariant()
    def check_records(self) -> None:
        self.table.expire(self.now)
        for workspace in ('w', 'v'):
            for offset_ms in (0, 30_000, 90_000, 400_000):
                found = [
                    [r.state, r.attempt_id, r.node_id, r.request_digest]
                    + [r.claims]
                    for r in self.table.lookup(_make_id(_START_MS + offset_ms))
                    if r.workspace == workspace
                ]
                record = self.model.get((workspace, offset_ms))
                assert found == ([] if record is None else [record])


TestRecordsAgainstModel = _RecordsAgainstModel.TestCase
