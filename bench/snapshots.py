"""Pause of the event loop and time of a snapshot, by number of records.

One replica with the only vote runs in this process, with its log on the disk.
The records go into its state machine directly, without the log. Each size
runs as a process of its own and prints one JSON line:
python -m bench.snapshots RECORDS PROPOSERS
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
# Records made in one millisecond of the log time.
_PER_MS = 300
# Time of the load before and after the snapshot, seconds.
_MARGIN_S = 1.0


class Ticker:
    """Longest time between two turns of a task that sleeps 1 ms."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Tick until cancelled."""
        last = clock.now()
        while True:
            await asyncio.sleep(0.001)
            now = clock.now()
            self.longest_s = max(self.longest_s, now - last)
            last = now

    async def take_ms(self) -> float:
        """Return the longest gap since the last call, milliseconds."""
        await asyncio.sleep(0.01)
        longest_s, self.longest_s = self.longest_s, 0.0
        return round(longest_s * 1000, 2)


def _fill(machine: machines.Machine, count: int) -> None:
    start_ms = clock.wall_ms() - count // _PER_MS - 1
    for number in range(count):
        time_ms = start_ms + number // _PER_MS
        claim, complete = claims.commands(number, time_ms)
        machine.operations.claim(claim, time_ms, lambda *_: True)
        machine.operations.complete(complete, time_ms)
    assert len(machine.operations) == count


def _memory() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def _options(folder: pathlib.Path) -> settings.ControlOptions:
    return settings.ControlOptions(
        slot=_SLOT,
        zone='z',
        region='r',
        admin_address='127.0.0.1:1',
        data_folder=str(folder),
    )


def _replica(
    folder: pathlib.Path, machine: machines.Machine
) -> replicas.Replica:
    address = addresses.free_address()
    replicas.format_disk(folder, 'bench', _SLOT, True)
    return replicas.Replica.from_config(
        _options(folder),
        settings.FleetOptions('bench', '', {_SLOT: address}),
        links.Identity(messages.Role.CONTROL, _SLOT, b'0123456789abcdef'),
        machine,
    )


async def measure(
    folder: pathlib.Path, count: int, proposers: int
) -> dict[str, typing.Any]:
    """Return the figures for a number of records."""
    machine = machines.Machine.from_config(_options(folder))
    replica = _replica(folder, machine)
    await replica.start()
    while not replica.holds_lease():
        await asyncio.sleep(0.01)
    gc.collect()
    before = _memory()
    _fill(machine, count)
    gc.collect()
    result: dict[str, typing.Any] = {
        'name': 'snapshots',
        'records': count,
        'bytes_per_record': round((_memory() - before) / count),
    }
    ticker = Ticker()
    ticking = asyncio.create_task(ticker.run())
    await ticker.take_ms()

    target = folder / 'trial'
    target.mkdir()
    header = messages.SnapshotFile(last_index=1, last_term=1, time_ms=1)
    started = clock.now()
    size = await snapshots.write(target, header, machine.freeze())
    result['file_bytes'] = size
    result['snapshot_s'] = round(clock.now() - started, 3)
    result['snapshot_gap_ms'] = await ticker.take_ms()

    data = storage.read_snapshot(target)
    assert data is not None
    _, state = await asyncio.to_thread(storage.unpack_snapshot, data, 'trial')
    other = machines.Machine.from_config(_options(folder))
    await ticker.take_ms()
    started = clock.now()
    await snapshots.load(other, 1, state)
    result['load_s'] = round(clock.now() - started, 3)
    result['load_gap_ms'] = await ticker.take_ms()
    assert len(other.operations) == count
    del other, data, state

    # Not a pause of the product, which frees a former state bit by bit.
    await ticker.take_ms()
    if proposers:
        result |= await _under_load(replica, machine, ticker, proposers)
    ticking.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await ticking
    await replica.close()
    result['memory_mb'] = round(_memory() / 1e6)
    return result


async def _under_load(
    replica: replicas.Replica,
    machine: machines.Machine,
    ticker: Ticker,
    proposers: int,
) -> dict[str, typing.Any]:
    """Take snapshots while proposers run operations through the log."""

    async def propose(command: bytes) -> bytes:
        return (await replica.propose(command, 5.0))[1]

    load = claims.Load(propose)
    running = asyncio.create_task(load.run(proposers, 1e9))
    await asyncio.sleep(_MARGIN_S)
    idle_ms = await ticker.take_ms()
    target = replica.folder / 'trial'
    header = messages.SnapshotFile(last_index=2, last_term=1, time_ms=1)
    started = clock.now()
    await snapshots.write(target, header, machine.freeze())
    seconds = clock.now() - started
    gap_ms = await ticker.take_ms()
    load.is_ending = True
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    return {
        'proposers': proposers,
        'gap_without_snapshot_ms': idle_ms,
        'loaded_snapshot_s': round(seconds, 3),
        'loaded_snapshot_gap_ms': gap_ms,
    }


async def main() -> None:
    """Measure once and print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        found = await measure(
            pathlib.Path(folder) / 'data', int(sys.argv[1]), int(sys.argv[2])
        )
    print(json.dumps(found))


if __name__ == '__main__':
    asyncio.run(main())
