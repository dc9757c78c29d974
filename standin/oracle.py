"""Records all runs, so that tests can verify reported outcomes.

A run is recorded before it starts, so that cancelled runs and runs that crash
the process are included. With a journal file the record also survives the
process: each event is a JSON line written with one write(), which the kernel
keeps when the process exits through os._exit().
"""

import dataclasses
import json
import os
import typing

from godwitstall import clock


@dataclasses.dataclass(slots=True)
class Run:
    """One run of one request."""

    # Number of the run within its incarnation.
    number: int
    # Incarnation of the stand-in that ran the request.
    incarnation: int
    # Start time, seconds since boot.
    start: float
    # HTTP method.
    method: str
    # Path with the query.
    path: str
    # SHA-256 of method, path and body, hex.
    digest: str
    # Godwitstall-Workspace; empty when absent.
    workspace: str
    # Godwitstall-Operation; empty when absent.
    operation: str
    # Whether the request had an Authorization or Godwitstall-Key header.
    has_key: bool
    # Time since draining started, seconds; -1 if not draining.
    drain_s: float = -1.0
    # End time, seconds since boot; 0 while running.
    end: float = 0.0
    # 'running', 'done', 'cancelled' or 'crashed'. Unfinished runs of an
    # earlier process are 'crashed'.
    state: str = 'running'


class Oracle:
    """Runs of this process and, with a journal, of earlier processes."""

    def __init__(self, runs_file: str, max_runs: int) -> None:
        self.max_runs = max_runs
        self.runs: list[Run] = []
        # Event counters by name, which include runs beyond max_runs.
        self.counts: dict[str, int] = {}
        self.journal_fd: int | None = None
        if runs_file:
            self._load_journal(runs_file)
            self.journal_fd = os.open(
                runs_file, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644
            )

    def increment(self, name: str) -> None:
        """Increment a counter, for example 'shed'."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def record_start(self, run: Run) -> None:
        """Record the start of a run in memory and in the journal."""
        self.increment('runs')
        if len(self.runs) < self.max_runs:
            self.runs.append(run)
        self._append_event(dataclasses.asdict(run))

    def record_end(self, run: Run, state: str) -> None:
        """Record the end of a run; state is 'done' or 'cancelled'."""
        run.end = clock.now()
        run.state = state
        self.increment(state)
        self._append_event(
            {
                'number': run.number,
                'incarnation': run.incarnation,
                'end': run.end,
                'state': state,
            }
        )

    def reset(self) -> None:
        """Delete all runs and counters."""
        self.runs.clear()
        self.counts.clear()
        if self.journal_fd is not None:
            os.ftruncate(self.journal_fd, 0)

    def close(self) -> None:
        """Close the journal."""
        if self.journal_fd is not None:
            os.close(self.journal_fd)
            self.journal_fd = None

    def _append_event(self, event: dict[str, typing.Any]) -> None:
        if self.journal_fd is not None:
            os.write(self.journal_fd, json.dumps(event).encode() + b'\n')

    def _load_journal(self, runs_file: str) -> None:
        runs: dict[tuple[int, int], Run] = {}
        try:
            with open(runs_file, 'rb+') as file:
                content = file.read()
                # A full disk, for example, can leave an incomplete last
                # line, to which the next event would be appended.
                complete_lines = content.rpartition(b'\n')[0]
                file.truncate(len(complete_lines) + 1 if complete_lines else 0)
        except FileNotFoundError:
            return
        events = [json.loads(line) for line in complete_lines.splitlines()]
        for event in events:
            key = (event['incarnation'], event['number'])
            if 'start' in event:
                runs[key] = Run(**event)
                self.increment('runs')
            elif key in runs:
                runs[key].end = event['end']
                runs[key].state = event['state']
                self.increment(event['state'])
        for run in runs.values():
            if run.state == 'running':
                run.state = 'crashed'
                self.increment('crashed')
        self.runs = list(runs.values())[: self.max_runs]
