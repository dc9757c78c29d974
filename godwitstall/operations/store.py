"""Packed operation records with copy-on-write snapshots.

A record is stored as the bytes that a snapshot contains. Taking a snapshot
thus only collects bytes, and a record takes about half the memory of an
object. Neither the keys nor the values are objects that the garbage collector
traverses.

A snapshot copies one reference for each chunk of keys. Before a record
changes, its bytes are saved for every open snapshot, which reads the saved
bytes instead of the current ones. A key is never added a second time:
OperationRecords drops a key only after its id has expired, and it creates no
record for an expired id.

Example:
    blocks = store.snapshot_blocks(time_ms)
    store.put(key, packed)          # not contained in the snapshot
    data = list(blocks)
"""

import collections
import collections.abc
import itertools

import msgspec

from godwitstall import errors
from godwitstall import messages

# Records encoded or loaded at a time; takes about 0.5 ms on the event loop.
BLOCK_RECORDS = 256

# Keys in a chunk. The garbage collector traverses a new tuple once, and
# collects after 700 new tuples: with 512 keys in a chunk that took 21 ms.
CHUNK_KEYS = 64

# Chunks freed at a time; takes under a millisecond.
_FREE_BATCH_CHUNKS = 128

# A dictionary is rehashed in one step when it grows. With a million records
# that takes 0.1 s for a single dictionary and 0.1 ms for one of 1024 shards.
_SHARD_MASK = 1024 - 1

# Size of an encoded key, bytes.
_KEY_BYTES = 20
# A key of 150 bits, of which the UUID is 128, takes 48 bytes of memory; a
# larger one takes 56 or more.
_UUID_BITS = 128
_UUID_MASK = (1 << _UUID_BITS) - 1
_BLOCK_DECODER = msgspec.msgpack.Decoder(tuple[bytes, list[bytes]])
_HEADER_DECODER = msgspec.msgpack.Decoder(tuple[list[str], list[str], int])
_ENCODER = msgspec.msgpack.Encoder()


def make_key(workspace_number: int, uuid_int: int) -> int:
    """Return the key of a record; uuid_int is the operation id."""
    return workspace_number << _UUID_BITS | uuid_int


class NameTable:
    """Interned names, which packed records refer to by number.

    Names are never removed, even after their member or workspace is gone:
    120 replaced VMs a day with new names add 4 MB in a year.
    """

    def __init__(self, names: list[str]) -> None:
        # Names by number.
        self.names = names
        self._number_by_name = {
            name: number for number, name in enumerate(names)
        }

    def intern(self, name: str) -> int:
        """Return the number of a name; add the name if it is new."""
        number = self._number_by_name.setdefault(name, len(self.names))
        if number == len(self.names):
            self.names.append(name)
        return number

    def find(self, name: str) -> int | None:
        """Return the number of a name, or None if it is unknown."""
        return self._number_by_name.get(name)


class RecordStore:
    """Packed records by key, in insertion order."""

    def __init__(
        self,
        workspace_names: list[str] | None = None,
        names: list[str] | None = None,
    ) -> None:
        # Workspace names, in order of first use.
        self.workspace_table = NameTable(workspace_names or [])
        # Names of nodes, upstreams and routes.
        self.name_table = NameTable(names or [])
        # Packed records by shard and key; empty shards are removed.
        self.shards: dict[int, dict[int, bytes]] = {}
        # Keys in insertion order. All chunks except the last are full and
        # are tuples, which the garbage collector stops traversing.
        self._key_chunks: collections.deque[tuple[int, ...] | list[int]] = (
            collections.deque()
        )
        # Number of keys of the first chunk that are already removed.
        self._first_offset = 0
        # Number of records.
        self._record_count = 0
        # Bytes from before later changes, one dictionary by key for each
        # open snapshot.
        self._before_images: list[dict[int, bytes]] = []

    def __len__(self) -> int:
        """Return the number of stored records."""
        return self._record_count

    def get(self, key: int) -> bytes | None:
        """Return a packed record, or None if there is none."""
        shard = self.shards.get(key & _SHARD_MASK)
        return None if shard is None else shard.get(key)

    def put(self, key: int, packed: bytes) -> None:
        """Add a record, or replace the one with the same key."""
        shard = self.shards.setdefault(key & _SHARD_MASK, {})
        old = shard.get(key)
        if old is None:
            self._append(key)
        else:
            for images in self._before_images:
                images.setdefault(key, old)
        shard[key] = packed

    def _append(self, key: int) -> None:
        if not self._key_chunks or len(self._key_chunks[-1]) == CHUNK_KEYS:
            self._key_chunks.append([])
        last = self._key_chunks[-1]
        assert isinstance(last, list)
        last.append(key)
        if len(last) == CHUNK_KEYS:
            self._key_chunks[-1] = tuple(last)
        self._record_count += 1

    def first_key(self) -> int | None:
        """Return the oldest key, or None if there are no records."""
        return (
            self._key_chunks[0][self._first_offset]
            if self._record_count
            else None
        )

    def pop_first(self) -> None:
        """Remove the oldest record."""
        key = self._key_chunks[0][self._first_offset]
        self._first_offset += 1
        if self._first_offset == len(self._key_chunks[0]):
            self._key_chunks.popleft()
            self._first_offset = 0
        self._record_count -= 1
        shard = self.shards[key & _SHARD_MASK]
        old = shard.pop(key)
        if not shard:
            del self.shards[key & _SHARD_MASK]
        for images in self._before_images:
            images.setdefault(key, old)

    def free_batch(self) -> bool:
        """Free a part of a discarded store; return False when done.

        Freeing 500,000 records at once takes 90 ms.
        """
        if self._before_images:
            # Open snapshots still read the shards, and free them when closed.
            return False
        if self.shards:
            self.shards.popitem()
            return True
        for _ in range(min(_FREE_BATCH_CHUNKS, len(self._key_chunks))):
            self._key_chunks.popleft()
        return bool(self._key_chunks)

    def snapshot_blocks(
        self, time_ms: int
    ) -> collections.abc.Generator[bytes, None, None]:
        """Return the blocks of a snapshot of the current records.

        The snapshot is taken by the call, and stays open until the generator
        is exhausted or closed.
        """
        images: dict[int, bytes] = {}
        header = _ENCODER.encode(
            (self.workspace_table.names, self.name_table.names, time_ms)
        )
        chunks = list(self._key_chunks)
        self._before_images.append(images)
        blocks = self._blocks(
            header,
            chunks,
            self._first_offset,
            self._record_count,
            images,
            self.shards,
        )
        # Run the generator up to its first yield. Closing a generator that
        # has not started would skip the finally clause.
        next(blocks)
        return blocks

    def _blocks(
        self,
        header: bytes,
        chunks: list[tuple[int, ...] | list[int]],
        offset: int,
        count: int,
        images: dict[int, bytes],
        shards: dict[int, dict[int, bytes]],
    ) -> collections.abc.Generator[bytes, None, None]:
        try:
            yield b''
            yield header
            # Blocks are independent of chunk boundaries, so that all replicas
            # produce the same bytes.
            order = itertools.islice(
                itertools.chain.from_iterable(chunks), offset, offset + count
            )
            while keys := list(itertools.islice(order, BLOCK_RECORDS)):
                packed = [
                    images[key]
                    if key in images
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
            # Compare by identity: two open snapshots may have equal images.
            self._before_images = [
                other for other in self._before_images if other is not images
            ]


def load_header(block: bytes | memoryview) -> tuple[RecordStore, int]:
    """Return an empty store with the names of a header block, and its time.

    Errors: LinkError when the block is invalid.
    """
    try:
        workspace_names, names, time_ms = _HEADER_DECODER.decode(block)
    except msgspec.MsgspecError as e:
        raise _invalid_block(e) from e
    return RecordStore(workspace_names, names), time_ms


def load_block(store: RecordStore, block: bytes | memoryview) -> None:
    """Add the records of a block that follows the header.

    Errors: LinkError when the block is invalid.
    """
    try:
        keys, values = _BLOCK_DECODER.decode(block)
    except msgspec.MsgspecError as e:
        raise _invalid_block(e) from e
    if len(keys) != len(values) * _KEY_BYTES:
        raise _invalid_block(ValueError('number of keys and records differs'))
    for i, packed in enumerate(values):
        offset = i * _KEY_BYTES
        key = int.from_bytes(keys[offset : offset + _KEY_BYTES], 'big')
        store.put(key, packed)


def key_uuid_int(key: int) -> int:
    """Return the UUID of a key as an integer."""
    return key & _UUID_MASK


def key_time_ms(key: int) -> int:
    """Return the timestamp in the UUIDv7 of a key, wall clock ms."""
    return key_uuid_int(key) >> 80


def key_workspace_number(key: int) -> int:
    """Return the workspace number of a key."""
    return key >> _UUID_BITS


def _invalid_block(cause: Exception) -> errors.LinkError:
    return errors.LinkError(
        errors.ErrorKind.BAD_MESSAGE, f'Invalid record block: {cause}.'
    )


class _PackedRecord(msgspec.Struct, array_like=True):
    """A record without its id and workspace, which the key contains."""

    state: int
    claims: int
    request_digest: bytes
    # The bytes of the hex digits if _FLAG_HEX_ATTEMPT_ID is set, else UTF-8.
    attempt_id: bytes
    # node, upstream and route are numbers in the name table of the store.
    node: int
    incarnation: int
    upstream: int
    route: int
    # Time of the claim minus the timestamp in the id, milliseconds.
    claimed: int
    # Time of the outcome minus the time of the claim, milliseconds.
    ended: int
    status: int
    headers: bytes
    body: bytes
    # Sum of the _FLAG_ values below.
    flags: int


_FLAG_TRUNCATED = 1
# Nodes send attempt ids of 32 hex digits, which are stored as 16 bytes.
_FLAG_HEX_ATTEMPT_ID = 2

_RECORD_DECODER = msgspec.msgpack.Decoder(_PackedRecord)


def pack(
    store: RecordStore, key: int, record: messages.OperationRecord
) -> bytes:
    """Return the packed record; may add names to the store."""
    intern = store.name_table.intern
    flags = _FLAG_TRUNCATED if record.is_truncated else 0
    attempt_bytes = record.attempt_id.encode()
    try:
        decoded = bytes.fromhex(record.attempt_id)
    except ValueError:
        decoded = b''
    # Hex digits in upper case and spaces would not survive a round trip.
    if decoded.hex() == record.attempt_id:
        attempt_bytes = decoded
        flags |= _FLAG_HEX_ATTEMPT_ID
    return _ENCODER.encode(
        (
            record.state.value,
            record.claims,
            record.request_digest,
            attempt_bytes,
            intern(record.node_id),
            record.incarnation,
            intern(record.upstream),
            intern(record.route_name),
            record.claimed_ms - key_time_ms(key),
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
    """Return the record that a key and its packed bytes contain."""
    fields = _RECORD_DECODER.decode(packed)
    digits = f'{key_uuid_int(key):032x}'
    attempt_bytes = fields.attempt_id
    names = store.name_table.names
    claimed_ms = fields.claimed + key_time_ms(key)
    return messages.OperationRecord(
        operation_id=messages.OperationId(
            f'{digits[:8]}-{digits[8:12]}-{digits[12:16]}'
            f'-{digits[16:20]}-{digits[20:]}'
        ),
        workspace=messages.WorkspaceName(
            store.workspace_table.names[key_workspace_number(key)]
        ),
        request_digest=fields.request_digest,
        attempt_id=messages.AttemptId(
            attempt_bytes.hex()
            if fields.flags & _FLAG_HEX_ATTEMPT_ID
            else attempt_bytes.decode()
        ),
        node_id=messages.NodeId(names[fields.node]),
        incarnation=fields.incarnation,
        upstream=names[fields.upstream],
        route_name=names[fields.route],
        state=messages.OperationState(fields.state),
        claimed_ms=claimed_ms,
        ended_ms=fields.ended + claimed_ms,
        status=fields.status,
        headers=fields.headers,
        body=fields.body,
        is_truncated=bool(fields.flags & _FLAG_TRUNCATED),
        claims=fields.claims,
    )
