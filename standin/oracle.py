"""Record of all runs, the truth that tests compare outcomes with.

A run is recorded before its first step, so that one that is cancelled, cut
or ends the process counts as a run. With a journal file the record also
survives the process: each event is one write() of one JSON line, which the
kernel keeps when the process ends through os._exit().
"""

import dataclasses
import json
import os
import typing

from godwitstall import clock


@dataclasses.dataclass(slots=True)
class Run:
    """One run of one request."""

    # Number of the run in its incarnation.
    number: int
    # Incarnation of the stand-in that ran it.
    incarnation: int
    # Start, seconds since boot.
    start: float
    # HTTP method.
    method: str
    # Path and query.
    path: str
    # SHA-256 of method, path and body, hex.
    digest: str
    # Godwitstall-Workspace; empty when absent.
    workspace: str
    # Godwitstall-Operation; empty when absent.
    operation: str
    # An Authorization or Godwitstall-Key header came in.
    has_key: bool
    # Time since draining began, seconds; -1 before.
    drain_s: float = -1.0
    # End, seconds since boot; 0 while it runs.
    end: float = 0.0
    # 'running', 'done', 'cancelled' or 'crashed'; the last is set on runs of
    # an earlier process that did not end.
    state: str = 'running'


class Oracle:
    """Runs of this process and, with a journal, of its predecessors."""

    def __init__(self, runs_file: str, max_runs: int) -> None:
        self.max_runs = max_runs
        self.runs: list[Run] = []
        # Counters of everything, runs beyond max_runs included.
        self.counts: dict[str, int] = {}
        self.file: int | None = None
        if runs_file:
            self._read(runs_file)
            self.file = os.open(
                runs_file, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644
            )

    def count(self, name: str) -> None:
        """Add one to a counter, for example 'shed'."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def begin(self, run: Run) -> None:
        """Record the start of a run; returns after the journal has it."""
        self.count('runs')
        if len(self.runs) < self.max_runs:
            self.runs.append(run)
        self._write(dataclasses.asdict(run))

    def end(self, run: Run, state: str) -> None:
        """Record the end of a run in state 'done' or 'cancelled'."""
        run.end = clock.now()
        run.state = state
        self.count(state)
        self._write(
            {
                'number': run.number,
                'incarnation': run.incarnation,
                'end': run.end,
                'state': state,
            }
        )

    def reset(self) -> None:
        """Forget all runs and counters."""
        self.runs.clear()
        self.counts.clear()
        if self.file is not None:
            os.ftruncate(self.file, 0)

    def close(self) -> None:
        """Close the journal."""
        if self.file is not None:
            os.close(self.file)
            self.file = None

    def _write(self, event: dict[str, typing.Any]) -> None:
        if self.file is not None:
            os.write(self.file, json.dumps(event).encode() + b'\n')

    def _read(self, runs_file: str) -> None:
        known: dict[tuple[int, int], Run] = {}
        try:
            with open(runs_file, 'rb+') as file:
                content = file.read()
                # A line without its end was torn, for example by a full
                # disk; left in place it would swallow the next one.
                whole = content.rpartition(b'\n')[0]
                file.truncate(len(whole) + 1 if whole else 0)
        except FileNotFoundError:
            return
        events = [json.loads(line) for line in whole.splitlines()]
        for event in events:
            key = (event['incarnation'], event['number'])
            if 'start' in event:
                known[key] = Run(**event)
                self.count('runs')
            elif key in known:
                known[key].end = event['end']
                known[key].state = event['state']
                self.count(event['state'])
        for run in known.values():
            if run.state == 'running':
                run.state = 'crashed'
                self.count('crashed')
        self.runs = list(known.values())[: self.max_runs]
