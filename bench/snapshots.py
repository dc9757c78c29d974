"""Measures the event loop pauses and the duration of a snapshot.

A replica that is the only voter runs in this process, with its log on disk.
The records are added to its state machine directly, without the log. Each
number of records needs a separate process, which prints one JSON line.

Run: python -m bench.snapshots RECORDS PROPOSERS
"""

import asyncio
import contextlib
import gc
import json
import os
import pathlib
import sys
import tempfile
import typing

from bench import claims
from godwitstall import clock
from godwitstall.consensus import replica as replicas
from godwitstall.consensus import snapshots
from godwitstall.consensus import storage
from godwitstall.control import machine as machines
from godwitstall import link as links
from godwitstall import messages
from godwitstall import settings
from loadtool import addresses

_SLOT = messages.SlotId('control-1')
# Records that share one millisecond of log time.
_RECORDS_PER_MS = 300
# Time under load before the snapshot.
_LOAD_LEAD_S = 1.0


class GapMeter:
    """Measures the longest gap between wake-ups of a task that sleeps 1 ms."""

    def __init__(self) -> None:
        self.longest_gap_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        last = clock.now()
        while True:
            await asyncio.sleep(0.001)
            now = clock.now()
            self.longest_gap_s = max(self.longest_gap_s, now - last)
            last = now

    async def take_longest_gap_ms(self) -> float:
        """Return the longest gap since the last call in milliseconds."""
        await asyncio.sleep(0.01)
        longest_gap_s, self.longest_gap_s = self.longest_gap_s, 0.0
        return round(longest_gap_s * 1000, 2)


def _add_records(machine: machines.Machine, count: int) -> None:
    start_ms = clock.wall_ms() - count // _RECORDS_PER_MS - 1
    for number in range(count):
        time_ms = start_ms + number // _RECORDS_PER_MS
        claim, complete = claims.operation_commands(number, time_ms)
        machine.operations.claim(claim, time_ms, lambda *_: True)
        machine.operations.complete(complete, time_ms)
    assert len(machine.operations) == count


def _memory_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def _control_options(folder: pathlib.Path) -> settings.ControlOptions:
    return settings.ControlOptions(
        slot=_SLOT,
        zone='z',
        region='r',
        admin_address='127.0.0.1:1',
        data_folder=str(folder),
    )


def _new_replica(
    folder: pathlib.Path, machine: machines.Machine
) -> replicas.Replica:
    address = addresses.free_address()
    replicas.format_disk(folder, 'bench', _SLOT, True)
    return replicas.Replica.from_config(
        _control_options(folder),
        settings.FleetOptions('bench', '', {_SLOT: address}),
        links.Identity(messages.Role.CONTROL, _SLOT, b'0123456789abcdef'),
        machine,
    )


async def measure(
    folder: pathlib.Path, count: int, proposers: int
) -> dict[str, typing.Any]:
    """Measure a snapshot of count records."""
    machine = machines.Machine.from_config(_control_options(folder))
    replica = _new_replica(folder, machine)
    await replica.start()
    while not replica.holds_lease():
        await asyncio.sleep(0.01)
    gc.collect()
    memory_before = _memory_bytes()
    _add_records(machine, count)
    gc.collect()
    result: dict[str, typing.Any] = {
        'name': 'snapshots',
        'records': count,
        'bytes_per_record': round((_memory_bytes() - memory_before) / count),
    }
    gap_meter = GapMeter()
    gap_meter_task = asyncio.create_task(gap_meter.run())
    await gap_meter.take_longest_gap_ms()

    snapshot_folder = folder / 'trial'
    snapshot_folder.mkdir()
    header = messages.SnapshotFile(last_index=1, last_term=1, time_ms=1)
    start = clock.now()
    size = await snapshots.write(snapshot_folder, header, machine.freeze())
    result['file_bytes'] = size
    result['snapshot_s'] = round(clock.now() - start, 3)
    result['snapshot_gap_ms'] = await gap_meter.take_longest_gap_ms()

    data = storage.read_snapshot(snapshot_folder)
    assert data is not None
    _, state = await asyncio.to_thread(storage.unpack_snapshot, data, 'trial')
    loaded_machine = machines.Machine.from_config(_control_options(folder))
    await gap_meter.take_longest_gap_ms()
    start = clock.now()
    await snapshots.load(loaded_machine, 1, state)
    result['load_s'] = round(clock.now() - start, 3)
    result['load_gap_ms'] = await gap_meter.take_longest_gap_ms()
    assert len(loaded_machine.operations) == count
    del loaded_machine, data, state

    # Discard the gap of the del statement: a control process frees a replaced
    # state in small steps.
    await gap_meter.take_longest_gap_ms()
    if proposers:
        result |= await _measure_under_load(
            replica, machine, gap_meter, proposers
        )
    gap_meter_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await gap_meter_task
    await replica.close()
    result['memory_mb'] = round(_memory_bytes() / 1e6)
    return result


async def _measure_under_load(
    replica: replicas.Replica,
    machine: machines.Machine,
    gap_meter: GapMeter,
    proposers: int,
) -> dict[str, typing.Any]:
    """Measure a snapshot while proposers run operations through the log."""

    async def propose(command: bytes) -> bytes:
        return (await replica.propose(command, 5.0))[1]

    load = claims.Load(propose)
    load_task = asyncio.create_task(load.run(proposers, 1e9))
    await asyncio.sleep(_LOAD_LEAD_S)
    gap_before_ms = await gap_meter.take_longest_gap_ms()
    snapshot_folder = replica.state.folder / 'trial'
    header = messages.SnapshotFile(last_index=2, last_term=1, time_ms=1)
    start = clock.now()
    await snapshots.write(snapshot_folder, header, machine.freeze())
    duration_s = clock.now() - start
    snapshot_gap_ms = await gap_meter.take_longest_gap_ms()
    load.is_stopping = True
    load_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await load_task
    return {
        'proposers': proposers,
        'gap_without_snapshot_ms': gap_before_ms,
        'loaded_snapshot_s': round(duration_s, 3),
        'loaded_snapshot_gap_ms': snapshot_gap_ms,
    }


async def main() -> None:
    """Measure once and print the result."""
    with tempfile.TemporaryDirectory() as folder:
        result = await measure(
            pathlib.Path(folder) / 'data', int(sys.argv[1]), int(sys.argv[2])
        )
    print(json.dumps(result))


if __name__ == '__main__':
    asyncio.run(main())
