"""Tracks the state of the node's own upstream and decides when it gets work.

An upstream is up while it announces itself. Its health endpoint may report a
wrong state, so the node also observes its own calls: an upstream that answers
none of them for some seconds is stalled and gets no new calls. The stall ends
when a call is answered, or when a probe is answered after a pause and no call
is pending. The load then increases gradually. Each further stall doubles the
pause until a call is answered.
"""

import asyncio
import collections.abc
import contextlib
import math
import typing

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import concurrency
from godwitstall.limits import upstream_rate
from godwitstall.limits import warmup
from godwitstall import link as link_module
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.requests import context
from godwitstall.node.upstreams import announcements
from godwitstall.node.upstreams import cold_limit
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client
from godwitstall.node.upstreams import upstream_status
from godwitstall import settings

_LOG = logs.get('upstream')
_STATE_CHANGES = metrics.counter(
    'upstream_state_changes_total', 'State changes of the upstream.'
)
_RATE_LIMIT = metrics.gauge(
    'upstream_rate_limit_per_s',
    'Requests per second that the upstream accepts; 0 without a limit.',
)
_OVER_RATE_LIMIT = metrics.counter(
    'upstream_over_rate_limit_total',
    'Requests sent to the upstream beyond the rate that it accepts.',
)
_LEAVING_ANSWERS = metrics.counter(
    'upstream_leaving_answers_total',
    'Answers in which the upstream says that it is about to exit.',
)

# Time without an answer to any call after which the upstream is stalled.
STALL_TIMEOUT_S = 3.0

# Pause before probes of a stalled upstream, seconds. It doubles with each
# stall until a call is answered.
STALL_PAUSE_MIN_S = 1.0
STALL_PAUSE_MAX_S = 60.0

_PROBE_TIMEOUT_S = 1.0

# Shortest interval between two probes, seconds.
_MIN_PROBE_INTERVAL_S = 0.2

# Shortest interval between two log lines about an exceeded rate, seconds.
_RATE_LOG_INTERVAL_S = 1.0

OnChange = collections.abc.Callable[[], None]


class Upstream:
    """The node's own upstream."""

    def __init__(
        self,
        options: settings.NodeOptions,
        contexts: context.Contexts,
        on_change: OnChange,
        framing: upstream_answer.Framing | None = None,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.framing = framing
        # Bounds what the process holds; None selects one for answers alone.
        self.budget = budget
        self.options = options
        self.contexts = contexts
        # Called after each change of state or slots.
        self.on_change = on_change
        self.state = messages.UpstreamState.DOWN
        # Whether the current process has been drained; it gets no calls again.
        self.has_drained = False
        self.announcement: announcements.Announcement | None = None
        # Time of the last announcement, seconds.
        self.announced_at = 0.0
        self.client: upstream_client.UpstreamClient | None = None
        self.limit = concurrency.ConcurrencyLimit.from_config(
            options.limit_policy, 1
        )
        self.warmup = warmup.WarmUp(0.0, 0.0)
        # Time of the last complete answer to a call or a probe, seconds.
        self.answered_at = 0.0
        self.is_stalled = False
        # End of the pause after a stall, seconds.
        self.paused_until = 0.0
        # Duration of the next pause, seconds.
        self.stall_pause_s = STALL_PAUSE_MIN_S
        # Limit on slots from the configuration; 0 means none.
        self.max_slots = 0
        self.rate = upstream_rate.UpstreamRate()
        # Time of the last log line about an exceeded rate, seconds.
        self.rate_logged_at = -math.inf
        # Whether an answer of the current process said that it leaves.
        self.is_leaving = False
        self.cold = cold_limit.ColdLimit(options, self._description)
        # Set when a probe should not wait for its interval.
        self.probe_wanted = asyncio.Event()
        # Names of the headers in which answers describe the upstream.
        self.status_names = upstream_status.DEFAULT_NAMES

    @property
    def incarnation(self) -> int:
        """Incarnation of the upstream process, 0 if there is none."""
        return self.announcement.incarnation if self.announcement else 0

    @property
    def instance_id(self) -> str:
        """Id of the upstream process, empty if it has none."""
        return self.announcement.instance_id if self.announcement else ''

    @property
    def slots(self) -> int:
        """Maximum number of requests that the upstream runs at once."""
        announced = self.announcement.slots if self.announcement else 0
        if self.max_slots:
            return min(announced, self.max_slots)
        return announced

    def is_ready(self) -> bool:
        """Return whether the upstream is ready for new calls."""
        return (
            self.state is messages.UpstreamState.READY
            and self.client is not None
        )

    def is_silent(self, now: float) -> bool:
        """Return whether the upstream has not announced itself for too long.

        Also true before the first announcement.
        """
        return now - self.announced_at > self.options.announce_timeout_s

    def capacity(self, now: float) -> int:
        """Return how many requests may run at once at this time."""
        share = self.warmup.share(now)
        share *= self.options.slot_share
        return max(1, int(self.limit.limit * share))

    def on_announcement(
        self, announcement: announcements.Announcement, now: float
    ) -> None:
        """Process an announcement; a new incarnation resets the state.

        Errors: RequestError of kind BAD_REQUEST for an incarnation that is
        older than the current one, unless the current one is silent. One odd
        announcement would otherwise shut out the upstream for good.
        """
        if announcement.incarnation < self.incarnation and (
            not self.is_silent(now)
        ):
            raise errors.RequestError(
                errors.ErrorKind.BAD_REQUEST,
                f'incarnation: {announcement.incarnation} is older than '
                f'{self.incarnation}, which is already announced.',
            )
        is_new_incarnation = announcement.incarnation != self.incarnation
        previous_slots = self.slots
        self.announcement = announcement
        self.announced_at = now
        if is_new_incarnation:
            self._start_incarnation(announcement, now)
            self.cold.on_start(announcement.cold_ms, now)
        else:
            self.cold.on_announcement(announcement.cold_ms, now)
        if not is_new_incarnation and self.slots != previous_slots:
            self.limit.set_max_slots(self.slots)
            self.on_change()
        if announcement.state == 'draining' or self.has_drained:
            self.set_state(messages.UpstreamState.DRAINING)
        else:
            self.set_state(messages.UpstreamState.READY)

    def _start_incarnation(
        self, announcement: announcements.Announcement, now: float
    ) -> None:
        _LOG.info(
            'Upstream %s announced incarnation %d with %d slots.',
            announcement.service,
            announcement.incarnation,
            announcement.slots,
        )
        if self.client is not None:
            self.client.close()
        host, _ = link_module.split_address(self.options.upstream_address)
        self.client = upstream_client.UpstreamClient(
            host,
            announcement.port,
            self.options.max_connections or announcement.connections,
            self.options.max_answer_bytes,
            self.framing,
            self.budget,
        )
        self.limit = concurrency.ConcurrencyLimit.from_config(
            self.options.limit_policy, self.slots
        )
        self.warmup = warmup.WarmUp(self.options.warmup_s, now)
        self.answered_at = now
        self.is_stalled = False
        self.has_drained = False
        self.is_leaving = False
        self.rate = upstream_rate.UpstreamRate()
        _RATE_LIMIT.set(0.0)
        self.state = messages.UpstreamState.DOWN

    def set_state(self, state: messages.UpstreamState) -> None:
        """Change the state and notify on_change."""
        if state is messages.UpstreamState.DRAINING:
            self.has_drained = True
        if state is self.state:
            return
        _LOG.info('Upstream is %s.', state.name.lower())
        _STATE_CHANGES.inc(state=state.name.lower())
        self.state = state
        self.on_change()

    def set_max_slots(self, max_slots: int) -> None:
        """Apply the limit on slots from the configuration; 0 means none."""
        if max_slots == self.max_slots:
            return
        self.max_slots = max_slots
        if self.slots:
            self.limit.set_max_slots(self.slots)

    def mark_down(self, incarnation: int) -> None:
        """Mark a process that exited as down until the next announcement."""
        if incarnation == self.incarnation:
            self.doubt_warmth('refused')
            self.set_state(messages.UpstreamState.DOWN)

    def doubt_warmth(self, reason: str) -> None:
        """Treat the upstream as cold until a newer report; ask for one."""
        self.cold.on_doubt(reason, clock.recent())
        if self.cold.needs_report():
            self.probe_wanted.set()

    def on_zone_taken_back(self) -> None:
        """Process that the upstream's zone is used again.

        Without requests it may have become cold unnoticed.
        """
        self.doubt_warmth('taken_back')

    def on_lost_connection(
        self, client: upstream_client.UpstreamClient, incarnation: int
    ) -> None:
        """Process the loss of a connection with a request.

        All connections end with their process, so an open one shows that the
        process goes on.
        """
        if incarnation != self.incarnation or client.has_open_connection():
            return
        self.doubt_warmth('lost')

    def on_answer(self, now: float) -> None:
        """Record that the upstream answered a call."""
        self.answered_at = now
        self.stall_pause_s = STALL_PAUSE_MIN_S
        if self.is_stalled:
            self._end_stall(now)

    def on_status(
        self,
        status: upstream_status.UpstreamStatus,
        incarnation: int,
        answered_at: float,
    ) -> None:
        """Process what an answer says about the process that sent it."""
        if incarnation != self.incarnation:
            return
        previous_limit = self.rate.limit
        self.rate.on_answer(status.rate_limit, answered_at, clock.recent())
        self._on_rate_limit_change(previous_limit)
        if status.is_leaving:
            _LEAVING_ANSWERS.inc()
            if not self.is_leaving:
                self.is_leaving = True
                self._log_status('leaving')
            self.set_state(messages.UpstreamState.DRAINING)

    def adopt_rate_limit(self, limit: float, incarnation: int) -> None:
        """Adopt a limit that this process named to another node."""
        if incarnation != self.incarnation:
            return
        previous_limit = self.rate.limit
        self.rate.adopt(limit, clock.recent())
        self._on_rate_limit_change(previous_limit)

    def _on_rate_limit_change(self, previous_limit: float) -> None:
        if self.rate.limit == previous_limit:
            return
        is_limited = self.rate.is_limited()
        _RATE_LIMIT.set(self.rate.limit if is_limited else 0.0)
        if not is_limited:
            self._log_status('rate_limit_ended', limit=previous_limit)
        elif math.isinf(previous_limit):
            self._log_status('rate_limited', limit=self.rate.limit)

    def on_send(self, now: float) -> None:
        """Count a request that is sent to the upstream."""
        self.rate.on_send(now)
        if not self.rate.is_exceeded():
            return
        _OVER_RATE_LIMIT.inc()
        if now - self.rate_logged_at < _RATE_LOG_INTERVAL_S:
            return
        self.rate_logged_at = now
        self._log_status(
            'rate_exceeded',
            limit=self.rate.limit,
            limited_for_ms=round((now - self.rate.limited_since) * 1000),
            sent=self.rate.sent_in_window(),
            window_s=upstream_rate.WINDOW_S,
        )

    def _log_status(self, event: str, **fields: object) -> None:
        decisions.write('upstream', event, **self._description(), **fields)

    def _description(self) -> dict[str, object]:
        """Return the fields that name the upstream in log lines."""
        return {
            'service': self.options.service,
            'instance': self.instance_id,
            'incarnation': self.incarnation,
            'state': self.state.name.lower(),
        }

    def _end_stall(self, now: float) -> None:
        _LOG.info('Upstream is no longer stalled and gets new calls.')
        self.is_stalled = False
        self.answered_at = now
        # The upstream may still have a backlog, so the load increases
        # gradually.
        self.warmup = warmup.WarmUp(self.options.warmup_s, now)
        self.on_change()

    def _start_stall(self, now: float) -> None:
        self.is_stalled = True
        self.paused_until = now + self.stall_pause_s
        self.stall_pause_s = min(STALL_PAUSE_MAX_S, self.stall_pause_s * 2)
        self.on_change()

    def may_dispatch(self, running: int, now: float) -> bool:
        """Return whether another request may be dispatched now."""
        if not self.is_ready() or self.is_stalled:
            return False
        return running < self.capacity(now) and self.has_token(now)

    def has_token(self, now: float) -> bool:
        """Return whether the limits on the rate allow another request."""
        return self.rate.may_send(now) and self.cold.rate.may_send(now)

    def take_token(self, now: float) -> None:
        """Take the tokens of a request that will be sent."""
        self.rate.take(now)
        self.cold.rate.take(now)

    def max_queued(self, now: float) -> int:
        """Return the length of the queue; a limited rate shortens it."""
        lengths = (
            self.options.max_queue,
            self.rate.max_queued(),
            self.cold.rate.max_queued(now),
        )
        return min(length for length in lengths if length is not None)

    def load_limit(self, now: float) -> int:
        """Return the number of requests at once for load reports."""
        if not self.is_ready() or self.is_stalled:
            return 0
        bounds = (
            self.capacity(now),
            self.rate.concurrency(),
            self.cold.rate.concurrency(self.rate.mean_duration_s, now),
        )
        return min(bound for bound in bounds if bound is not None)

    def accepted_rate(self, now: float) -> float | None:
        """Return the requests per second that the upstream accepts.

        Infinite without a limit, None if that is not known.
        """
        limit = self.rate.limit if self.rate.is_known() else None
        if not self.cold.rate.is_cold(now):
            return limit
        cold_per_s = self.cold.rate.rate_per_s()
        return cold_per_s if limit is None else min(limit, cold_per_s)

    async def run(self) -> None:
        """Check for missing announcements and stalls until cancelled."""
        while True:
            await self._wait_for_probe()
            now = clock.now()
            if (
                self.state is not messages.UpstreamState.DOWN
                and self.is_silent(now)
            ):
                _LOG.warning(
                    'Upstream has sent no announcement for %.1f s.',
                    now - self.announced_at,
                )
                self.doubt_warmth('silent')
                self.set_state(messages.UpstreamState.DOWN)
            self._check_stall(now)
            await self._probe(now)

    async def _wait_for_probe(self) -> None:
        """Wait for the interval between probes, or until one is wanted."""
        interval_s = self.options.probe_interval_s
        self.probe_wanted.clear()
        await asyncio.sleep(min(_MIN_PROBE_INTERVAL_S, interval_s))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s - _MIN_PROBE_INTERVAL_S):
                await self.probe_wanted.wait()

    def _check_stall(self, now: float) -> None:
        oldest = self.contexts.oldest_pending_since()
        if self.is_stalled or oldest is None:
            return
        if (
            now - oldest > STALL_TIMEOUT_S
            and now - self.answered_at > STALL_TIMEOUT_S
        ):
            _LOG.warning('Upstream is stalled and gets no new calls.')
            self._start_stall(now)

    async def _probe(self, now: float) -> None:
        """Probe the health endpoint if no call was answered recently.

        Only a missing answer counts: the status of a health endpoint may be
        wrong, but an upstream whose endpoint does not answer does not work.
        """
        if not self.is_ready() or self.client is None:
            return
        if self.announcement is None or now < self.paused_until:
            return
        if now - self.answered_at < self.options.probe_interval_s and (
            not self.cold.needs_report()
        ):
            return
        incarnation = self.incarnation
        try:
            answer = await self.client.send(
                'GET',
                self.announcement.health_path,
                b'',
                b'',
                now + _PROBE_TIMEOUT_S,
            )
        except errors.RequestError as e:
            if await self.client.is_refused(_PROBE_TIMEOUT_S):
                _LOG.warning('Upstream refuses connections: %s', e)
                self.mark_down(incarnation)
            elif not self.is_stalled and (
                clock.now() - self.answered_at > STALL_TIMEOUT_S
            ):
                _LOG.warning('Upstream does not answer the probe.')
                self._start_stall(clock.now())
            return
        cold_ms = upstream_status.parse_cold_ms(self.status_names, answer)
        if cold_ms is not None and incarnation == self.incarnation:
            self.cold.on_health_answer(cold_ms, now)
            self.on_change()
        if self.contexts.oldest_pending_since() is not None:
            # An answered probe does not show that the pending calls progress.
            return
        if self.is_stalled:
            self._end_stall(clock.now())
        self.answered_at = clock.now()

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        now = clock.now()
        return {
            'state': self.state.name.lower(),
            'incarnation': self.incarnation,
            'slots': self.slots,
            'limit': self.limit.limit,
            'capacity': self.capacity(now) if self.is_ready() else 0,
            'is_stalled': self.is_stalled,
            'is_leaving': self.is_leaving,
            'rate_limit': (
                self.rate.limit if self.rate.is_limited() else None
            ),
            'cold': self.cold.dump(),
            'announced_ago_s': round(now - self.announced_at, 3),
            'answered_ago_s': round(now - self.answered_at, 3),
            'connections_busy': len(self.client.busy) if self.client else 0,
            'connections_idle': len(self.client.idle) if self.client else 0,
        }


async def wait_for_exit(
    client: upstream_client.UpstreamClient,
    has_restarted: collections.abc.Callable[[], bool],
    timeout_s: float,
) -> bool:
    """Return whether a process that lost a connection has exited.

    It has exited if it refuses a connection or another incarnation announces
    itself within timeout_s.
    """
    end = clock.now() + timeout_s
    while clock.now() < end:
        if has_restarted() or await client.is_refused(0.5):
            return True
        await asyncio.sleep(0.1)
    return False
