"""When the node beside an upstream counts it as cold, and when no more."""

import asyncio
import contextlib
import typing

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall.node.requests import context
from godwitstall.node.upstreams import announcements
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_status
from tests import gateways


class _Client:
    """Answers probes, and has open connections or not."""

    def __init__(self) -> None:
        self.is_open = False
        self.cold_ms: bytes | None = b'0'
        self.paths: list[str] = []

    def close(self) -> None:
        pass

    def has_open_connection(self) -> bool:
        return self.is_open

    async def send(
        self, method: str, path: str, *_: object
    ) -> upstream_answer.UpstreamAnswer:
        self.paths.append(path)
        headers = []
        if self.cold_ms is not None:
            headers.append(
                (upstream_status.DEFAULT_NAMES.cold_ms, self.cold_ms)
            )
        return upstream_answer.UpstreamAnswer(
            200, headers, b'', clock.recent()
        )


class _Time:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture(name='time')
def make_time(monkeypatch: pytest.MonkeyPatch) -> _Time:
    """Return the time that the clock shows."""
    time = _Time()
    monkeypatch.setattr(clock, 'now', time)
    monkeypatch.setattr(clock, 'recent', time)
    return time


def _announce(
    upstream: upstream_module.Upstream, cold_ms: int = 0, incarnation: int = 5
) -> None:
    upstream.on_announcement(
        announcements.Announcement(
            'siop', incarnation, 9, 8, 60, '/health', cold_ms=cold_ms
        ),
        clock.now(),
    )


def _make(per_s: float = 6.5) -> tuple[upstream_module.Upstream, _Client]:
    """Return a warm upstream whose connections go to a stand-in."""
    upstream = upstream_module.Upstream(
        gateways.make_options('n1', 'siop'), context.Contexts(), lambda: None
    )
    upstream.cold.set_rule(
        messages.ServiceRule('siop', cold_start_ms=3000, cold_per_s=per_s)
    )
    _announce(upstream)
    stand_in: typing.Any = _Client()
    upstream.client = stand_in
    return upstream, stand_in


def _is_cold(upstream: upstream_module.Upstream) -> bool:
    return upstream.cold.rate.is_cold(clock.now())


def test_announced_cold_time_is_observed(time: _Time) -> None:
    """Guards against a cold time that ends late or with the next report."""
    upstream, _ = _make()
    _announce(upstream, cold_ms=2000)
    time.now += 1.0
    _announce(upstream, cold_ms=1000)
    time.now += 0.9
    assert _is_cold(upstream)
    time.now += 0.2
    assert not _is_cold(upstream)


def test_refused_connection_makes_an_upstream_cold(time: _Time) -> None:
    """Guards against a late announcement of a process that has ended."""
    upstream, _ = _make()
    upstream.mark_down(upstream.incarnation)
    time.now += 0.1
    _announce(upstream)
    assert _is_cold(upstream)
    time.now += 1.0
    _announce(upstream)
    assert not _is_cold(upstream)


def test_silence_makes_an_upstream_cold(time: _Time) -> None:
    """Guards against full load on an upstream that was long unheard."""
    upstream, client = _make()
    client.cold_ms = None
    upstream.options.probe_interval_s = 0.05
    time.now += 10.0

    async def run() -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(upstream.run(), 0.3)

    asyncio.run(run())
    assert upstream.state is messages.UpstreamState.DOWN
    assert _is_cold(upstream)


def test_only_the_loss_of_the_last_connection_counts(time: _Time) -> None:
    """Guards against cut answers that make a running process cold."""
    upstream, client = _make()
    client.is_open = True
    upstream.on_lost_connection(typing.cast(typing.Any, client), 5)
    assert not _is_cold(upstream)
    client.is_open = False
    upstream.on_lost_connection(typing.cast(typing.Any, client), 4)
    assert not _is_cold(upstream)
    upstream.on_lost_connection(typing.cast(typing.Any, client), 5)
    assert _is_cold(upstream)


def test_zone_that_is_taken_back_counts_as_cold(time: _Time) -> None:
    """Guards against full load on upstreams that nobody has watched."""
    upstream, _ = _make()
    upstream.on_zone_taken_back()
    assert _is_cold(upstream)


def test_health_answer_ends_the_doubt(time: _Time) -> None:
    """Guards against a doubt that lasts until the next announcement."""
    upstream, client = _make()
    upstream.on_zone_taken_back()
    time.now += 0.01
    asyncio.run(upstream._probe(clock.now()))
    assert client.paths == ['/health']
    assert not _is_cold(upstream)


def test_health_answer_names_a_cold_time(time: _Time) -> None:
    """Guards against a health answer of which only the status is read."""
    upstream, client = _make()
    client.cold_ms = b'1500'
    upstream.on_zone_taken_back()
    asyncio.run(upstream._probe(clock.now()))
    assert upstream.cold.rate.remaining_s(clock.now()) == 1.5


@pytest.mark.parametrize('value', [None, b'', b'soon', b'-3', b'nan'])
def test_unreadable_cold_time_ends_no_doubt(
    time: _Time, value: bytes | None
) -> None:
    """Guards against a malformed header that counts as warm."""
    upstream, client = _make()
    client.cold_ms = value
    upstream.on_zone_taken_back()
    asyncio.run(upstream._probe(clock.now()))
    assert _is_cold(upstream)


def test_new_process_counts_by_its_own_report(time: _Time) -> None:
    """Guards against the cold time of a process that has ended."""
    upstream, _ = _make()
    _announce(upstream, cold_ms=60_000)
    _announce(upstream, incarnation=6)
    assert not _is_cold(upstream)


def test_without_a_limit_nothing_counts_as_cold(time: _Time) -> None:
    """Guards against probes and doubts where no limit is configured."""
    upstream, _ = _make(per_s=0.0)
    upstream.on_zone_taken_back()
    assert not _is_cold(upstream)
    assert not upstream.probe_wanted.is_set()


def test_late_iteration_of_the_loop_adds_no_requests(
    time: _Time, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests counted at the begin of a long iteration.

    The cached time lags behind by the iteration. A node that starts beside a
    cold upstream has long ones, and requests that were written at their end
    would leave the window too early.
    """
    upstream, _ = _make()
    _announce(upstream, cold_ms=60_000)
    limit = upstream.cold
    cached_at = time.now
    monkeypatch.setattr(clock, 'recent', lambda: cached_at)
    time.now += 0.4
    for _ in range(limit.rate.max_in_window()):
        limit.check_write()
    monkeypatch.setattr(clock, 'recent', time)
    time.now = cached_at + 1.1
    with pytest.raises(errors.RequestError):
        limit.check_write()
    time.now = cached_at + 1.5
    limit.check_write()
