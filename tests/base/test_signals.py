"""Signals that the programs get while they run."""

import asyncio
import collections.abc
import os
import pathlib
import signal

import pytest

from godwitstall.consensus import storage
from godwitstall.control import program as control_program
from godwitstall import messages
from godwitstall.node import program as node_program
from godwitstall import settings
from loadtool import addresses

_TIMEOUT_S = 30.0


def _fleet(folder: pathlib.Path) -> settings.FleetOptions:
    secret = folder / 'secret'
    secret.write_bytes(b'0123456789abcdef')
    return settings.FleetOptions(
        't', str(secret), {'c1': addresses.free_address()}
    )


async def _run_node(folder: pathlib.Path) -> None:
    options = settings.NodeOptions(
        node_id=messages.NodeId('n1'),
        zone='z1',
        region='r1',
        link_address=addresses.free_address(),
        caller_address=addresses.free_address(),
        upstream_address=addresses.free_address(),
        admin_address=addresses.free_address(),
        service=messages.ServiceName('s'),
        stop_settle_s=0.1,
        stop_grace_s=1.0,
    )
    await node_program.run(options, _fleet(folder))


async def _run_control(folder: pathlib.Path) -> None:
    options = settings.ControlOptions(
        slot=messages.SlotId('c1'),
        zone='z1',
        region='r1',
        admin_address=addresses.free_address(),
        data_folder=str(folder / 'data'),
    )
    storage.format_disk(folder / 'data', 't', options.slot, True)
    await control_program.run(options, _fleet(folder))


@pytest.mark.parametrize('run', [_run_node, _run_control])
def test_hangup_does_not_end_a_program(
    tmp_path: pathlib.Path,
    run: collections.abc.Callable[
        [pathlib.Path], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Guards against a process that SIGHUP ends without a planned stop."""
    # In place of the default action, which ends the process.
    unhandled: list[int] = []
    previous = signal.signal(signal.SIGHUP, lambda *_: unhandled.append(1))

    async def main() -> None:
        task = asyncio.create_task(run(tmp_path))
        async with asyncio.timeout(_TIMEOUT_S):
            while signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
                assert not task.done()
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.1)
            assert not unhandled
            assert not task.done()
            os.kill(os.getpid(), signal.SIGTERM)
            await task

    try:
        asyncio.run(main())
    finally:
        signal.signal(signal.SIGHUP, previous)
