"""A control process without its HTTP listeners: a replica and its service.

The programs add the HTTP listeners for operators.

Example:
    process = Process.from_config(options, fleet)
    await process.start(options.link_address)
    await process.wait_until_stop(stop_requested)
    await process.stop()
"""

import asyncio
import collections.abc
import contextlib

from godwitstall.consensus import replica as replica_module
from godwitstall.control import machine as machine_module
from godwitstall.control import service as service_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import settings

_LOG = logs.get('control')

# Delay before a replica is restarted after a disk error.
_DISK_RETRY_DELAY_S = 1.0


class Process:
    """One replica of the control state and its service."""

    def __init__(
        self,
        options: settings.ControlOptions,
        replica: replica_module.Replica,
        service: service_module.Service,
    ) -> None:
        self.options = options
        self.replica = replica
        self.service = service

    @classmethod
    def from_config(
        cls, options: settings.ControlOptions, fleet: settings.FleetOptions
    ) -> 'Process':
        """Return a process for validated settings."""
        identity = link_module.Identity(
            messages.Role.CONTROL, options.slot, fleet.secret()
        )
        machine = machine_module.Machine.from_config(options)
        replica = replica_module.Replica.from_config(
            options, fleet, identity, machine
        )
        service = service_module.Service(options, identity, machine, replica)
        return cls(options, replica, service)

    async def start(self, link_address: str) -> None:
        """Load the state from disk and serve links on 'host:port'.

        Errors: DiskError when a disk operation fails, StorageError when the
        disk is corrupt or belongs to another fleet, OSError when the address
        cannot be used.
        """
        try:
            await self.replica.start()
        except OSError as e:
            raise errors.DiskError(f'The disk failed: {e}.') from e
        await self.service.start(link_address)
        _LOG.info('Replica %s started.', self.options.slot)

    async def wait_until_stop(self, stop_requested: asyncio.Event) -> None:
        """Return when a stop is requested or the replica has failed."""
        tasks = [
            asyncio.create_task(self.replica.wait_failed()),
            asyncio.create_task(stop_requested.wait()),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    async def stop(self) -> None:
        """Perform a planned stop.

        Errors: StorageError when the replica has failed, DiskError when the
        disk was the cause. The process must then exit: it cannot serve its
        nodes without the replica, and they must connect to another process.
        """
        _LOG.info('Replica %s is stopping.', self.options.slot)
        await self.service.stop()
        _LOG.info('Replica %s stopped.', self.options.slot)
        match self.replica.failure:
            case None:
                return
            case OSError() | errors.DiskError():
                raise errors.DiskError(
                    f'The replica failed: {self.replica.failure}'
                )
            case failure:
                raise errors.StorageError(f'The replica failed: {failure}')


async def retry_on_disk_error(
    run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    stop_requested: asyncio.Event,
) -> None:
    """Run a replica, and restart it after each disk error.

    Returns when a run ends without a disk error or a stop is requested. A
    full or faulty disk often recovers, and a process that exits at each
    attempt would count as crashing.
    """
    while not stop_requested.is_set():
        try:
            await run()
        except errors.DiskError as e:
            _LOG.error('%s Retrying in %.1f s.', e, _DISK_RETRY_DELAY_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DISK_RETRY_DELAY_S):
                    await stop_requested.wait()
        else:
            return
