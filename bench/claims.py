"""Measures rate and latency of claims through three control processes.

Concurrent proposers each claim an operation and record its outcome, as the
node of a non-idempotent route does. Prints one JSON line.

Run: python -m bench.claims PROPOSERS SECONDS
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import pathlib
import secrets
import sys
import tempfile
import typing

from bench import fleet as fleet_module
from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall import link as links
from godwitstall import messages

_LINK_COUNT = 4
_TIMEOUT_S = 5.0
_RESPONSE_HEADERS = b'content-type: application/json\r\n'
_RESPONSE_BODY = b'{"booking":"0123456789"}'


def new_operation_id(time_ms: int) -> messages.OperationId:
    """Return a random UUIDv7 with this timestamp."""
    digits = f'{time_ms:012x}{secrets.token_hex(10)}'
    return messages.OperationId(
        f'{digits[:8]}-{digits[8:12]}-7{digits[13:16]}-8{digits[17:20]}'
        f'-{digits[20:]}'
    )


def operation_commands(
    number: int, time_ms: int
) -> tuple[messages.Claim, messages.Complete]:
    """Return the claim and the completion of one operation."""
    node_id = messages.NodeId(f'service-{number % 110}-{number % 8}')
    workspace = messages.WorkspaceName(f'workspace-{number % 8}')
    claim = messages.Claim(
        new_operation_id(time_ms),
        workspace,
        secrets.token_bytes(32),
        messages.AttemptId(secrets.token_hex(16)),
        node_id,
        1_700_000_000_000 + number % 900,
        node_id,
        f'route-{number % 24}',
    )
    complete = messages.Complete(
        claim.operation_id,
        claim.attempt_id,
        errors.Outcome.RUN,
        201,
        _RESPONSE_HEADERS,
        _RESPONSE_BODY,
        False,
        workspace,
    )
    return claim, complete


_Propose = collections.abc.Callable[
    [bytes], collections.abc.Awaitable[typing.Any]
]


@dataclasses.dataclass
class Load:
    """Concurrent proposers, each with one operation at a time."""

    propose: _Propose
    # Latency of each granted claim, seconds.
    latencies: list[float] = dataclasses.field(default_factory=list)
    # Commands that failed.
    failures: int = 0
    is_stopping: bool = False

    async def run(self, count: int, seconds: float) -> None:
        """Run count proposers for this number of seconds."""
        tasks = [
            asyncio.create_task(self._run_proposer(i)) for i in range(count)
        ]
        await asyncio.sleep(seconds)
        self.is_stopping = True
        await asyncio.gather(*tasks)

    async def _run_proposer(self, number: int) -> None:
        while not self.is_stopping:
            claim, complete = operation_commands(number, clock.wall_ms())
            number += 1
            start = clock.now()
            try:
                await self.propose(codec.encode(claim))
                self.latencies.append(clock.now() - start)
                await self.propose(codec.encode(complete))
            except errors.GodwitstallError:
                self.failures += 1
                await asyncio.sleep(0.05)

    def summary(self, seconds: float) -> dict[str, typing.Any]:
        """Return the rate and the latency percentiles of the claims."""
        latencies = sorted(self.latencies) or [0.0]

        def percentile_ms(fraction: float) -> float:
            index = min(len(latencies) - 1, int(len(latencies) * fraction))
            return round(latencies[index] * 1000, 2)

        return {
            'claims': len(self.latencies),
            'claims_per_s': round(len(self.latencies) / seconds, 1),
            'failures': self.failures,
            'p50_ms': percentile_ms(0.5),
            'p99_ms': percentile_ms(0.99),
            'worst_ms': percentile_ms(1.0),
        }


async def _ignore_message(message: messages.Message) -> None:
    del message


async def measure(
    folder: pathlib.Path, proposers: int, seconds: float
) -> dict[str, typing.Any]:
    """Measure claims in a new fleet of three control processes."""
    async with (
        fleet_module.Fleet(folder, [], log_level='INFO') as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        leader = (await fleet.query(messages.QueryKind.STATUS))['leader']
        open_links = []
        for number in range(_LINK_COUNT):
            link = await links.connect(
                fleet.control_addresses[leader],
                links.Identity(
                    messages.Role.OPERATOR, f'bench-{number}', fleet.secret
                ),
                1.0,
            )
            reader = asyncio.create_task(link.run(_ignore_message))
            stack.push_async_callback(asyncio.wait, {reader})
            stack.callback(link.close)
            open_links.append(link)
        sent = 0

        async def propose(command: bytes) -> messages.Message:
            nonlocal sent
            sent += 1
            return await open_links[sent % _LINK_COUNT].request(
                messages.Propose(command=command), _TIMEOUT_S
            )

        load = Load(propose)
        start = clock.now()
        await load.run(proposers, seconds)
        summary = load.summary(clock.now() - start)
        logs = {
            name: (folder / f'{name}.log').read_text()
            for name in fleet.control_addresses
        }
        return (
            {'name': 'claims', 'proposers': proposers}
            | summary
            | {
                'snapshots': sum(
                    text.count('Took a snapshot') for text in logs.values()
                ),
                'leader_changes': sum(
                    text.count('No longer leads') for text in logs.values()
                ),
                'leader_cpu_share': round(fleet.cpu_s(leader) / seconds, 2),
                'memory_mb': round(
                    max(map(fleet.memory_mb, fleet.control_addresses))
                ),
            }
        )


async def main() -> None:
    """Measure once and print the result."""
    proposers, seconds = int(sys.argv[1]), float(sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        result = await measure(pathlib.Path(folder), proposers, seconds)
    print(json.dumps(result))


if __name__ == '__main__':
    asyncio.run(main())
