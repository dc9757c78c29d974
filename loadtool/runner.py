"""Sends the calls of a scenario at their intended times and checks answers.

The generator is open-loop: arrivals do not wait for answers. A call that
finds all connections busy waits for one, and that wait is part of its
latency.

Example: report = await runner.run(scenario.Scenario(...))
"""

import asyncio
import dataclasses
import json
import os
import random
import typing

from loadtool import http_client
from loadtool import operation_ids
from loadtool import report as reports
from loadtool import scenario as scenarios

# Sends without a pause while the generator is behind; then answers are read.
_BATCH = 16

# Longest wait that Retry-After can impose, seconds.
_MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(slots=True)
class _Result:
    """What became of one send."""

    # The whole own answer came in time.
    is_good: bool
    # It is a refusal or a failure that names its kind.
    is_refused: bool = False
    # 'kind/outcome' of a refusal, reason of a failure.
    label: str = ''
    # The answer came from the operation record.
    is_replayed: bool = False
    # When to come back, seconds; None when not said.
    retry_after_s: float | None = None


def judge(
    answer: http_client.Answer, digest: str, is_digest_checked: bool
) -> _Result:
    """Return what a whole answer means to the caller.

    An answer without the digest of the request belongs to another request
    and is a failure, whatever its status.
    """
    headers = answer.headers
    kind = headers.get('godwitstall-error')
    outcome = headers.get('godwitstall-outcome')
    if kind is not None:
        return _Result(
            False,
            True,
            f'{kind}/{outcome or "none"}',
            retry_after_s=_retry_after_s(headers),
        )
    if outcome == 'not-run':
        # An upstream's own refusal names no kind.
        word = 'shed' if answer.status == 503 else f'status_{answer.status}'
        return _Result(
            False,
            True,
            f'{word}/not-run',
            retry_after_s=_retry_after_s(headers),
        )
    if is_digest_checked:
        try:
            content = json.loads(answer.body)
        except ValueError:
            return _Result(False, label='malformed')
        found = content.get('digest') if isinstance(content, dict) else None
        # An error may come from a part that has not read the request.
        is_error = answer.status >= 400 and found is None
        if found != digest and not is_error:
            return _Result(False, label='foreign')
    if not 200 <= answer.status < 300:
        return _Result(False, label=f'status_{answer.status}')
    return _Result(True, is_replayed='godwitstall-replayed' in headers)


def _retry_after_s(headers: dict[str, str]) -> float | None:
    for name, unit_s in (
        ('godwitstall-retry-after-ms', 0.001),
        ('retry-after', 1.0),
    ):
        if headers.get(name, '').isdecimal():
            return min(int(headers[name]) * unit_s, _MAX_RETRY_AFTER_S)
    return None


async def _spin() -> None:
    while True:
        await asyncio.sleep(0)


class _Runner:
    """State of one run."""

    def __init__(self, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.loop = asyncio.get_running_loop()
        self.report = reports.Report([])
        self.clients: dict[str, http_client.Client] = {}
        # Tasks of open calls; the loop itself holds only weak references.
        self.open: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.started = self.loop.time()
        # Makes requests of two runs differ, so that no server takes one for
        # a repetition of the other.
        self.run_id = os.urandom(4).hex()

    async def run(self) -> reports.Report:
        """Send everything, wait for the last answers, return the report."""
        for load in self.scenario.loads:
            name = load.name or load.workspace
            self.report.goodput_by_load.setdefault(name, [])
        self.started = self.loop.time()
        senders = [
            asyncio.create_task(self._send_all(place, load))
            for place, load in enumerate(self.scenario.loads)
        ]
        spinner = (
            asyncio.create_task(_spin()) if self.scenario.is_spinning else None
        )
        try:
            await asyncio.gather(*senders)
            # Each call ends by itself after its deadlines.
            while self.open:
                await asyncio.wait(self.open)
        finally:
            for task in [*senders, *self.open]:
                task.cancel()
            if spinner is not None:
                spinner.cancel()
            for client in self.clients.values():
                client.close()
        self.report.seconds = self.loop.time() - self.started
        length = max(
            int(sum(phase.seconds for phase in self.scenario.phases)),
            len(self.report.goodput),
        )
        for array in (
            self.report.goodput,
            *self.report.goodput_by_load.values(),
        ):
            array += [0] * (length - len(array))
        return self.report

    async def _send_all(self, place: int, load: scenarios.Load) -> None:
        chance = random.Random(f'{self.scenario.seed}:{place}')
        addresses = load.targets or self.scenario.targets
        clients = [self._client(address) for address in addresses]
        # Loads start at different targets.
        turn = place
        phase_at = self.started
        streak = 0
        for phase, rate in zip(self.scenario.phases, load.rates, strict=True):
            row = reports.Row(
                load.name or load.workspace,
                load.workspace,
                phase.name,
                phase.seconds,
            )
            self.report.rows.append(row)
            phase_ends = phase_at + phase.seconds
            at = phase_at
            while rate > 0:
                is_poisson = load.arrivals is scenarios.Arrivals.POISSON
                at += chance.expovariate(rate) if is_poisson else 1 / rate
                if at >= phase_ends:
                    break
                if self.sent >= self.scenario.max_calls:
                    self.report.is_truncated = True
                    return
                wait_s = at - self.loop.time()
                streak += 1
                if wait_s > 0:
                    streak = 0
                    await asyncio.sleep(wait_s)
                elif streak % _BATCH == 0:
                    await asyncio.sleep(0)
                self.sent += 1
                row.sent += 1
                if len(self.open) >= self.scenario.max_open:
                    row.failed['unsent'] += 1
                    continue
                turn += 1
                task = asyncio.create_task(
                    self._call(
                        load, row, clients[turn % len(clients)], at, self.sent
                    )
                )
                self.open.add(task)
                task.add_done_callback(self.open.discard)
            phase_at = phase_ends
            await asyncio.sleep(max(0.0, phase_ends - self.loop.time()))

    def _client(self, address: str) -> http_client.Client:
        if address not in self.clients:
            self.clients[address] = http_client.Client(
                address, self.scenario.connections
            )
        return self.clients[address]

    async def _call(
        self,
        load: scenarios.Load,
        row: reports.Row,
        client: http_client.Client,
        intended: float,
        number: int,
    ) -> None:
        """Send one call, with its resends, and count what became of it."""
        path, body = self._request(load, number)
        digest = (
            http_client.request_digest(load.method, path, body)
            if self.scenario.is_digest_checked
            else ''
        )
        headers = []
        if load.key:
            headers.append(('authorization', f'Bearer {load.key}'))
        if load.has_operation:
            headers.append(('godwitstall-operation', operation_ids.new_id()))
        if load.priority:
            headers.append(('godwitstall-priority', load.priority))
        starts = intended
        self.report.worst_lag_s = max(
            self.report.worst_lag_s, self.loop.time() - intended
        )
        for resend in range(load.resends + 1):
            result = await self._send(
                load, client, path, headers, body, digest, starts
            )
            now = self.loop.time()
            if result.is_good:
                row.good += 1
                row.good_at_once += resend == 0
                row.replayed += result.is_replayed
                row.record_good(now - intended)
                self._count_second(row.load, now)
                return
            row.sends[result.label] += 1
            if result.is_refused:
                row.record_refusal(now - starts)
            if resend == load.resends:
                break
            if load.policy is scenarios.Policy.NONE:
                break
            if load.policy is scenarios.Policy.POLITE:
                if result.retry_after_s is None:
                    break
                await asyncio.sleep(result.retry_after_s)
            row.resends += 1
            starts = self.loop.time()
        counter = row.refused if result.is_refused else row.failed
        counter[result.label] += 1

    def _request(self, load: scenarios.Load, number: int) -> tuple[str, bytes]:
        """Return path and body of a call."""
        unique = f'{self.run_id}-{number}'
        if load.fixed_body:
            return load.path, load.fixed_body.encode()
        if load.method == 'GET':
            return f'{load.path}?n={unique}', b''
        return load.path, unique.encode().ljust(load.body_bytes, b'.')

    async def _send(
        self,
        load: scenarios.Load,
        client: http_client.Client,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        digest: str,
        starts: float,
    ) -> _Result:
        ends = starts + load.deadline_ms / 1000
        left_s = ends - self.loop.time()
        if left_s <= 0:
            return _Result(False, label='unsent')
        if load.is_deadline_sent:
            left_ms = max(1, int(left_s * 1000))
            headers = [*headers, ('godwitstall-deadline-ms', str(left_ms))]
        try:
            answer = await client.request(
                load.method,
                path,
                headers,
                body,
                left_s + self.scenario.patience_ms / 1000,
            )
        except http_client.CallError as e:
            return _Result(False, label=e.reason)
        result = judge(answer, digest, self.scenario.is_digest_checked)
        if result.is_good and self.loop.time() > ends:
            return _Result(False, label='late')
        return result

    def _count_second(self, name: str, now: float) -> None:
        second = int(now - self.started)
        for array in (self.report.goodput, self.report.goodput_by_load[name]):
            array += [0] * (second + 1 - len(array))
            array[second] += 1


async def run(scenario: scenarios.Scenario) -> reports.Report:
    """Run a scenario to its end and return the report.

    The run takes the sum of the phases plus the deadlines, resends and
    waits of the last calls.

    Errors: SettingsError when the parts of the scenario do not fit.
    """
    scenarios.check(scenario)
    return await _Runner(scenario).run()


def to_line(report: reports.Report) -> str:
    """Return the report as one JSON object on one line."""
    shown: dict[str, typing.Any] = report.to_json()
    return json.dumps(shown, separators=(',', ':'))
