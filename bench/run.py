"""Runs measurements and prints one JSON object per line.

Run: python -m bench.run [NAME ...]
The names are the keys of MEASUREMENTS. Without names all measurements run,
which takes about a quarter of an hour.
"""

import asyncio
import collections.abc
import functools
import json
import pathlib
import sys
import tempfile
import typing

from bench import claims
from bench import latency
from bench import overload
from bench import scale
from bench import throughput

_MeasureFunction = collections.abc.Callable[
    [pathlib.Path], collections.abc.Awaitable[dict[str, typing.Any]]
]

# Measurements by name, in order of execution.
MEASUREMENTS: dict[str, _MeasureFunction] = {
    'latency': latency.measure,
    'throughput': throughput.measure,
    'scale-10': functools.partial(scale.measure, count=10, changes=10),
    'scale-50': functools.partial(scale.measure, count=50, changes=10),
    'scale-100': functools.partial(scale.measure, count=100, changes=50),
    'claims': functools.partial(claims.measure, proposers=64, seconds=10.0),
}
for _case in overload.CASES:
    for _suffix, _is_pass_through in (('limits', False), ('plain', True)):
        MEASUREMENTS[f'{_case.name}-{_suffix}'] = functools.partial(
            overload.measure, case=_case, is_pass_through=_is_pass_through
        )


async def _run_measurements(names: list[str]) -> None:
    for name in names:
        with tempfile.TemporaryDirectory() as folder:
            result = await MEASUREMENTS[name](pathlib.Path(folder) / 'run')
        print(json.dumps({'measurement': name} | result), flush=True)


def main(names: list[str]) -> int:
    """Run the named or all measurements; return the exit code."""
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ', '.join(MEASUREMENTS)
        print(
            f'bench: unknown measurement: {unknown[0]}; known: {known}',
            file=sys.stderr,
        )
        return 2
    asyncio.run(_run_measurements(names or list(MEASUREMENTS)))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
