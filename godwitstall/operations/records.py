"""At-most-once records of operations.

A node claims an operation in the replicated log before it dispatches it, and
records the outcome afterwards. A record belongs to the workspace and the
operation id together. Within one attempt a record only moves up the order
claimed, released, unknown, run: late and repeated commands cannot take a
known outcome back.

The record of an id is dropped once the time in the id is older than the
lifetime. From then on a claim for the id is expired, so no second run is
possible without the record.
"""

import collections.abc
import re

from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import store as stores
from godwitstall import settings

# Clocks of clients may be ahead by this much, milliseconds.
MAX_AHEAD_MS = 5 * 60 * 1000
# Largest headers and largest body that a record keeps, bytes each.
MAX_KEPT_BYTES = 8 * 1024

# Records dropped by one command at most. After a pause of control all records
# may be expired, and to drop 500,000 of them takes half a second.
_MAX_DROPPED = 1000

# Only the canonical form: uuid.UUID() takes several spellings of one id, and
# each would be an operation of its own.
_UUID7 = re.compile(
    r'[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
)

_State = messages.OperationState
_Verdict = messages.ClaimVerdict

_RANKS = {
    _State.CLAIMED: 0,
    _State.RELEASED: 1,
    _State.UNKNOWN: 2,
    _State.RUN: 3,
}

_STATES = {
    errors.Outcome.NOT_RUN: _State.RELEASED,
    errors.Outcome.UNKNOWN: _State.UNKNOWN,
    errors.Outcome.RUN: _State.RUN,
}

_IsMember = collections.abc.Callable[[messages.NodeId, int], bool]


def time_of(operation_id: str) -> int | None:
    """Return the time in a UUIDv7, wall clock ms; None if it is none.

    Example: time_of('018f0000-0000-7000-8000-000000000000') == 1713254400000
    """
    if _UUID7.fullmatch(operation_id) is None:
        return None
    return int(operation_id[:8] + operation_id[9:13], 16)


class OperationRecords:
    """Records by workspace and operation id, in order of first command."""

    def __init__(self, lifetime_ms: int) -> None:
        # Time from the time in the id to its expiry, milliseconds.
        self.lifetime_ms = lifetime_ms
        # Packed records, the first to expire near the start of the order.
        self.store = stores.RecordStore()
        # Store before the last load, which is freed bit by bit.
        self._former: stores.RecordStore | None = None
        # Largest log time seen, wall clock ms.
        self.time_ms = 0

    @classmethod
    def from_config(
        cls, options: settings.ControlOptions
    ) -> 'OperationRecords':
        """Return records with the lifetime of the settings."""
        return cls(int(options.operation_lifetime_s * 1000))

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self.store)

    @property
    def records(self) -> dict[int, dict[int, bytes]]:
        """Packed records by shard and key."""
        return self.store.shards

    def claim(
        self, command: messages.Claim, time_ms: int, is_member: _IsMember
    ) -> messages.ClaimResult | messages.CommandResult:
        """Grant an operation to one attempt, or say how it stands.

        A CommandResult means that the claim itself is invalid; nothing ran.
        """
        self.expire(time_ms)
        operation_id = messages.OperationId(command.operation_id.lower())
        id_ms = time_of(operation_id)
        if id_ms is None:
            return _refuse('The operation id is no UUIDv7.')
        if not command.attempt_id or not command.node_id:
            return _refuse('A claim needs an attempt id and a node id.')
        if id_ms > self.time_ms + MAX_AHEAD_MS:
            return _refuse('The operation id is over 5 min in the future.')
        if self._is_expired(id_ms):
            return messages.ClaimResult(
                _Verdict.EXPIRED,
                messages.OperationRecord(
                    operation_id=operation_id, workspace=command.workspace
                ),
            )
        key = self._key(command.workspace, operation_id)
        record = self._find(key)
        if record is None:
            record = messages.OperationRecord(
                operation_id=operation_id, workspace=command.workspace
            )
            verdict = _Verdict.GRANTED
            self._grant(record, command)
        else:
            record.claims += 1
            verdict = self._judge(record, command, is_member)
            if verdict is _Verdict.GRANTED and record.state is _State.RELEASED:
                self._grant(record, command)
        self._put(key, record)
        return messages.ClaimResult(verdict, record)

    def _judge(
        self,
        record: messages.OperationRecord,
        command: messages.Claim,
        is_member: _IsMember,
    ) -> messages.ClaimVerdict:
        is_same_attempt = record.attempt_id == command.attempt_id
        # A release that came before its claim knows no digest.
        if record.request_digest and (
            record.request_digest != command.request_digest
        ):
            return _Verdict.MISMATCH
        match record.state:
            case _State.RUN:
                return _Verdict.DONE
            case _State.UNKNOWN:
                return _Verdict.UNKNOWN
            case _State.RELEASED:
                # The node has given this attempt up; a late copy of its
                # claim must not leave an operation that nobody runs.
                if is_same_attempt:
                    return _Verdict.RUNNING
                return _Verdict.GRANTED
            case _State.CLAIMED:
                if (
                    is_same_attempt
                    and record.node_id == command.node_id
                    and record.incarnation == command.incarnation
                ):
                    return _Verdict.GRANTED
                if is_member(record.node_id, record.incarnation):
                    return _Verdict.RUNNING
                return _Verdict.UNKNOWN

    def complete(
        self, command: messages.Complete, time_ms: int
    ) -> messages.CommandResult:
        """Record the outcome of the attempt that holds the claim."""
        self.expire(time_ms)
        operation_id = messages.OperationId(command.operation_id.lower())
        id_ms = time_of(operation_id)
        # An expired record may still wait behind one that expires later.
        if id_ms is None or self._is_expired(id_ms):
            return _refuse('There is no record of the operation.')
        key = self._key(command.workspace, operation_id)
        record = self._find(key)
        if record is None:
            return _refuse('There is no record of the operation.')
        if record.attempt_id != command.attempt_id:
            return _refuse('Another attempt holds the operation.')
        state = _STATES[command.outcome]
        if state is record.state:
            return messages.CommandResult(is_accepted=True)
        if not self._end(record, state):
            return _refuse(f'The outcome is {record.state.name} already.')
        if state is _State.RUN:
            record.status = command.status
            record.is_truncated = (
                command.is_truncated
                or len(command.body) > MAX_KEPT_BYTES
                or len(command.headers) > MAX_KEPT_BYTES
            )
            if not record.is_truncated:
                record.headers = command.headers
                record.body = command.body
        self._put(key, record)
        return messages.CommandResult(is_accepted=True)

    def release(
        self, command: messages.Release, time_ms: int
    ) -> messages.CommandResult:
        """Record that the attempt was not run.

        A release without a record leaves one, because its claim may still be
        on the way and must not be granted.
        """
        self.expire(time_ms)
        operation_id = messages.OperationId(command.operation_id.lower())
        id_ms = time_of(operation_id)
        if id_ms is None or not command.attempt_id:
            return _refuse('A release needs a UUIDv7 and an attempt id.')
        if id_ms > self.time_ms + MAX_AHEAD_MS:
            return _refuse('The operation id is over 5 min in the future.')
        if self._is_expired(id_ms):
            return messages.CommandResult(
                is_accepted=True, detail='The operation id is expired.'
            )
        key = self._key(command.workspace, operation_id)
        record = self._find(key)
        if record is None:
            record = messages.OperationRecord(
                operation_id=operation_id,
                workspace=command.workspace,
                attempt_id=command.attempt_id,
            )
        elif record.attempt_id != command.attempt_id:
            return _refuse('Another attempt holds the operation.')
        if record.state is not _State.RELEASED and (
            not self._end(record, _State.RELEASED)
        ):
            return _refuse(f'The outcome is {record.state.name} already.')
        self._put(key, record)
        return messages.CommandResult(is_accepted=True)

    def lookup(self, operation_id: str) -> list[messages.OperationRecord]:
        """Return the records of an id, one for each workspace that used it.

        The time is that of the last command, so an id may be shown a little
        longer than its lifetime.
        """
        text = messages.OperationId(operation_id.lower())
        id_ms = time_of(text)
        if id_ms is None or self._is_expired(id_ms):
            return []
        found = [
            self._find(stores.key_of(number, _id_number(text)))
            for number in range(len(self.store.workspaces.names))
        ]
        return [record for record in found if record is not None]

    def expire(self, time_ms: int) -> None:
        """Drop records whose id is expired, at most _MAX_DROPPED of them.

        An expired record that is not dropped yet is never used.

        Looks at the left end of the order only. A record waits there behind
        at most records claimed before it, which expire no later than its
        claim time + lifetime + 5 min.
        """
        self.time_ms = max(self.time_ms, time_ms)
        if self._former is not None and not self._former.discard_some():
            self._former = None
        for _ in range(_MAX_DROPPED):
            key = self.store.first()
            if key is None or not self._is_expired(stores.time_of(key)):
                return
            self.store.pop_first()

    def _is_expired(self, id_ms: int) -> bool:
        return id_ms + self.lifetime_ms < self.time_ms

    def _key(
        self,
        workspace: messages.WorkspaceName,
        operation_id: messages.OperationId,
    ) -> int:
        return stores.key_of(
            self.store.workspaces.number_of(workspace),
            _id_number(operation_id),
        )

    def _find(self, key: int) -> messages.OperationRecord | None:
        packed = self.store.get(key)
        return (
            None if packed is None else stores.unpack(self.store, key, packed)
        )

    def _put(self, key: int, record: messages.OperationRecord) -> None:
        self.store.put(key, stores.pack(self.store, key, record))

    def _grant(
        self, record: messages.OperationRecord, command: messages.Claim
    ) -> None:
        record.state = _State.CLAIMED
        record.claimed_ms = self.time_ms
        record.ended_ms = 0
        record.claims = max(record.claims, 1)
        record.request_digest = command.request_digest
        record.attempt_id = command.attempt_id
        record.node_id = command.node_id
        record.incarnation = command.incarnation
        record.upstream = command.upstream
        record.route_name = command.route_name

    def _end(
        self,
        record: messages.OperationRecord,
        state: messages.OperationState,
    ) -> bool:
        if _RANKS[state] <= _RANKS[record.state]:
            return False
        record.state = state
        record.ended_ms = self.time_ms
        return True

    def freeze(self) -> collections.abc.Generator[bytes, None, None]:
        """Return the blocks of a snapshot of the state as it is now.

        The state may change while the blocks are read; close the generator
        when it is not read to its end.
        """
        return self.store.freeze(self.time_ms)

    def adopt(self, store: stores.RecordStore, time_ms: int) -> None:
        """Replace the state by that of a loaded snapshot.

        The former records are freed by the commands that follow.
        """
        self._former, self.store = self.store, store
        self.time_ms = time_ms

    def restore(self, snapshot: messages.OperationsSnapshot) -> None:
        """Replace the state by that of a snapshot with records as messages.

        Snapshots had that form before records were packed.
        """
        self.adopt(stores.RecordStore(), snapshot.time_ms)
        for record in snapshot.records:
            self._put(self._key(record.workspace, record.operation_id), record)


def _id_number(operation_id: messages.OperationId) -> int:
    """Return a canonical UUID as a number."""
    return int(operation_id.replace('-', ''), 16)


def _refuse(detail: str) -> messages.CommandResult:
    return messages.CommandResult(is_accepted=False, detail=detail)
