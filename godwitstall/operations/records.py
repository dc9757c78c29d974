"""At-most-once records of operations.

A node claims an operation in the replicated log before it dispatches the
request, and records the outcome afterwards. A record is identified by its
workspace and operation id. Within one attempt its state only advances in the
order claimed, released, unknown, run, so a late or repeated command cannot
undo a known outcome.

A record is dropped once the timestamp in its operation id is older than the
record lifetime. A later claim for that id is answered as expired, so the
operation cannot run a second time although its record is gone.
"""

import collections.abc
import re

from godwitstall import errors
from godwitstall import messages
from godwitstall.operations import store as stores
from godwitstall import settings

# Client clocks may be ahead by this much, milliseconds.
MAX_CLOCK_SKEW_MS = 5 * 60 * 1000
# Largest header block and largest body stored in a record, bytes each.
MAX_STORED_BYTES = 8 * 1024

# Records dropped by one command at most. After a pause of the control
# processes all records may have expired, and dropping 500,000 records takes
# half a second.
_MAX_EXPIRED_PER_COMMAND = 1000

# Accepts only the canonical form. uuid.UUID() also parses other spellings,
# and each spelling would count as a separate operation.
_UUID7_RE = re.compile(
    r'[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
)

_State = messages.OperationState
_Verdict = messages.ClaimVerdict

_STATE_RANKS = {
    _State.CLAIMED: 0,
    _State.RELEASED: 1,
    _State.UNKNOWN: 2,
    _State.RUN: 3,
}

_STATE_BY_OUTCOME = {
    errors.Outcome.NOT_RUN: _State.RELEASED,
    errors.Outcome.UNKNOWN: _State.UNKNOWN,
    errors.Outcome.RUN: _State.RUN,
}

_MembershipCheck = collections.abc.Callable[[messages.NodeId, int], bool]


def uuid7_time_ms(operation_id: str) -> int | None:
    """Return the timestamp of a UUIDv7, wall clock ms; None for other texts.

    Example: uuid7_time_ms('018f0000-0000-7000-8000-000000000000') returns
    1713691951104.
    """
    if _UUID7_RE.fullmatch(operation_id) is None:
        return None
    return int(operation_id[:8] + operation_id[9:13], 16)


class OperationRecords:
    """Records by workspace and operation id, in order of first command."""

    def __init__(self, lifetime_ms: int) -> None:
        # A record expires this long after the timestamp in its id,
        # milliseconds.
        self.lifetime_ms = lifetime_ms
        # Packed records; those that expire first are near the start.
        self.store = stores.RecordStore()
        # Store replaced by the last loaded snapshot, freed in batches.
        self._discarded_store: stores.RecordStore | None = None
        # Latest log time applied so far, wall clock ms.
        self.time_ms = 0

    @classmethod
    def from_config(
        cls, options: settings.ControlOptions
    ) -> 'OperationRecords':
        """Create an empty table with the record lifetime of the settings."""
        return cls(int(options.operation_lifetime_s * 1000))

    def __len__(self) -> int:
        """Return the number of stored records."""
        return len(self.store)

    @property
    def shards(self) -> dict[int, dict[int, bytes]]:
        """Packed records by shard and key."""
        return self.store.shards

    def claim(
        self,
        command: messages.Claim,
        time_ms: int,
        is_member: _MembershipCheck,
    ) -> messages.ClaimResult | messages.CommandResult:
        """Grant the operation to one attempt, or return its current state.

        A CommandResult means that the claim itself is invalid; nothing was
        run for it.
        """
        self.expire(time_ms)
        operation_id = messages.OperationId(command.operation_id.lower())
        id_time_ms = uuid7_time_ms(operation_id)
        if id_time_ms is None:
            return _rejected('The operation id is not a UUIDv7.')
        if not command.attempt_id or not command.node_id:
            return _rejected('A claim requires an attempt id and a node id.')
        if id_time_ms > self.time_ms + MAX_CLOCK_SKEW_MS:
            return _rejected(
                'The operation id is more than 5 minutes in the future.'
            )
        if self._is_expired(id_time_ms):
            return messages.ClaimResult(
                _Verdict.EXPIRED,
                messages.OperationRecord(
                    operation_id=operation_id, workspace=command.workspace
                ),
            )
        key = self._key(command.workspace, operation_id)
        record = self._get(key)
        if record is None:
            record = messages.OperationRecord(
                operation_id=operation_id, workspace=command.workspace
            )
            verdict = _Verdict.GRANTED
            self._grant(record, command)
        else:
            record.claims += 1
            verdict = self._verdict_for(record, command, is_member)
            if verdict is _Verdict.GRANTED and record.state is _State.RELEASED:
                self._grant(record, command)
        self._put(key, record)
        return messages.ClaimResult(verdict, record)

    def _verdict_for(
        self,
        record: messages.OperationRecord,
        command: messages.Claim,
        is_member: _MembershipCheck,
    ) -> messages.ClaimVerdict:
        is_same_attempt = record.attempt_id == command.attempt_id
        # A release that arrived before its claim stored no digest.
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
                # The node has abandoned this attempt. Granting a late copy
                # of its claim would leave the operation claimed by an
                # attempt that never runs.
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
        """Record the outcome reported by the attempt that holds the claim."""
        self.expire(time_ms)
        operation_id = messages.OperationId(command.operation_id.lower())
        id_time_ms = uuid7_time_ms(operation_id)
        # An expired record may still be stored; see expire().
        if id_time_ms is None or self._is_expired(id_time_ms):
            return _rejected('There is no record of the operation.')
        key = self._key(command.workspace, operation_id)
        record = self._get(key)
        if record is None:
            return _rejected('There is no record of the operation.')
        if record.attempt_id != command.attempt_id:
            return _rejected('The operation is claimed by another attempt.')
        state = _STATE_BY_OUTCOME[command.outcome]
        if state is record.state:
            return messages.CommandResult(is_accepted=True)
        if not self._advance(record, state):
            return _rejected(f'The outcome is already {record.state.name}.')
        if state is _State.RUN:
            record.status = command.status
            record.is_truncated = (
                command.is_truncated
                or len(command.body) > MAX_STORED_BYTES
                or len(command.headers) > MAX_STORED_BYTES
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

        A release without a record creates one, because the claim may arrive
        later and must not be granted then.
        """
        self.expire(time_ms)
        operation_id = messages.OperationId(command.operation_id.lower())
        id_time_ms = uuid7_time_ms(operation_id)
        if id_time_ms is None or not command.attempt_id:
            return _rejected(
                'A release requires a UUIDv7 operation id and an attempt id.'
            )
        if id_time_ms > self.time_ms + MAX_CLOCK_SKEW_MS:
            return _rejected(
                'The operation id is more than 5 minutes in the future.'
            )
        if self._is_expired(id_time_ms):
            return messages.CommandResult(
                is_accepted=True, detail='The operation id has expired.'
            )
        key = self._key(command.workspace, operation_id)
        record = self._get(key)
        if record is None:
            record = messages.OperationRecord(
                operation_id=operation_id,
                workspace=command.workspace,
                attempt_id=command.attempt_id,
            )
        elif record.attempt_id != command.attempt_id:
            return _rejected('The operation is claimed by another attempt.')
        if record.state is not _State.RELEASED and (
            not self._advance(record, _State.RELEASED)
        ):
            return _rejected(f'The outcome is already {record.state.name}.')
        self._put(key, record)
        return messages.CommandResult(is_accepted=True)

    def lookup(self, operation_id: str) -> list[messages.OperationRecord]:
        """Return the records of an id, one for each workspace that used it.

        Expiry is checked against the time of the last command, so a record
        may be returned slightly past its lifetime.
        """
        canonical_id = messages.OperationId(operation_id.lower())
        id_time_ms = uuid7_time_ms(canonical_id)
        if id_time_ms is None or self._is_expired(id_time_ms):
            return []
        records = [
            self._get(
                stores.make_key(workspace_number, _uuid_int(canonical_id))
            )
            for workspace_number in range(
                len(self.store.workspace_table.names)
            )
        ]
        return [record for record in records if record is not None]

    def expire(self, time_ms: int) -> None:
        """Drop expired records, at most _MAX_EXPIRED_PER_COMMAND of them.

        Expired records that are not dropped yet are treated as absent.

        Only the oldest records are examined, so an expired record is kept
        until those claimed before it have expired too. That happens no later
        than its claim time + lifetime + MAX_CLOCK_SKEW_MS.
        """
        self.time_ms = max(self.time_ms, time_ms)
        if (
            self._discarded_store is not None
            and not self._discarded_store.free_batch()
        ):
            self._discarded_store = None
        for _ in range(_MAX_EXPIRED_PER_COMMAND):
            key = self.store.first_key()
            if key is None or not self._is_expired(stores.key_time_ms(key)):
                return
            self.store.pop_first()

    def _is_expired(self, id_time_ms: int) -> bool:
        return id_time_ms + self.lifetime_ms < self.time_ms

    def _key(
        self,
        workspace: messages.WorkspaceName,
        operation_id: messages.OperationId,
    ) -> int:
        return stores.make_key(
            self.store.workspace_table.intern(workspace),
            _uuid_int(operation_id),
        )

    def _get(self, key: int) -> messages.OperationRecord | None:
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

    def _advance(
        self,
        record: messages.OperationRecord,
        state: messages.OperationState,
    ) -> bool:
        if _STATE_RANKS[state] <= _STATE_RANKS[record.state]:
            return False
        record.state = state
        record.ended_ms = self.time_ms
        return True

    def snapshot_blocks(self) -> collections.abc.Generator[bytes, None, None]:
        """Return the blocks of a snapshot of the current state.

        The state may change while the blocks are read. A caller that does
        not read all blocks must close the generator.
        """
        return self.store.snapshot_blocks(self.time_ms)

    def replace_store(self, store: stores.RecordStore, time_ms: int) -> None:
        """Replace the state with that of a loaded snapshot.

        The memory of the previous records is freed by the commands that
        follow.
        """
        self._discarded_store, self.store = self.store, store
        self.time_ms = time_ms

    def restore(self, snapshot: messages.OperationsSnapshot) -> None:
        """Replace the state with that of a snapshot in the old format.

        Snapshots held records as messages before records were packed.
        """
        self.replace_store(stores.RecordStore(), snapshot.time_ms)
        for record in snapshot.records:
            self._put(self._key(record.workspace, record.operation_id), record)


def _uuid_int(operation_id: messages.OperationId) -> int:
    """Return a canonical UUID as an integer."""
    return int(operation_id.replace('-', ''), 16)


def _rejected(detail: str) -> messages.CommandResult:
    return messages.CommandResult(is_accepted=False, detail=detail)
