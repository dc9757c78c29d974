"""Packed operation records that can be frozen while they change.

A record is held as the bytes that a snapshot holds, so a snapshot only
gathers bytes, and a record takes about half the memory of an object. Neither
keys nor values are objects that the garbage collector visits.

A frozen view costs one reference for each chunk of the order. A change to a
record first saves the bytes of before for every open view; the view prefers
those. A key is never added a second time, because the records drop a key
only after its id is expired, and an expired id gets no record.

Example:
    view = store.freeze()
    store.put(key, packed)          # not seen by the view
    blocks = list(view.blocks())
"""

import collections
import collections.abc
import itertools

import msgspec

from godwitstall import errors
from godwitstall import messages

# Records encoded or loaded at a time: about 0.5 ms on the event loop.
BLOCK_RECORDS = 256

# Keys in a chunk of the order. The garbage collector visits the keys of a new
# tuple once, and collects after 700 tuples: chunks of 512 keys took 21 ms.
CHUNK_KEYS = 64

# Chunks freed at a time, under a millisecond.
_DISCARD_CHUNKS = 128

# A dictionary is rehashed in one go when it grows. With a million records
# that takes 0.1 s for one dictionary, and 0.1 ms for one of 1024.
_SHARD_MASK = 1024 - 1

_KEY_BYTES = 20
_ID_BITS = 128
_ID_MASK = (1 << _ID_BITS) - 1
# A key of 150 bits takes 48 bytes of memory, a larger one 56 or more.
_DECODER = msgspec.msgpack.Decoder(tuple[bytes, list[bytes]])
_NAMES_DECODER = msgspec.msgpack.Decoder(tuple[list[str], list[str], int])
_ENCODER = msgspec.msgpack.Encoder()


def key_of(workspace_number: int, id_number: int) -> int:
    """Return the key of a record; id_number is the UUID as a number."""
    return workspace_number << _ID_BITS | id_number


class Names:
    """Numbers for names that stand in many records; none is ever removed.

    Members and workspaces that come and go leave their name: 120 replaced
    VMs a day with new names add 4 MB in a year.
    """

    def __init__(self, names: list[str]) -> None:
        # Names by number.
        self.names = names
        self._numbers = {name: place for place, name in enumerate(names)}

    def number_of(self, name: str) -> int:
        """Return the number of a name, a new one when it is not known."""
        number = self._numbers.setdefault(name, len(self.names))
        if number == len(self.names):
            self.names.append(name)
        return number

    def find(self, name: str) -> int | None:
        """Return the number of a name, None when it is not known."""
        return self._numbers.get(name)


class RecordStore:
    """Packed records by key, in the order in which they were added."""

    def __init__(
        self,
        workspaces: list[str] | None = None,
        names: list[str] | None = None,
    ) -> None:
        # Numbers of workspaces, in the order of first use.
        self.workspaces = Names(workspaces or [])
        # Numbers of nodes, upstreams and routes.
        self.names = Names(names or [])
        # Packed records by shard and key; no shard is empty.
        self.shards: dict[int, dict[int, bytes]] = {}
        # Keys in the order of adding. All chunks but the last are full and
        # tuples, which the garbage collector stops visiting.
        self._order: collections.deque[tuple[int, ...] | list[int]] = (
            collections.deque()
        )
        # Keys of the first chunk that are removed.
        self._head = 0
        # Number of records.
        self._count = 0
        # Bytes of before, one mapping for each open view.
        self._saved: list[dict[int, bytes]] = []

    def __len__(self) -> int:
        """Return the number of records held."""
        return self._count

    def get(self, key: int) -> bytes | None:
        """Return a packed record, None when there is none."""
        shard = self.shards.get(key & _SHARD_MASK)
        return None if shard is None else shard.get(key)

    def put(self, key: int, packed: bytes) -> None:
        """Add a record, or replace the one of this key."""
        shard = self.shards.setdefault(key & _SHARD_MASK, {})
        before = shard.get(key)
        if before is None:
            self._append(key)
        else:
            for saved in self._saved:
                saved.setdefault(key, before)
        shard[key] = packed

    def _append(self, key: int) -> None:
        if not self._order or len(self._order[-1]) == CHUNK_KEYS:
            self._order.append([])
        last = self._order[-1]
        assert isinstance(last, list)
        last.append(key)
        if len(last) == CHUNK_KEYS:
            self._order[-1] = tuple(last)
        self._count += 1

    def first(self) -> int | None:
        """Return the key added first, None when there is no record."""
        return self._order[0][self._head] if self._count else None

    def pop_first(self) -> None:
        """Remove the record added first."""
        key = self._order[0][self._head]
        self._head += 1
        if self._head == len(self._order[0]):
            self._order.popleft()
            self._head = 0
        self._count -= 1
        shard = self.shards[key & _SHARD_MASK]
        before = shard.pop(key)
        if not shard:
            del self.shards[key & _SHARD_MASK]
        for saved in self._saved:
            saved.setdefault(key, before)

    def discard_some(self) -> bool:
        """Free a part of a store that is out of use; False when all is.

        To free 500,000 records at a time takes 90 ms.
        """
        if self._saved:
            # Open views still read the shards and free them at their end.
            return False
        if self.shards:
            self.shards.popitem()
            return True
        for _ in range(min(_DISCARD_CHUNKS, len(self._order))):
            self._order.popleft()
        return bool(self._order)

    def freeze(
        self, time_ms: int
    ) -> collections.abc.Generator[bytes, None, None]:
        """Return the blocks of the records as they stand now.

        The view is taken at the call, and it is open until the iterator ends
        or is closed.
        """
        saved: dict[int, bytes] = {}
        head = _ENCODER.encode(
            (self.workspaces.names, self.names.names, time_ms)
        )
        chunks = list(self._order)
        self._saved.append(saved)
        blocks = self._blocks(
            head, chunks, self._head, self._count, saved, self.shards
        )
        # The start of a generator runs its code up to the first yield, so
        # that closing it reaches the end of the view.
        next(blocks)
        return blocks

    def _blocks(
        self,
        head: bytes,
        chunks: list[tuple[int, ...] | list[int]],
        start: int,
        count: int,
        saved: dict[int, bytes],
        shards: dict[int, dict[int, bytes]],
    ) -> collections.abc.Generator[bytes, None, None]:
        try:
            yield b''
            yield head
            # Blocks do not follow the chunks, so that the bytes are the same
            # at every replica.
            order = itertools.islice(
                itertools.chain.from_iterable(chunks), start, start + count
            )
            while keys := list(itertools.islice(order, BLOCK_RECORDS)):
                packed = [
                    saved[key]
                    if key in saved
                    else shards[key & _SHARD_MASK][key]
                    for key in keys
                ]
                yield _ENCODER.encode(
                    (
                        b''.join(
                            [key.to_bytes(_KEY_BYTES, 'big') for key in keys]
                        ),
                        packed,
                    )
                )
        finally:
            # By identity: two open views may have saved the same bytes.
            self._saved = [each for each in self._saved if each is not saved]


def start_load(block: bytes | memoryview) -> tuple[RecordStore, int]:
    """Return an empty store with the names of a first block, and its time.

    Errors: LinkError when the bytes are no such block.
    """
    try:
        workspaces, names, time_ms = _NAMES_DECODER.decode(block)
    except msgspec.MsgspecError as e:
        raise _bad_block(e) from e
    return RecordStore(workspaces, names), time_ms


def load_block(store: RecordStore, block: bytes | memoryview) -> None:
    """Add the records of one further block.

    Errors: LinkError when the bytes are no such block.
    """
    try:
        keys, values = _DECODER.decode(block)
    except msgspec.MsgspecError as e:
        raise _bad_block(e) from e
    if len(keys) != len(values) * _KEY_BYTES:
        raise _bad_block(ValueError('keys and records differ in number'))
    for place, packed in enumerate(values):
        start = place * _KEY_BYTES
        key = int.from_bytes(keys[start : start + _KEY_BYTES], 'big')
        store.put(key, packed)


def id_number_of(key: int) -> int:
    """Return the UUID of a key as a number."""
    return key & _ID_MASK


def time_of(key: int) -> int:
    """Return the time in the UUIDv7 of a key, wall clock ms."""
    return id_number_of(key) >> 80


def workspace_number_of(key: int) -> int:
    """Return the number of the workspace of a key."""
    return key >> _ID_BITS


def _bad_block(cause: Exception) -> errors.LinkError:
    return errors.LinkError(
        errors.ErrorKind.BAD_MESSAGE, f'Bytes are no record block: {cause}.'
    )


class _Packed(msgspec.Struct, array_like=True):
    """A record without its id and workspace, which are the key."""

    state: int
    claims: int
    request_digest: bytes
    # Packed with bytes.fromhex() when _IS_HEX is set, else the text.
    attempt_id: bytes
    node: int
    incarnation: int
    upstream: int
    route: int
    # Time of the claim less the time in the id, milliseconds.
    claimed: int
    # Time of the outcome less the time of the claim, milliseconds.
    ended: int
    status: int
    headers: bytes
    body: bytes
    # Sum of the flags below.
    flags: int


_IS_TRUNCATED = 1
# Nodes send attempt ids of 32 hexadecimal digits.
_IS_HEX = 2

_RECORD_DECODER = msgspec.msgpack.Decoder(_Packed)


def pack(
    store: RecordStore, key: int, record: messages.OperationRecord
) -> bytes:
    """Return the packed record; may add names to the store."""
    number_of = store.names.number_of
    flags = _IS_TRUNCATED if record.is_truncated else 0
    attempt = record.attempt_id.encode()
    try:
        short = bytes.fromhex(record.attempt_id)
    except ValueError:
        short = b''
    # Spaces and digits in upper case would not come back.
    if short.hex() == record.attempt_id:
        attempt = short
        flags |= _IS_HEX
    return _ENCODER.encode(
        (
            record.state.value,
            record.claims,
            record.request_digest,
            attempt,
            number_of(record.node_id),
            record.incarnation,
            number_of(record.upstream),
            number_of(record.route_name),
            record.claimed_ms - time_of(key),
            record.ended_ms - record.claimed_ms,
            record.status,
            record.headers,
            record.body,
            flags,
        )
    )


def unpack(
    store: RecordStore, key: int, packed: bytes
) -> messages.OperationRecord:
    """Return the record of a key."""
    found = _RECORD_DECODER.decode(packed)
    digits = f'{id_number_of(key):032x}'
    attempt = found.attempt_id
    names = store.names.names
    claimed_ms = found.claimed + time_of(key)
    return messages.OperationRecord(
        operation_id=messages.OperationId(
            f'{digits[:8]}-{digits[8:12]}-{digits[12:16]}'
            f'-{digits[16:20]}-{digits[20:]}'
        ),
        workspace=messages.WorkspaceName(
            store.workspaces.names[workspace_number_of(key)]
        ),
        request_digest=found.request_digest,
        attempt_id=messages.AttemptId(
            attempt.hex() if found.flags & _IS_HEX else attempt.decode()
        ),
        node_id=messages.NodeId(names[found.node]),
        incarnation=found.incarnation,
        upstream=names[found.upstream],
        route_name=names[found.route],
        state=messages.OperationState(found.state),
        claimed_ms=claimed_ms,
        ended_ms=found.ended + claimed_ms,
        status=found.status,
        headers=found.headers,
        body=found.body,
        is_truncated=bool(found.flags & _IS_TRUNCATED),
        claims=found.claims,
    )
