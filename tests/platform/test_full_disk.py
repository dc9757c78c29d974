"""Control processes with a full or invalid disk."""

import asyncio
import errno
import functools
import pathlib
import typing

from adapter import programs
import pytest

from godwitstall.consensus import storage
from godwitstall.control import process as process_module
from godwitstall import errors
from godwitstall import messages
from godwitstall import settings
from loadtool import addresses

_WAIT_S = 20.0


class _FailingFunction:
    """Raises ENOSPC on the first calls of a storage function."""

    def __init__(self, function: typing.Any, failures: int) -> None:
        self.function = function
        self.failures = failures
        self.calls = 0

    def __call__(self, *arguments: typing.Any) -> typing.Any:
        self.calls += 1
        if self.calls <= self.failures:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return self.function(*arguments)


def _options(root: pathlib.Path) -> settings.ControlOptions:
    return settings.ControlOptions(
        slot=messages.SlotId('c0'),
        zone='z1',
        region='r1',
        admin_address=addresses.free_address(),
        data_folder=str(root / 'c0'),
        link_address=addresses.free_address(),
        formats_empty_disk=True,
        is_new_fleet=True,
    )


@pytest.mark.parametrize('function', ['format_if_empty', 'write_vote'])
def test_process_goes_on_when_the_disk_works_again(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, function: str
) -> None:
    """Guards against a process that exits while its disk is full."""
    failing_function = _FailingFunction(getattr(storage, function), 2)
    monkeypatch.setattr(storage, function, failing_function)
    monkeypatch.setattr(process_module, '_DISK_RETRY_DELAY_S', 0.01)

    async def scenario() -> None:
        options = _options(tmp_path)
        fleet = settings.FleetOptions(
            'tests', seeds=[options.link_address], is_without_secret=True
        )
        stop_requested = asyncio.Event()
        run = asyncio.create_task(
            process_module.retry_on_disk_error(
                functools.partial(
                    programs._run_control, fleet, options, stop_requested
                ),
                stop_requested,
            )
        )
        host, _, port = options.admin_address.rpartition(':')
        async with asyncio.timeout(_WAIT_S):
            while failing_function.calls <= 2 or not await _is_listening(
                host, int(port)
            ):
                assert not run.done()
                await asyncio.sleep(0.02)
            stop_requested.set()
            await run

    asyncio.run(scenario())


async def _is_listening(host: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


def test_corrupt_disk_ends_the_process() -> None:
    """Guards against endless retries on a disk of another fleet."""

    async def run() -> None:
        raise errors.StorageError('The disk belongs to another fleet.')

    async def scenario() -> None:
        with pytest.raises(errors.StorageError):
            await process_module.retry_on_disk_error(run, asyncio.Event())

    asyncio.run(scenario())
