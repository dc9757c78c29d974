"""Claims through three control processes: rate, latency, snapshots.

Concurrent proposers each claim an operation and record its outcome, as the
node of a non-idempotent route does. Prints one JSON line:
python -m bench.claims PROPOSERS SECONDS
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

_LINKS = 4
_TIMEOUT_S = 5.0
_HEADERS = b'content-type: application/json\r\n'
_BODY = b'{"booking":"0123456789"}'


def operation_id(time_ms: int) -> messages.OperationId:
    """Return a random UUIDv7 of this time."""
    digits = f'{time_ms:012x}{secrets.token_hex(10)}'
    return messages.OperationId(
        f'{digits[:8]}-{digits[8:12]}-7{digits[13:16]}-8{digits[17:20]}'
        f'-{digits[20:]}'
    )


def commands(
    number: int, time_ms: int
) -> tuple[messages.Claim, messages.Complete]:
    """Return the claim and the outcome of one operation."""
    node_id = messages.NodeId(f'service-{number % 110}-{number % 8}')
    workspace = messages.WorkspaceName(f'workspace-{number % 8}')
    claim = messages.Claim(
        operation_id(time_ms),
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
        _HEADERS,
        _BODY,
        False,
        workspace,
    )
    return claim, complete


_Propose = collections.abc.Callable[
    [bytes], collections.abc.Awaitable[typing.Any]
]


@dataclasses.dataclass
class Load:
    """Proposers that run one operation after the other."""

    propose: _Propose
    # Time of each granted claim, seconds.
    latencies: list[float] = dataclasses.field(default_factory=list)
    # Commands without a result.
    failures: int = 0
    is_ending: bool = False

    async def run(self, count: int, seconds: float) -> None:
        """Run count proposers for some seconds."""
        tasks = [asyncio.create_task(self._proposer(i)) for i in range(count)]
        await asyncio.sleep(seconds)
        self.is_ending = True
        await asyncio.gather(*tasks)

    async def _proposer(self, number: int) -> None:
        while not self.is_ending:
            claim, complete = commands(number, clock.wall_ms())
            number += 1
            started = clock.now()
            try:
                await self.propose(codec.encode(claim))
                self.latencies.append(clock.now() - started)
                await self.propose(codec.encode(complete))
            except errors.GodwitstallError:
                self.failures += 1
                await asyncio.sleep(0.05)

    def figures(self, seconds: float) -> dict[str, typing.Any]:
        """Return rate and latency of the claims."""
        found = sorted(self.latencies) or [0.0]

        def at(share: float) -> float:
            place = min(len(found) - 1, int(len(found) * share))
            return round(found[place] * 1000, 2)

        return {
            'claims': len(self.latencies),
            'claims_per_s': round(len(self.latencies) / seconds, 1),
            'failures': self.failures,
            'p50_ms': at(0.5),
            'p99_ms': at(0.99),
            'worst_ms': at(1.0),
        }


async def _ignore(message: messages.Message) -> None:
    del message


async def measure(
    folder: pathlib.Path, proposers: int, seconds: float
) -> dict[str, typing.Any]:
    """Return the figures of a new fleet of three control processes."""
    async with (
        fleet_module.Fleet(folder, [], log_level='INFO') as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        slot = (await fleet.query(messages.QueryKind.STATUS))['leader']
        opened = []
        for number in range(_LINKS):
            link = await links.connect(
                fleet.control[slot],
                links.Identity(
                    messages.Role.OPERATOR, f'bench-{number}', fleet.secret
                ),
                1.0,
            )
            reader = asyncio.create_task(link.run(_ignore))
            stack.push_async_callback(asyncio.wait, {reader})
            stack.callback(link.close)
            opened.append(link)
        turn = 0

        async def propose(command: bytes) -> messages.Message:
            nonlocal turn
            turn += 1
            return await opened[turn % _LINKS].request(
                messages.Propose(command=command), _TIMEOUT_S
            )

        load = Load(propose)
        started = clock.now()
        await load.run(proposers, seconds)
        figures = load.figures(clock.now() - started)
        logs = {
            name: (folder / f'{name}.log').read_text()
            for name in fleet.control
        }
        return (
            {'name': 'claims', 'proposers': proposers}
            | figures
            | {
                'snapshots': sum(
                    text.count('Took a snapshot') for text in logs.values()
                ),
                'leader_changes': sum(
                    text.count('No longer leads') for text in logs.values()
                ),
                'leader_cpu_share': round(fleet.cpu_s(slot) / seconds, 2),
                'memory_mb': round(max(map(fleet.memory_mb, fleet.control))),
            }
        )


async def main() -> None:
    """Measure once and print the figures."""
    proposers, seconds = int(sys.argv[1]), float(sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        found = await measure(pathlib.Path(folder), proposers, seconds)
    print(json.dumps(found))


if __name__ == '__main__':
    asyncio.run(main())
