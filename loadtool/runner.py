"""Sends the calls of a scenario and checks the responses.

The generator is open-loop: arrivals do not wait for responses. The latency of
a call includes the time that it waits for a connection.

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

# Consecutive late sends after which the generator lets the event loop run.
_SENDS_PER_YIELD = 16

# Upper bound of the wait after Retry-After, seconds.
_MAX_RETRY_AFTER_S = 60.0


@dataclasses.dataclass(slots=True)
class _SendResult:
    """Result of one send."""

    # Whether a complete, matching response arrived in time.
    is_good: bool
    # Whether the response is a refusal or an error with a kind.
    is_refused: bool = False
    # 'kind/outcome' of a refusal or reason of a failure.
    label: str = ''
    # Whether the response was replayed from the operation record.
    is_replayed: bool = False
    # Value of Retry-After, seconds; None without the header.
    retry_after_s: float | None = None


def classify_response(
    response: http_client.Response, digest: str, is_digest_checked: bool
) -> _SendResult:
    """Return the result of a send from its complete response.

    A response without the digest of the request belongs to another request
    and is a failure with any status.
    """
    headers = response.headers
    kind = headers.get('godwitstall-error')
    outcome = headers.get('godwitstall-outcome')
    if kind is not None:
        return _SendResult(
            False,
            True,
            f'{kind}/{outcome or "none"}',
            retry_after_s=_retry_after_s(headers),
        )
    if outcome == 'not-run':
        # A refusal by the upstream itself has no kind.
        label = (
            'shed' if response.status == 503 else f'status_{response.status}'
        )
        return _SendResult(
            False,
            True,
            f'{label}/not-run',
            retry_after_s=_retry_after_s(headers),
        )
    if is_digest_checked:
        try:
            content = json.loads(response.body)
        except ValueError:
            return _SendResult(False, label='malformed')
        response_digest = (
            content.get('digest') if isinstance(content, dict) else None
        )
        # An error response may come from a hop that has not read the request.
        is_error = response.status >= 400 and response_digest is None
        if response_digest != digest and not is_error:
            return _SendResult(False, label='foreign')
    if not 200 <= response.status < 300:
        return _SendResult(False, label=f'status_{response.status}')
    return _SendResult(True, is_replayed='godwitstall-replayed' in headers)


def _retry_after_s(headers: dict[str, str]) -> float | None:
    for name, unit_s in (
        ('godwitstall-retry-after-ms', 0.001),
        ('retry-after', 1.0),
    ):
        if headers.get(name, '').isdecimal():
            return min(int(headers[name]) * unit_s, _MAX_RETRY_AFTER_S)
    return None


async def _busy_poll() -> None:
    while True:
        await asyncio.sleep(0)


class _Runner:
    """State of one run."""

    def __init__(self, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.loop = asyncio.get_running_loop()
        self.report = reports.Report([])
        self.clients: dict[str, http_client.Client] = {}
        # Tasks of open calls; the event loop holds only weak references.
        self.open_calls: set[asyncio.Task[None]] = set()
        self.sent_calls = 0
        self.started_at = self.loop.time()
        # Makes the requests of each run unique, so that no server treats a
        # request as a repetition from an earlier run.
        self.run_id = os.urandom(4).hex()

    async def run(self) -> reports.Report:
        """Send all calls, await the last responses and return the report."""
        for load in self.scenario.loads:
            name = load.name or load.workspace
            self.report.goodput_by_load.setdefault(name, [])
        self.started_at = self.loop.time()
        senders = [
            asyncio.create_task(self._send_load(index, load))
            for index, load in enumerate(self.scenario.loads)
        ]
        poller = (
            asyncio.create_task(_busy_poll())
            if self.scenario.is_spinning
            else None
        )
        try:
            await asyncio.gather(*senders)
            # Each call ends after the deadlines of its sends.
            while self.open_calls:
                await asyncio.wait(self.open_calls)
        finally:
            for task in [*senders, *self.open_calls]:
                task.cancel()
            if poller is not None:
                poller.cancel()
            for client in self.clients.values():
                client.close()
        self.report.seconds = self.loop.time() - self.started_at
        duration_s = max(
            int(sum(phase.seconds for phase in self.scenario.phases)),
            len(self.report.goodput),
        )
        for counts in (
            self.report.goodput,
            *self.report.goodput_by_load.values(),
        ):
            counts += [0] * (duration_s - len(counts))
        return self.report

    async def _send_load(self, index: int, load: scenarios.Load) -> None:
        rng = random.Random(f'{self.scenario.seed}:{index}')
        addresses = load.targets or self.scenario.targets
        clients = [self._client(address) for address in addresses]
        # Each load starts at a different target.
        target_index = index
        phase_start = self.started_at
        late_sends = 0
        for phase, rate in zip(self.scenario.phases, load.rates, strict=True):
            row = reports.Row(
                load.name or load.workspace,
                load.workspace,
                phase.name,
                phase.seconds,
            )
            self.report.rows.append(row)
            phase_end = phase_start + phase.seconds
            intended_at = phase_start
            while rate > 0:
                is_poisson = load.arrivals is scenarios.Arrivals.POISSON
                intended_at += (
                    rng.expovariate(rate) if is_poisson else 1 / rate
                )
                if intended_at >= phase_end:
                    break
                if self.sent_calls >= self.scenario.max_calls:
                    self.report.is_truncated = True
                    return
                wait_s = intended_at - self.loop.time()
                late_sends += 1
                if wait_s > 0:
                    late_sends = 0
                    await asyncio.sleep(wait_s)
                elif late_sends % _SENDS_PER_YIELD == 0:
                    await asyncio.sleep(0)
                self.sent_calls += 1
                row.sent += 1
                if len(self.open_calls) >= self.scenario.max_open:
                    row.failed['unsent'] += 1
                    continue
                target_index += 1
                task = asyncio.create_task(
                    self._call(
                        load,
                        row,
                        clients[target_index % len(clients)],
                        intended_at,
                        self.sent_calls,
                    )
                )
                self.open_calls.add(task)
                task.add_done_callback(self.open_calls.discard)
            phase_start = phase_end
            await asyncio.sleep(max(0.0, phase_end - self.loop.time()))

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
        intended_at: float,
        call_number: int,
    ) -> None:
        """Send a call, resend it if necessary and count its result."""
        path, body = self._request(load, call_number)
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
        started_at = intended_at
        self.report.worst_lag_s = max(
            self.report.worst_lag_s, self.loop.time() - intended_at
        )
        for resend in range(load.resends + 1):
            result = await self._send(
                load, client, path, headers, body, digest, started_at
            )
            now = self.loop.time()
            if result.is_good:
                row.good += 1
                row.good_at_once += resend == 0
                row.replayed += result.is_replayed
                row.record_good(now - intended_at)
                self._count_good(row.load, now)
                return
            row.sends[result.label] += 1
            if result.is_refused:
                row.record_refusal(now - started_at)
            if resend == load.resends:
                break
            if load.policy is scenarios.Policy.NONE:
                break
            if load.policy is scenarios.Policy.POLITE:
                if result.retry_after_s is None:
                    break
                await asyncio.sleep(result.retry_after_s)
            row.resends += 1
            started_at = self.loop.time()
        counter = row.refused if result.is_refused else row.failed
        counter[result.label] += 1

    def _request(
        self, load: scenarios.Load, call_number: int
    ) -> tuple[str, bytes]:
        """Return the path and body of a call."""
        unique = f'{self.run_id}-{call_number}'
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
        started_at: float,
    ) -> _SendResult:
        deadline = started_at + load.deadline_ms / 1000
        remaining_s = deadline - self.loop.time()
        if remaining_s <= 0:
            return _SendResult(False, label='unsent')
        if load.is_deadline_sent:
            remaining_ms = max(1, int(remaining_s * 1000))
            headers = [
                *headers,
                ('godwitstall-deadline-ms', str(remaining_ms)),
            ]
        try:
            response = await client.request(
                load.method,
                path,
                headers,
                body,
                remaining_s + self.scenario.patience_ms / 1000,
            )
        except http_client.CallError as e:
            return _SendResult(False, label=e.reason)
        result = classify_response(
            response, digest, self.scenario.is_digest_checked
        )
        if result.is_good and self.loop.time() > deadline:
            return _SendResult(False, label='late')
        return result

    def _count_good(self, name: str, now: float) -> None:
        second = int(now - self.started_at)
        for counts in (self.report.goodput, self.report.goodput_by_load[name]):
            counts += [0] * (second + 1 - len(counts))
            counts[second] += 1


async def run(scenario: scenarios.Scenario) -> reports.Report:
    """Run a scenario and return the report.

    The run takes the sum of the phases plus the deadlines, resends and
    waits of the last calls.

    Errors: SettingsError if the scenario is inconsistent.
    """
    scenarios.check(scenario)
    return await _Runner(scenario).run()


def to_line(report: reports.Report) -> str:
    """Return the report as one JSON object on one line."""
    content: dict[str, typing.Any] = report.to_json()
    return json.dumps(content, separators=(',', ':'))
