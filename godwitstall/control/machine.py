"""The replicated state machine of control.

It combines configuration, members, evacuations, operations and quarantine.
Every replica applies the same entries in the same order and must produce the
same state and the same results, so the only clock is the time of the entries,
and nothing depends on the iteration order of a set.
"""

import collections
import collections.abc
import contextlib
import itertools
import logging
import typing

from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall.configuration import state
from godwitstall import errors
from godwitstall.members import evacuations as evacuations_module
from godwitstall.members import registry
from godwitstall import messages
from godwitstall.operations import records
from godwitstall.operations import store as stores
from godwitstall.quarantine import reports
from godwitstall import settings

# Length of the change history, for nodes that reconnect. 900 nodes that
# restart within one node lease cause 900 joins and as many expiries.
MAX_CHANGES = 4096

# Size of the length prefix of each section of a snapshot. A snapshot in the
# legacy format begins with four zero bytes, which is not a valid length.
_LENGTH_BYTES = 4
_LEGACY_PREFIX = bytes(_LENGTH_BYTES)

# Values of _Change.component.
_CONFIGURATION = 'configuration'
_MEMBER = 'member'
_QUARANTINE = 'quarantine'
_EVACUATION = 'evacuation'

_LOG = logging.getLogger('godwitstall.control')


class _Change(typing.NamedTuple):
    """A change of the state that must be sent to nodes."""

    # Log index of the entry that made the change.
    log_index: int
    component: str
    # Node whose member changed.
    node_id: messages.NodeId = messages.NodeId('')


class Machine:
    """Replicated state and the history of changes to send to nodes.

    Example: decode(machine.apply(1, 1_700_000_000_000, encode(command)))
    """

    def __init__(
        self,
        operations: records.OperationRecords,
        quarantine: reports.CrashReports,
    ) -> None:
        # Release notes and the configuration that they result in.
        self.configuration = state.ConfigurationState()
        # Nodes and their upstreams.
        self.members = registry.Registry()
        # Zones that operators evacuate.
        self.evacuations = evacuations_module.Evacuations()
        # Records that make operations run at most once.
        self.operations = operations
        # Crash reports and quarantines.
        self.quarantine = quarantine
        # Log index of the last applied entry.
        self.applied_index = 0
        # Called after an apply or restore whose changes must be sent to nodes.
        self.on_change: list[collections.abc.Callable[[], None]] = []
        # Recent changes in log order.
        self._changes: collections.deque[_Change] = collections.deque()
        # Log index after which _changes is complete.
        self._history_start = 0
        # Whether the current entry made a change that must be sent to nodes.
        self._is_changed = False

    @classmethod
    def from_config(cls, options: settings.ControlOptions) -> 'Machine':
        """Return an empty machine."""
        return cls(
            records.OperationRecords.from_config(options),
            reports.CrashReports.from_config(options),
        )

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Apply one log entry and return the encoded result.

        Bytes that cannot be decoded as a command change nothing. The result
        is then a CommandResult that is not accepted.
        """
        self._is_changed = False
        # Replicas may apply an entry at any later time, so the time of the
        # entries is the only clock. It never decreases.
        time_ms = max(time_ms, self.operations.time_ms)
        self.operations.expire(time_ms)
        if self.quarantine.expire(time_ms):
            self._record_change(_Change(index, _QUARANTINE))
        result: messages.Message
        try:
            result = self._execute(index, time_ms, codec.decode(command))
        except errors.LinkError:
            # The error text of the codec contains memory addresses, which
            # differ between replicas.
            result = messages.CommandResult(
                detail='The command cannot be decoded.'
            )
        self.applied_index = index
        encoded = codec.encode(result)
        if self._is_changed:
            self._notify()
        return encoded

    def _execute(
        self, index: int, time_ms: int, command: messages.Message
    ) -> messages.Message:
        match command:
            case messages.Claim():
                return self.operations.claim(
                    command, time_ms, self.members.is_member
                )
            case messages.Complete():
                return self.operations.complete(command, time_ms)
            case messages.Release():
                return self.operations.release(command, time_ms)
            case messages.ApplyNote() | messages.ReplaceConfiguration():
                note = self.configuration.execute(command, index, time_ms)
                if note.verdict is messages.NoteVerdict.ACCEPTED:
                    _LOG.info(
                        'Configuration %d of %r is in force.',
                        note.number,
                        note.operator,
                    )
                    self._record_change(_Change(index, _CONFIGURATION))
                return note
            case (
                messages.Join()
                | messages.SetUpstreamState()
                | messages.Leave()
                | messages.Expire()
                | messages.Drain()
            ):
                result, changed = self.members.apply(command)
                for node_id in changed:
                    self._record_change(_Change(index, _MEMBER, node_id))
                return result
            case messages.Evacuate():
                return self._evacuate(command, index, time_ms)
            case messages.ReportCrash():
                result, is_changed = self.quarantine.report(command, time_ms)
            case messages.Lift():
                result, is_changed = self.quarantine.lift(command)
            case messages.AddVoter() | messages.RemoveVoter():
                # Handled by the consensus module.
                return messages.CommandResult(is_accepted=True)
            case _:
                name = type(command).__name__
                return messages.CommandResult(
                    detail=f'{name} is not a command.'
                )
        if is_changed:
            self._record_change(_Change(index, _QUARANTINE))
        return result

    def _evacuate(
        self, command: messages.Evacuate, index: int, time_ms: int
    ) -> messages.EvacuationResult:
        zones = {member.zone for member in self.members.members.values()}
        result, is_changed = self.evacuations.apply(
            command, zones, index, time_ms
        )
        if is_changed:
            _LOG.info(
                'Zone %r is %s by order of %r.',
                command.zone,
                'evacuated' if command.is_active else 'taken back',
                command.operator,
            )
            self._record_change(_Change(index, _EVACUATION))
        return result

    def _record_change(self, change: _Change) -> None:
        self._is_changed = True
        self._changes.append(change)
        while len(self._changes) > MAX_CHANGES:
            self._history_start = self._changes.popleft().log_index

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()

    def snapshot(self) -> bytes:
        """Return a snapshot of the replicated state as one byte string."""
        return b''.join(self.freeze())

    def freeze(self) -> collections.abc.Generator[bytes, None, None]:
        """Return the sections of a snapshot of the current state.

        Encoding a section takes less than a millisecond, and entries may be
        applied between two sections. Only operation records are numerous;
        the other components are encoded by the call itself.
        """
        header = codec.encode(
            messages.MachineSnapshot(
                configuration=self.configuration.to_snapshot(),
                members=self.members.to_snapshot(),
                quarantine=self.quarantine.to_snapshot(),
                evacuations=self.evacuations.to_messages(),
            )
        )
        return _frame_sections(header, self.operations.snapshot_blocks())

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot in a single step; see load()."""
        for _ in self.load(index, data):
            pass

    def load(
        self, index: int, data: bytes | memoryview
    ) -> collections.abc.Generator[None, None, None]:
        """Replace the state by a snapshot taken after applying index.

        Yields between steps of the work. The state is replaced in the last
        step, which ends the generator.

        Errors: LinkError when data is not a valid snapshot; nothing is
        changed then.
        """
        view = memoryview(data)
        if view[:_LENGTH_BYTES] == _LEGACY_PREFIX:
            snapshot = _decode_header(bytes(view))
            self.operations.restore(snapshot.operations)
        else:
            sections = _split_sections(view)
            snapshot = _decode_header(bytes(next(sections, b'')))
            store, time_ms = stores.load_header(next(sections, b''))
            for section in sections:
                stores.load_block(store, section)
                yield
            self.operations.replace_store(store, time_ms)
        self.configuration.restore(snapshot.configuration)
        self.members.restore(snapshot.members)
        self.quarantine.restore(snapshot.quarantine)
        self.evacuations.restore(snapshot.evacuations)
        self.applied_index = index
        self._changes.clear()
        self._history_start = index
        self._notify()

    def full_update(self) -> messages.StateUpdate:
        """Return an update with the full state that nodes need."""
        return messages.StateUpdate(
            index=self.applied_index,
            is_full=True,
            has_configuration=True,
            configuration=self.configuration.configuration,
            members=list(self.members.members.values()),
            has_quarantines=True,
            quarantines=self.quarantine.to_messages(),
            has_evacuations=True,
            evacuations=self.evacuations.to_messages(),
        )

    def update_since(self, index: int) -> messages.StateUpdate:
        """Return an update with the changes after index.

        The update is full when the history no longer covers index, or when
        index is ahead of this replica. In the latter case the node must
        ignore the update.
        """
        if not self._history_start <= index <= self.applied_index:
            return self.full_update()
        update = messages.StateUpdate(index=self.applied_index)
        node_ids: dict[messages.NodeId, None] = {}
        for change in reversed(self._changes):
            if change.log_index <= index:
                break
            if change.component == _CONFIGURATION:
                update.has_configuration = True
                update.configuration = self.configuration.configuration
            elif change.component == _QUARANTINE:
                update.has_quarantines = True
            elif change.component == _EVACUATION:
                update.has_evacuations = True
            else:
                node_ids[change.node_id] = None
        if update.has_quarantines:
            update.quarantines = self.quarantine.to_messages()
        if update.has_evacuations:
            update.evacuations = self.evacuations.to_messages()
        for node_id in node_ids:
            member = self.members.members.get(node_id)
            if member is None:
                update.removed_members.append(node_id)
            else:
                update.members.append(member)
        return update

    def query(
        self, kind: messages.QueryKind, text: str
    ) -> dict[str, typing.Any]:
        """Return the JSON-serializable result of an operator's query.

        Recorded answers are omitted because they may contain personal data,
        and key digests because a key is identified by its id.
        """
        match kind:
            case messages.QueryKind.STATUS:
                return {
                    'applied_index': self.applied_index,
                    'time_ms': self.operations.time_ms,
                    'number': self.configuration.configuration.number,
                    'members': len(self.members.members),
                    'drained': sorted(self.members.drained_nodes),
                    'operations': len(self.operations),
                    'crash_records': len(self.quarantine.records),
                }
            case messages.QueryKind.CONFIGURATION:
                return self._configuration_to_dict()
            case messages.QueryKind.MEMBERS:
                return {
                    'members': [
                        _to_dict(member)
                        for member in self.members.members.values()
                        if text in ('', member.node_id, member.service)
                    ],
                    'drained': sorted(self.members.drained_nodes),
                }
            case messages.QueryKind.OPERATION:
                return {
                    'operations': [
                        _to_dict(record, 'headers', 'body')
                        | {'answer_bytes': len(record.body)}
                        for record in self.operations.lookup(text)
                    ]
                }
            case messages.QueryKind.QUARANTINE:
                return {
                    'quarantines': [
                        _to_dict(item)
                        for item in self.quarantine.to_messages()
                        if item.fingerprint.hex().startswith(text.lower())
                    ]
                }
            case messages.QueryKind.NOTES:
                return {
                    'notes': [
                        _to_dict(note)
                        for note in self.configuration.accepted_notes.values()
                        if text in ('', str(note.number))
                    ]
                }
            case messages.QueryKind.NOTE_CHECK:
                return self._check_note(text)
            case messages.QueryKind.EVACUATIONS:
                zones = {m.zone for m in self.members.members.values()}
                return {
                    'applied_index': self.applied_index,
                    'zones': sorted(zones),
                    'evacuations': [
                        _to_dict(item)
                        for item in self.evacuations.to_messages()
                    ],
                }
            case messages.QueryKind.DOCUMENT:
                return {'number': self.configuration.configuration.number}

    def _check_note(self, text: str) -> dict[str, typing.Any]:
        """Return all problems of a release note without applying it."""
        current = self.configuration.configuration
        note = notes.parse(text)
        known = self.configuration.accepted_notes.get(note.number)
        is_in_force = known is not None and known.digest == notes.digest_of(
            text
        )
        problems: list[str] = []
        if not is_in_force:
            _, problems = notes.build(note, current)
            if note.number and note.number != current.number + 1:
                problems.append(
                    f'number: the next number is {current.number + 1}, not '
                    f'{note.number}'
                )
        return {
            'number': current.number,
            'is_in_force': is_in_force,
            'problems': problems,
        }

    def _configuration_to_dict(self) -> dict[str, typing.Any]:
        configuration = self.configuration.configuration
        return {
            'number': configuration.number,
            'index': configuration.index,
            'workspaces': [
                _to_dict(item) for item in configuration.workspaces
            ],
            'keys': [_to_dict(key, 'digest') for key in configuration.keys],
            'routes': [_to_dict(route) for route in configuration.routes],
            'upstreams': [_to_dict(rule) for rule in configuration.upstreams],
        }


def _frame_sections(
    header: bytes, blocks: collections.abc.Generator[bytes, None, None]
) -> collections.abc.Generator[bytes, None, None]:
    """Return the sections of a snapshot, each with a length prefix."""
    with contextlib.closing(blocks):
        for block in itertools.chain((header,), blocks):
            yield len(block).to_bytes(_LENGTH_BYTES, 'big') + block


def _split_sections(
    view: memoryview,
) -> collections.abc.Generator[memoryview, None, None]:
    start = 0
    while start < len(view):
        body = start + _LENGTH_BYTES
        start = body + int.from_bytes(view[start:body], 'big')
        if start > len(view):
            raise errors.LinkError(
                errors.ErrorKind.BAD_MESSAGE, 'The snapshot is truncated.'
            )
        yield view[body:start]


def _decode_header(data: bytes) -> messages.MachineSnapshot:
    snapshot = codec.decode(data)
    if not isinstance(snapshot, messages.MachineSnapshot):
        raise errors.LinkError(
            errors.ErrorKind.BAD_MESSAGE, 'The data is not a snapshot.'
        )
    return snapshot


def _to_dict(item: typing.Any, *excluded: str) -> dict[str, typing.Any]:
    """Return the fields of a flat message except excluded as JSON values."""
    fields = {}
    for name in item.__slots__:
        if name in excluded:
            continue
        value = getattr(item, name)
        if isinstance(value, bytes):
            value = value.hex()
        elif hasattr(value, 'name'):
            value = value.name.lower()
        fields[name] = value
    return fields
