"""The replicated state machine of control: joins the slices.

Every replica applies the same entries in the same order and must reach the
same state and the same results. Time comes only from the entry, and nothing
depends on the order of a set.
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
from godwitstall.members import registry
from godwitstall import messages
from godwitstall.operations import records
from godwitstall.operations import store as stores
from godwitstall.quarantine import reports
from godwitstall import settings

# Changes remembered for nodes that come back. 900 nodes that restart within
# one node lease make 900 joins and as many expiries.
KEPT_CHANGES = 4096

# Bytes before each part of a snapshot that give its length. A snapshot of the
# former form begins with four zero bytes, which is no length here.
_LENGTH_BYTES = 4
_FORMER_START = bytes(_LENGTH_BYTES)

# Slices that a _Change names.
_CONFIGURATION = 'configuration'
_MEMBER = 'member'
_QUARANTINE = 'quarantine'

_log = logging.getLogger('godwitstall.control')


class _Change(typing.NamedTuple):
    """One change that nodes must learn of."""

    # Log index.
    at_index: int
    # Slice that changed.
    part: str
    # Node whose member changed.
    node_id: messages.NodeId = messages.NodeId('')


class Machine:
    """Replicated state and the changes that nodes must learn of.

    Example: decode(machine.apply(1, 1_700_000_000_000, encode(command)))
    """

    def __init__(
        self,
        operations: records.OperationRecords,
        quarantine: reports.CrashReports,
    ) -> None:
        # Release notes and what they built up.
        self.configuration = state.ConfigurationState()
        # Nodes and their upstreams.
        self.members = registry.Registry()
        # At-most-once records.
        self.operations = operations
        # Crash reports and quarantines.
        self.quarantine = quarantine
        # Log index of the last applied entry.
        self.applied_index = 0
        # Called after an apply or restore that nodes must learn of.
        self.on_change: list[collections.abc.Callable[[], None]] = []
        # Latest changes in log order.
        self._changes: collections.deque[_Change] = collections.deque()
        # All changes after this index are in _changes.
        self._covered_from = 0
        # The entry being applied made a change that nodes must learn of.
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

        Bytes that are no command change nothing and give a CommandResult
        that says so.
        """
        self._is_changed = False
        # Another replica may be slower by any time, so the time of an entry
        # is the only clock; it never goes back.
        time_ms = max(time_ms, self.operations.time_ms)
        self.operations.expire(time_ms)
        if self.quarantine.expire(time_ms):
            self._note_change(_Change(index, _QUARANTINE))
        result: messages.Message
        try:
            result = self._apply(index, time_ms, codec.decode(command))
        except errors.LinkError:
            # The text of the codec holds memory addresses, which differ
            # between replicas.
            result = messages.CommandResult(detail='Bytes are no command.')
        self.applied_index = index
        encoded = codec.encode(result)
        if self._is_changed:
            self._tell()
        return encoded

    def _apply(
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
                    _log.info(
                        'Configuration %d of %r is in force.',
                        note.number,
                        note.operator,
                    )
                    self._note_change(_Change(index, _CONFIGURATION))
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
                    self._note_change(_Change(index, _MEMBER, node_id))
                return result
            case messages.ReportCrash():
                result, is_changed = self.quarantine.report(command, time_ms)
            case messages.Lift():
                result, is_changed = self.quarantine.lift(command)
            case messages.AddVoter() | messages.RemoveVoter():
                # The replica itself acts on these.
                return messages.CommandResult(is_accepted=True)
            case _:
                name = type(command).__name__
                return messages.CommandResult(detail=f'{name} is no command.')
        if is_changed:
            self._note_change(_Change(index, _QUARANTINE))
        return result

    def _note_change(self, change: _Change) -> None:
        self._is_changed = True
        self._changes.append(change)
        while len(self._changes) > KEPT_CHANGES:
            self._covered_from = self._changes.popleft().at_index

    def _tell(self) -> None:
        for callback in self.on_change:
            callback()

    def snapshot(self) -> bytes:
        """Return the whole replicated state in one piece."""
        return b''.join(self.freeze())

    def freeze(self) -> collections.abc.Generator[bytes, None, None]:
        """Return the parts of a snapshot of the state as it is now.

        Each part takes under a millisecond, and entries may be applied
        between two parts. Only operation records are many; the other slices
        are encoded by the call.
        """
        head = codec.encode(
            messages.MachineSnapshot(
                configuration=self.configuration.to_snapshot(),
                members=self.members.to_snapshot(),
                quarantine=self.quarantine.to_snapshot(),
            )
        )
        return _parts(head, self.operations.snapshot_blocks())

    def restore(self, index: int, data: bytes) -> None:
        """Replace the whole state by a snapshot in one piece; see load()."""
        for _ in self.load(index, data):
            pass

    def load(
        self, index: int, data: bytes | memoryview
    ) -> collections.abc.Generator[None, None, None]:
        """Replace the whole state by a snapshot taken after index.

        Yields between slices of the work. The state changes at the end, in
        the step that ends the generator.

        Errors: LinkError when data is no snapshot; nothing is changed then.
        """
        view = memoryview(data)
        if view[:_LENGTH_BYTES] == _FORMER_START:
            snapshot = _decode_head(bytes(view))
            self.operations.restore(snapshot.operations)
        else:
            parts = _split(view)
            snapshot = _decode_head(bytes(next(parts, b'')))
            store, time_ms = stores.load_header(next(parts, b''))
            for part in parts:
                stores.load_block(store, part)
                yield
            self.operations.replace_store(store, time_ms)
        self.configuration.restore(snapshot.configuration)
        self.members.restore(snapshot.members)
        self.quarantine.restore(snapshot.quarantine)
        self.applied_index = index
        self._changes.clear()
        self._covered_from = index
        self._tell()

    def full_update(self) -> messages.StateUpdate:
        """Return all that a node must know."""
        return messages.StateUpdate(
            index=self.applied_index,
            is_full=True,
            has_configuration=True,
            configuration=self.configuration.configuration,
            members=list(self.members.members.values()),
            has_quarantines=True,
            quarantines=self.quarantine.to_messages(),
        )

    def update_since(self, index: int) -> messages.StateUpdate:
        """Return what changed after index.

        The update is full when the history no longer covers index, or when
        index is ahead of this replica. A node that is ahead must ignore it.
        """
        if not self._covered_from <= index <= self.applied_index:
            return self.full_update()
        update = messages.StateUpdate(index=self.applied_index)
        node_ids: dict[messages.NodeId, None] = {}
        for change in reversed(self._changes):
            if change.at_index <= index:
                break
            if change.part == _CONFIGURATION:
                update.has_configuration = True
                update.configuration = self.configuration.configuration
            elif change.part == _QUARANTINE:
                update.has_quarantines = True
            else:
                node_ids[change.node_id] = None
        if update.has_quarantines:
            update.quarantines = self.quarantine.to_messages()
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
        """Return what an operator asks, ready for JSON.

        Digests of keys and recorded answers are left out: an answer may hold
        personal data, and nobody needs a digest to name a key.
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
                return self._configuration_view()
            case messages.QueryKind.MEMBERS:
                return {
                    'members': [
                        _view(member)
                        for member in self.members.members.values()
                        if text in ('', member.node_id, member.service)
                    ],
                    'drained': sorted(self.members.drained_nodes),
                }
            case messages.QueryKind.OPERATION:
                return {
                    'operations': [
                        _view(record, 'headers', 'body')
                        | {'answer_bytes': len(record.body)}
                        for record in self.operations.lookup(text)
                    ]
                }
            case messages.QueryKind.QUARANTINE:
                return {
                    'quarantines': [
                        _view(item)
                        for item in self.quarantine.to_messages()
                        if item.fingerprint.hex().startswith(text.lower())
                    ]
                }
            case messages.QueryKind.NOTES:
                return {
                    'notes': [
                        _view(note)
                        for note in self.configuration.accepted_notes.values()
                        if text in ('', str(note.number))
                    ]
                }
            case messages.QueryKind.NOTE_CHECK:
                return self._check_note(text)
            case messages.QueryKind.DOCUMENT:
                return {'number': self.configuration.configuration.number}

    def _check_note(self, text: str) -> dict[str, typing.Any]:
        """Return all that is wrong with a note; changes nothing."""
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

    def _configuration_view(self) -> dict[str, typing.Any]:
        configuration = self.configuration.configuration
        return {
            'number': configuration.number,
            'index': configuration.index,
            'workspaces': [_view(item) for item in configuration.workspaces],
            'keys': [_view(key, 'digest') for key in configuration.keys],
            'routes': [_view(route) for route in configuration.routes],
            'upstreams': [_view(rule) for rule in configuration.upstreams],
        }


def _parts(
    head: bytes, blocks: collections.abc.Generator[bytes, None, None]
) -> collections.abc.Generator[bytes, None, None]:
    """Return the parts of a snapshot, each with its length."""
    with contextlib.closing(blocks):
        for block in itertools.chain((head,), blocks):
            yield len(block).to_bytes(_LENGTH_BYTES, 'big') + block


def _split(
    view: memoryview,
) -> collections.abc.Generator[memoryview, None, None]:
    start = 0
    while start < len(view):
        body = start + _LENGTH_BYTES
        start = body + int.from_bytes(view[start:body], 'big')
        if start > len(view):
            raise errors.LinkError(
                errors.ErrorKind.BAD_MESSAGE, 'The snapshot is cut.'
            )
        yield view[body:start]


def _decode_head(data: bytes) -> messages.MachineSnapshot:
    snapshot = codec.decode(data)
    if not isinstance(snapshot, messages.MachineSnapshot):
        raise errors.LinkError(
            errors.ErrorKind.BAD_MESSAGE, 'Bytes are no snapshot.'
        )
    return snapshot


def _view(item: typing.Any, *hidden: str) -> dict[str, typing.Any]:
    """Return the fields of a flat message as JSON values."""
    view = {}
    for name in item.__slots__:
        if name in hidden:
            continue
        value = getattr(item, name)
        if isinstance(value, bytes):
            value = value.hex()
        elif hasattr(value, 'name'):
            value = value.name.lower()
        view[name] = value
    return view
