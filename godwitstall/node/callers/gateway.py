"""Serves requests that are routed by host and path prefix.

The route follows from the Host header and the path, the workspace from a key,
and the deadline from a header. The gateway admits a request, chooses the
service by the weights of the route, and passes the call to the relay, which
sends it to an owner.
"""

import asyncio
import itertools
import json
import random
import typing

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node.callers import admission as admission_module
from godwitstall.node.callers import chain_admission as chains
from godwitstall.node import dialect as dialect_module
from godwitstall.node.peers import relay
from godwitstall.node.requests import context
from godwitstall.node.requests import digests
from godwitstall.node.requests import headers
from godwitstall.node.sessions import control_session
from godwitstall.routing import view as view_module
from godwitstall import settings

_LOG_PART = 'gateway'
_LOG = logs.get(_LOG_PART)
_REQUESTS = metrics.counter(
    'gateway_requests_total', 'Requests by route and error kind.'
)
_REQUEST_SECONDS = metrics.histogram(
    'gateway_request_seconds', 'Time to the answer by route and error kind.'
)

# Retry time of a request to a node without a configuration, milliseconds.
_NO_CONFIGURATION_RETRY_AFTER_MS = 500


_FIRST_SERVER_ERROR_STATUS = 500


class Gateway:
    """Serves callers and onward calls of the node's own upstream."""

    def __init__(
        self,
        options: settings.NodeOptions,
        dialect: dialect_module.Dialect,
        view: view_module.View,
        session: control_session.ControlSession,
        admission: admission_module.Admission,
        contexts: context.Contexts,
        sender: relay.Relay,
        chain_admission: chains.ChainAdmission,
    ) -> None:
        self.options = options
        self.dialect = dialect
        self.view = view
        self.session = session
        self.admission = admission
        self.contexts = contexts
        self.sender = sender
        self.chain_admission = chain_admission
        self.random = random.Random()
        # Headers that are not forwarded from a caller to an upstream.
        self.reserved_headers = frozenset(
            (
                dialect.key,
                dialect.workspace,
                dialect.caller_service,
                dialect.expected_instance,
                dialect.deadline_ms,
            )
        )

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Return the response to one request; errors are responses too."""
        route_name = ''
        decision_fields: dict[str, typing.Any] = {}
        try:
            route = self._match_route(request)
            route_name = route.name
            answer = await self._admit(request, route)
        except errors.RequestError as e:
            if isinstance(e, chains.ChainRefusedError):
                decision_fields = e.refusal.fields()
            answer = answers.of_error(e)
        except asyncio.CancelledError as e:
            self._log_cut(request, route_name, e)
            raise
        _REQUESTS.inc(route=route_name, kind=answer.kind.label)
        _REQUEST_SECONDS.observe(
            clock.recent() - request.received_at,
            route=route_name,
            kind=answer.kind.label,
        )
        self._log_request(request, route_name, answer, decision_fields)
        return self._build_response(answer)

    def respond_to_error(
        self, kind: errors.ErrorKind
    ) -> http_messages.Response:
        """Return the response to a request that is served by no handler."""
        return self._build_response(
            answers.of_error(self.admission.planned_stop.error(kind))
        )

    def _log_request(
        self,
        request: http_messages.Request,
        route_name: str,
        answer: messages.Answer,
        decision_fields: dict[str, typing.Any],
    ) -> None:
        """Log the result of a request and the state that it was based on."""
        is_routine = answer.kind is errors.ErrorKind.NONE and (
            answer.status < _FIRST_SERVER_ERROR_STATUS
        )
        if not decisions.may_write(is_routine):
            return
        write = decisions.write_routine if is_routine else decisions.write
        now = clock.recent()
        write(
            _LOG_PART,
            'served' if answer.kind is errors.ErrorKind.NONE else 'refused',
            request=request.header(self.dialect.attempt_id).decode('latin-1'),
            route=route_name,
            status=self.dialect.status_of(answer.kind)
            if answer.kind is not errors.ErrorKind.NONE
            else answer.status,
            kind=answer.kind.label,
            outcome=answer.outcome.label,
            detail=answer.detail,
            retry_after_ms=answer.retry_after_ms,
            took_ms=round((now - request.received_at) * 1000),
            configuration=self.view.number,
            state_index=self.view.index,
            lease_left_ms=round((self.session.lease_until - now) * 1000),
            **decision_fields,
        )

    def _log_cut(
        self,
        request: http_messages.Request,
        route_name: str,
        cancellation: asyncio.CancelledError,
    ) -> None:
        """Log a request that ends before it has an answer."""
        decisions.write(
            _LOG_PART,
            'cut',
            request=request.header(self.dialect.attempt_id).decode('latin-1'),
            route=route_name,
            reason=str(cancellation),
            client_deadline_ms=request.header(self.dialect.deadline_ms).decode(
                'latin-1'
            ),
            took_ms=round((clock.recent() - request.received_at) * 1000),
        )

    def _match_route(self, request: http_messages.Request) -> messages.Route:
        if self.view.index < 0 or not self.view.number:
            raise errors.RequestError(
                errors.ErrorKind.CONTROL_LOST,
                'The node has no configuration yet.',
                _NO_CONFIGURATION_RETRY_AFTER_MS,
            )
        host = request.header(b'host').decode('latin-1')
        path = request.target.partition('?')[0]
        route = self.view.hosts.match(host, path)
        if route is None:
            raise errors.RequestError(errors.ErrorKind.NO_ROUTE)
        return route

    async def _admit(
        self, request: http_messages.Request, route: messages.Route
    ) -> messages.Answer:
        key = self._find_key(request, route)
        workspace = self.view.workspaces.get(key.workspace) if key else None
        call, deadline = self._build_call(request, route, key, workspace)
        parent = self.contexts.find_parent(call.request_id)
        if parent is None:
            self.admission.check_memory()
        else:
            deadline = self.admission.onward_deadline(deadline, parent)
        self.admission.check(call, deadline)
        if workspace is not None and workspace.rate:
            await self.admission.take_token(call.workspace, deadline)
        if parent is None:
            call.admitted_share = self.chain_admission.admit(
                call, clock.recent()
            )
            return await self._send(call, route, deadline)
        call.is_onward = True
        call.workspace = parent.workspace
        call.order = parent.order
        call.priority = parent.priority
        call.admitted_share = parent.admitted_share
        return await self._send_onward(call, route, deadline, parent)

    async def _send_onward(
        self,
        call: messages.Call,
        route: messages.Route,
        deadline: float,
        parent: context.RequestContext,
    ) -> messages.Answer:
        parent.start_onward_call(clock.recent())
        parent.count_onward_leg(call.route_name, call.service)
        is_served = False
        try:
            answer = await self._send(call, route, deadline)
            is_served = answer.status < _FIRST_SERVER_ERROR_STATUS
        finally:
            parent.end_onward_call(clock.recent())
            parent.has_failed_onward_call |= not is_served
        return answer

    async def _send(
        self, call: messages.Call, route: messages.Route, deadline: float
    ) -> messages.Answer:
        return await self.sender.send(
            call,
            route,
            max(1, route.attempts),
            deadline,
            self.admission.has_valid_key,
        )

    def _find_key(
        self, request: http_messages.Request, route: messages.Route
    ) -> messages.Key | None:
        key = request.header(self.dialect.key)
        if not key:
            if route.is_open or not self.view.workspaces:
                return None
            raise errors.RequestError(errors.ErrorKind.KEY_MISSING)
        registered_key = self.view.key_by_digest(digests.of_key(key))
        if registered_key is None and not route.is_open:
            raise errors.RequestError(errors.ErrorKind.KEY_UNKNOWN)
        return registered_key

    def _build_call(
        self,
        request: http_messages.Request,
        route: messages.Route,
        key: messages.Key | None,
        workspace: messages.Workspace | None,
    ) -> tuple[messages.Call, float]:
        workspace_name = messages.WorkspaceName(
            workspace.name if workspace else ''
        )
        max_deadline_ms = route.timeout_ms or self.options.default_deadline_ms
        deadline_ms = min(
            max_deadline_ms, self._deadline_ms(request, max_deadline_ms)
        )
        call = messages.Call(
            service=self.view.hosts.choose_service(
                route, self.random.random()
            ),
            method=request.method,
            path=request.target,
            headers=self._build_header_block(request, workspace_name),
            body=request.body,
            workspace=workspace_name,
            key_id=key.key_id if key else messages.KeyId(''),
            route_name=route.name,
            priority=route.priority,
            order=max(workspace.rank, 0) if workspace else 0,
            deadline_ms=deadline_ms,
            is_idempotent=route.is_idempotent,
            fingerprint=digests.of_parts(
                workspace_name.encode(),
                request.method.encode(),
                request.target.encode('latin-1'),
                request.body,
            ),
            request_id=request.header(self.dialect.attempt_id),
            host=request.header(b'host'),
        )
        return call, request.received_at + deadline_ms / 1000

    def _deadline_ms(
        self, request: http_messages.Request, max_deadline_ms: int
    ) -> int:
        text = request.header(self.dialect.deadline_ms)
        if not text:
            return max_deadline_ms
        if not text.isdigit() or len(text) > 9:
            raise errors.RequestError(
                errors.ErrorKind.BAD_REQUEST,
                f'Header {self.dialect.deadline_ms.decode()} '
                'must be a number.',
            )
        return max(1, int(text))

    def _build_header_block(
        self, request: http_messages.Request, workspace: str
    ) -> bytes:
        """Return the headers for the upstream, which never include a key."""
        dialect = self.dialect
        relayed: typing.Iterable[tuple[bytes, bytes]] = (
            (name, value)
            for name, value in request.headers
            if name not in self.reserved_headers and headers.is_relayed(name)
        )
        added = [(dialect.caller_service, self.options.service.encode())]
        if workspace:
            added.append((dialect.workspace, workspace.encode()))
        return b''.join(
            name + b': ' + value + b'\r\n'
            for name, value in itertools.chain(relayed, added)
        )

    def _build_response(
        self, answer: messages.Answer
    ) -> http_messages.Response:
        if answer.kind is errors.ErrorKind.NONE:
            return http_messages.Response(
                answer.status, [], answer.body, encoded_headers=answer.headers
            )
        body = json.dumps(
            {
                'error': answer.kind.label,
                'outcome': answer.outcome.label,
                'detail': answer.detail,
            }
        ).encode()
        pairs = [(b'content-type', b'application/json')]
        status = self.dialect.status_of(answer.kind)
        if answer.retry_after_ms and status in (429, 503):
            seconds = b'%.3f' % (answer.retry_after_ms / 1000)
            pairs.append((self.dialect.retry_after, seconds))
        return http_messages.Response(status, pairs, body)


def priority_of_rank(rank: int) -> messages.Priority:
    """Return the priority of a rank; rank 0 has the highest priority."""
    return messages.Priority(min(max(rank, 0), messages.Priority.LOW.value))
