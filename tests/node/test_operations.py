"""R7: a non-idempotent operation runs at most once."""

import asyncio
import collections

import pathlib
import typing
import uuid

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.node.sessions import control_session
from loadtool import http_client
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [
        {
            'name': 'pay',
            'path_prefix': '/pay',
            'service': 'siop',
            'attempts': 4,
            'priority': 'payment',
        }
    ],
)
_KEY = 'key-dyffryn'
_ONE_NODE = {'siop-1': 'siop'}
_TWO_NODES = {'siop-1': 'siop', 'siop-2': 'siop'}


def _operation_id(ahead_ms: int = 0) -> str:
    """Return a UUIDv7 with the current time, shifted by ahead_ms."""
    stamp = clock.wall_ms() + ahead_ms
    value = (stamp << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    return str(uuid.UUID(int=value))


async def _pay(
    node: fakes.NodeHarness,
    operation: str,
    body: bytes = b'7',
    deadline_ms: int = 5000,
    send: str = '',
) -> http_client.Response:
    headers = {'godwitstall-deadline-ms': str(deadline_ms), 'x-send': send}
    if operation:
        headers['godwitstall-operation'] = operation
    return await node.call('/pay', _KEY, 'POST', body, headers)


def _error_and_outcome(answer: http_client.Response) -> tuple[str, str]:
    return (
        answer.headers.get('godwitstall-error', 'none'),
        answer.headers['godwitstall-outcome'],
    )


def _run_count(*nodes: fakes.NodeHarness) -> int:
    return sum(len(node.upstream.runs) for node in nodes)


def _command_names(
    control: fakes.FakeControl, *types: type[messages.Message]
) -> list[str]:
    """Return the names of applied commands of the given types, in order."""
    return [
        type(command).__name__
        for command in control.commands
        if isinstance(command, types)
    ]


_OPERATION_COMMANDS: tuple[typing.Any, ...] = (
    messages.Claim,
    messages.Complete,
    messages.Release,
)


def test_claim_comes_before_the_dispatch(tmp_path: pathlib.Path) -> None:
    """Guards against a run without a claim."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE_NODE) as (
            control,
            [node],
        ):
            commands_before_run: list[list[str]] = []

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                commands_before_run.append(
                    _command_names(control, *_OPERATION_COMMANDS)
                )
                await fakes.echo(request, writer)

            node.upstream.respond = respond
            operation = _operation_id()
            answer = await _pay(node, operation)
            assert (answer.status, answer.body) == (200, b'/pay|7')
            assert commands_before_run == [['Claim']]
            assert _command_names(control, *_OPERATION_COMMANDS) == [
                'Claim',
                'Complete',
            ]
            sent = node.upstream.runs[0].headers['godwitstall-operation']
            assert sent == operation
            # A request without an operation id is dispatched once and has no
            # record.
            node.upstream.respond = fakes.sends(is_closing=True)
            lost = await _pay(node, '')
            assert _error_and_outcome(lost) == ('upstream_lost', 'unknown')
            assert _run_count(node) == 2
            assert len(_command_names(control, *_OPERATION_COMMANDS)) == 2

    asyncio.run(run())


_LARGE_BODY = b'x' * 9000

# Name, response of the upstream, and the error kind and outcome that the first
# send and each resend get.
_RESEND_CASES: list[
    tuple[str, fakes.Responder, tuple[str, str], tuple[str, str]]
] = [
    ('done', fakes.echo, ('none', 'run'), ('none', 'run')),
    (
        'larger than a record',
        fakes.sends(fakes.response(_LARGE_BODY)),
        ('none', 'run'),
        ('operation_run', 'run'),
    ),
    (
        'lost answer',
        fakes.sends(is_closing=True),
        ('upstream_lost', 'unknown'),
        ('operation_unknown', 'unknown'),
    ),
    (
        'cut answer',
        fakes.sends(b'HTTP/1.1 200 X\r\ncontent-le', is_closing=True),
        ('answer_cut', 'unknown'),
        ('operation_unknown', 'unknown'),
    ),
    (
        'timeout',
        fakes.no_answer,
        ('upstream_timeout', 'unknown'),
        ('operation_unknown', 'unknown'),
    ),
]


def test_resends(tmp_path: pathlib.Path) -> None:
    """Guards against a second run by a resend after any kind of response."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO_NODES) as (
            control,
            nodes,
        ):
            for name, respond, first_result, resend_result in _RESEND_CASES:
                for node in nodes:
                    node.upstream.respond = respond
                    node.upstream.runs.clear()
                operation = _operation_id()
                first = await _pay(nodes[0], operation, deadline_ms=600)
                assert _error_and_outcome(first) == first_result, name
                records = control.machine.operations
                await fakes.until(
                    lambda: (
                        records.lookup(operation)[0].state  # noqa: B023
                        is not messages.OperationState.CLAIMED
                    ),
                    'outcome recorded',
                )
                for node in nodes:
                    node.upstream.respond = fakes.echo
                for node in (nodes[1], nodes[0]):
                    resent = await _pay(node, operation)
                    assert _error_and_outcome(resent) == resend_result, (
                        name,
                        resent,
                    )
                    if resend_result[0] == 'none':
                        assert resent.body == first.body
                        assert resent.headers['godwitstall-replayed'] == '1'
                    else:
                        assert resent.status == 409, name
                other = await _pay(nodes[1], operation, b'8')
                assert _error_and_outcome(other) == (
                    'operation_mismatch',
                    'not-run',
                )
                assert other.status == 422
                assert _run_count(*nodes) == 1, name

    asyncio.run(run())


def test_invalid_operation_ids(tmp_path: pathlib.Path) -> None:
    """Guards against a run with an id whose record may have expired."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE_NODE) as (_, [node]):
            cases = [
                (str(uuid.uuid4()), 400, 'operation_invalid'),
                ('seven', 400, 'operation_invalid'),
                (_operation_id(10 * 60_000), 400, 'operation_invalid'),
                (_operation_id(-25 * 3_600_000), 409, 'operation_expired'),
            ]
            for operation, status, kind in cases:
                answer = await _pay(node, operation)
                assert answer.status == status
                assert _error_and_outcome(answer) == (kind, 'not-run')
            assert not _run_count(node)

    asyncio.run(run())


def test_resend_while_the_first_runs(tmp_path: pathlib.Path) -> None:
    """Guards against a second run during the first or after owner loss."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO_NODES) as (
            control,
            nodes,
        ):
            for node in nodes:
                node.upstream.respond = fakes.no_answer
            operation = _operation_id()
            first = asyncio.create_task(_pay(nodes[0], operation))
            await fakes.until(lambda: _run_count(*nodes), 'operation running')
            for node in nodes:
                resent = await _pay(node, operation)
                assert _error_and_outcome(resent) == (
                    'operation_running',
                    'unknown',
                )
                assert int(resent.headers['retry-after']) >= 1
            owner = nodes[0] if nodes[0].upstream.runs else nodes[1]
            other = nodes[1] if owner is nodes[0] else nodes[0]
            # Control expires the owner while the call runs.
            beat = messages.NodeBeat(
                owner.options.node_id, owner.node.session.incarnation
            )
            owner.node.membership.is_leaving = True
            control.apply(messages.Expire([beat]))
            resent = await _pay(other, operation)
            assert _error_and_outcome(resent) == (
                'operation_unknown',
                'unknown',
            )
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            assert _run_count(*nodes) == 1

    asyncio.run(run())


def test_resend_after_a_hang_up(tmp_path: pathlib.Path) -> None:
    """Guards against a second run after the first caller has disconnected."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO_NODES) as (
            control,
            nodes,
        ):
            # Calls enter through both nodes, so that the owner is the entry
            # node in some cases and the other node in the rest.
            for count, entry in enumerate([*nodes, *nodes], 1):
                for node in nodes:
                    node.upstream.respond = fakes.no_answer
                operation = _operation_id()
                first = asyncio.create_task(_pay(entry, operation))
                await fakes.until_equal(lambda: _run_count(*nodes), count)
                first.cancel()
                await fakes.until(
                    lambda: not any(n.node.owner.active for n in nodes),
                    'run cancelled',
                )
                for node in nodes:
                    await node.node.claimer.drain(fakes.WAIT_S)
                    node.upstream.respond = fakes.echo
                for node in nodes:
                    resent = await _pay(node, operation)
                    assert _error_and_outcome(resent) == (
                        'operation_unknown',
                        'unknown',
                    )
                assert _run_count(*nodes) == count
            assert not _command_names(control, messages.Release)

    asyncio.run(run())


def test_lost_replies_of_control(tmp_path: pathlib.Path) -> None:
    """Guards against a run whose claim got no reply."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO_NODES) as (
            control,
            nodes,
        ):
            operation = _operation_id()
            control.is_dropping_replies = True
            answer = await _pay(nodes[0], operation, deadline_ms=400)
            assert _error_and_outcome(answer) == ('control_lost', 'not-run')
            assert not _run_count(*nodes)
            control.is_dropping_replies = False
            # After the release a resend can claim the operation.
            await fakes.until(
                lambda: 'Release' in _command_names(control, messages.Release),
                'claim released',
            )
            resent = await _pay(nodes[1], operation)
            assert _error_and_outcome(resent) == ('none', 'run')
            assert _run_count(*nodes) == 1

    asyncio.run(run())


def test_control_that_ignores_commands(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run whose claim is applied after its timeout."""
    monkeypatch.setattr(control_session, '_PROPOSE_ATTEMPT_TIMEOUT_S', 0.3)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO_NODES) as (
            control,
            nodes,
        ):
            operation = _operation_id()
            control.is_ignoring_commands = True
            answer = await _pay(nodes[0], operation, deadline_ms=400)
            assert _error_and_outcome(answer) == ('control_lost', 'not-run')
            assert int(answer.headers['retry-after']) >= 1
            claims = [
                command
                for command in control.ignored_commands
                if isinstance(command, messages.Claim)
            ]
            assert claims
            control.is_ignoring_commands = False
            await fakes.until(
                lambda: 'Release' in _command_names(control, messages.Release),
                'claim released',
            )
            # Each claim is applied late, twice, and after the release.
            for claim in claims * 2:
                control.apply(claim)
            assert not _run_count(*nodes)
            resent = await _pay(nodes[1], operation)
            assert _error_and_outcome(resent) == ('none', 'run')
            for claim in claims:
                control.apply(claim)
            assert _run_count(*nodes) == 1

    asyncio.run(run())


def test_claim_is_refused_long_before_the_deadline(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal that is delayed until the deadline (R12)."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE_NODE) as (
            control,
            [node],
        ):
            waits: list[float] = []
            propose = node.node.session.propose

            async def propose_and_record(
                command: messages.Message, timeout_s: float
            ) -> messages.Message:
                if isinstance(command, messages.Claim):
                    waits.append(timeout_s)
                return await propose(command, timeout_s)

            monkeypatch.setattr(
                node.node.session, 'propose', propose_and_record
            )
            for deadline_ms in (400, 10_000):
                await _pay(node, _operation_id(), deadline_ms=deadline_ms)
            assert waits[0] <= 0.2
            assert waits[1] <= 2.0

    asyncio.run(run())


def test_retry_after_a_proved_not_run(tmp_path: pathlib.Path) -> None:
    """Guards against a retry that conflicts with its own first claim."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _TWO_NODES, retry_min_per_s=100.0
        ) as (control, nodes):
            shedding_nodes: list[str] = []

            def responder(node: fakes.NodeHarness) -> fakes.Responder:
                async def respond(
                    request: fakes.ReceivedRequest,
                    writer: asyncio.StreamWriter,
                ) -> None:
                    if not shedding_nodes:
                        shedding_nodes.append(node.options.node_id)
                        writer.write(fakes.SHED)
                        return
                    await fakes.echo(request, writer)

                return respond

            for node in nodes:
                node.upstream.respond = responder(node)
            answer = await _pay(nodes[0], _operation_id())
            assert _error_and_outcome(answer) == ('none', 'run')
            assert _command_names(control, *_OPERATION_COMMANDS) == [
                'Claim',
                'Release',
                'Claim',
                'Complete',
            ]
            # The retry runs at the other owner; a shed request is no run.
            assert [len(node.upstream.runs) for node in nodes] == [1, 1]

    asyncio.run(run())


@pytest.mark.parametrize('change', ['key withdrawn', 'draining'])
def test_change_while_claiming(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    """Guards against a run that is forbidden by a change during the claim."""
    monkeypatch.setattr(control_session, '_PROPOSE_ATTEMPT_TIMEOUT_S', 0.3)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE_NODE) as (
            control,
            [node],
        ):
            control.is_ignoring_commands = True
            task = asyncio.create_task(_pay(node, _operation_id()))
            await fakes.until(lambda: control.ignored_commands, 'claim sent')
            if change == 'draining':
                node.stop_announcing()
                await node.announce(state='draining')
            else:
                control.apply_note(
                    'number = 2\n[withdrawn]\nkeys = ["dyffryn-1"]\n'
                )
            control.is_ignoring_commands = False
            answer = await task
            assert answer.headers['godwitstall-outcome'] == 'not-run'
            assert not _run_count(node)
            assert 'Release' in _command_names(control, messages.Release)

    asyncio.run(run())


_RESPONDERS: dict[str, fakes.Responder] = {
    'echo': fakes.echo,
    'lost': fakes.sends(is_closing=True),
    'silent': fakes.no_answer,
    'shed': fakes.sends(fakes.SHED),
    'big': fakes.sends(fakes.response(_LARGE_BODY)),
}


class _Operations(stateful.RuleBasedStateMachine):
    """Resends of some operations while replies, nodes and links are lost."""

    folder: pathlib.Path
    runner: asyncio.Runner
    control: fakes.FakeControl
    nodes: list[fakes.NodeHarness]

    def __init__(self) -> None:
        super().__init__()
        self.operation_ids = [_operation_id() for _ in range(3)]
        # Runs by operation id; a shed request is no run.
        self.runs: collections.Counter[str] = collections.Counter()
        # Runs by send; the x-send header identifies the send.
        self.runs_by_send: collections.Counter[str] = collections.Counter()
        self.tasks: list[tuple[str, asyncio.Task[http_client.Response]]] = []
        self.responder_name = 'echo'
        for node in self.nodes:
            node.upstream.respond = self._respond

    async def _respond(
        self, request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.responder_name != 'shed':
            self.runs[request.headers['godwitstall-operation']] += 1
            self.runs_by_send[request.headers['x-send']] += 1
        await _RESPONDERS[self.responder_name](request, writer)

    @stateful.rule(
        operation_index=strategies.integers(0, 2),
        node_index=strategies.integers(0, 1),
        deadline_ms=strategies.sampled_from((30, 150)),
        is_waiting=strategies.booleans(),
    )
    def send(
        self,
        operation_index: int,
        node_index: int,
        deadline_ms: int,
        is_waiting: bool,
    ) -> None:
        """Send or resend an operation through one of the nodes."""
        operation = self.operation_ids[operation_index]

        async def start() -> None:
            task = asyncio.create_task(
                _pay(
                    self.nodes[node_index],
                    operation,
                    deadline_ms=deadline_ms,
                    send=str(len(self.tasks)),
                )
            )
            self.tasks.append((operation, task))
            if is_waiting:
                await asyncio.wait({task})
            else:
                await asyncio.sleep(0.01)

        self.runner.run(start())

    @stateful.rule(responder_name=strategies.sampled_from(sorted(_RESPONDERS)))
    def change_responder(self, responder_name: str) -> None:
        """Change the responses of the upstreams."""
        self.responder_name = responder_name

    @stateful.rule(
        is_dropping_replies=strategies.booleans(),
        is_ignoring_commands=strategies.booleans(),
    )
    def change_control(
        self, is_dropping_replies: bool, is_ignoring_commands: bool
    ) -> None:
        """Set whether control drops replies and ignores commands."""
        self.control.is_dropping_replies = is_dropping_replies
        self.control.is_ignoring_commands = is_ignoring_commands

    @stateful.rule()
    def deliver_late(self) -> None:
        """Apply the ignored commands late and out of order."""

        async def deliver() -> None:
            for command in reversed(self.control.ignored_commands):
                if isinstance(command, _OPERATION_COMMANDS):
                    self.control.apply(command)
            self.control.ignored_commands.clear()

        self.runner.run(deliver())

    @stateful.rule(node_index=strategies.integers(0, 1))
    def lose_node(self, node_index: int) -> None:
        """Expire a node at control, after which the node joins again."""
        node = self.nodes[node_index]

        async def lose() -> None:
            beat = messages.NodeBeat(
                node.options.node_id, node.node.session.incarnation
            )
            self.control.apply(messages.Expire([beat]))

        self.runner.run(lose())

    @stateful.rule(node_index=strategies.integers(0, 1))
    def cut_links(self, node_index: int) -> None:
        """Break the links between the nodes."""

        async def cut() -> None:
            for link in list(self.nodes[node_index].node.peer_server.links):
                link.writer.transport.abort()

        self.runner.run(cut())

    @stateful.rule(distance_from_end=strategies.integers(1, 3))
    def hang_up(self, distance_from_end: int) -> None:
        """Disconnect the caller of one of the last sends."""
        if distance_from_end <= len(self.tasks):

            async def cancel() -> None:
                self.tasks[-distance_from_end][1].cancel()
                # The node notices the disconnect before the next step.
                await asyncio.sleep(0.03)

            self.runner.run(cancel())

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """Check that no operation runs twice."""
        assert not [n for n in self.runs.values() if n > 1], self.runs

    def teardown(self) -> None:
        """Check the outcomes against the runs and clean up."""

        async def finish() -> None:
            self.control.is_dropping_replies = (
                self.control.is_ignoring_commands
            ) = False
            answers = await asyncio.gather(
                *(task for _, task in self.tasks), return_exceptions=True
            )
            self.control.ignored_commands.clear()
            for send, answer in enumerate(answers):
                if isinstance(answer, asyncio.CancelledError):
                    continue
                assert isinstance(answer, http_client.Response), answer
                outcome = answer.headers['godwitstall-outcome']
                if outcome == 'run':
                    assert self.runs[self.tasks[send][0]] == 1, answer
                elif outcome == 'not-run':
                    assert not self.runs_by_send[str(send)], answer
            for node in self.nodes:
                await fakes.until(
                    lambda node=node: (
                        not (  # type: ignore
                            node.node.owner.slots.running
                            or node.node.owner.active
                        )
                    ),
                    'no call left',
                )

        self.runner.run(finish())
        assert not [n for n in self.runs.values() if n > 1], self.runs


def test_operations_run_at_most_once(tmp_path: pathlib.Path) -> None:
    """Guards against a second run for any order of losses and resends."""
    with asyncio.Runner() as runner:
        fleet = fakes.running(
            tmp_path, _NOTE, _TWO_NODES, retry_min_per_s=1000.0
        )
        control, nodes = runner.run(fleet.__aenter__())

        class Operations(_Operations):
            pass

        Operations.runner = runner
        Operations.control = control
        Operations.nodes = nodes
        try:
            stateful.run_state_machine_as_test(
                Operations,
                settings=hypothesis.settings(
                    hypothesis.settings(), stateful_step_count=12
                ),
            )
        finally:
            runner.run(fleet.__aexit__(None, None, None))
