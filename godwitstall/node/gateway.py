"""The entry side of a node for routes by host and path prefix.

A request names its route by its Host header and path, its workspace by a
key, and the time that its caller waits by a header. The gateway admits it,
chooses the service by the weights of the route, and sends the call to an
owner; how that goes on is the relay's work, as for the other entry.
"""

import itertools
import json
import random
import typing

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall import http_listener
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import context
from godwitstall.node import control_session
from godwitstall.node import dialect as dialect_module
from godwitstall.node import digests
from godwitstall.node import dispatch
from godwitstall.node import headers
from godwitstall.node import relay
from godwitstall.rates import allowance as allowance_module
from godwitstall.routing import view as view_module
from godwitstall import settings

_PART = 'gateway'
_LOG = logs.get(_PART)
_REQUESTS = metrics.counter(
    'gateway_requests_total', 'Requests by route and error kind.'
)
_SECONDS = metrics.histogram(
    'gateway_request_seconds', 'Time to the answer by route and error kind.'
)

# A node without a configuration is worth another try after this, ms.
_NO_CONFIGURATION_RETRY_MS = 500


_FIRST_SERVER_ERROR = 500


class Gateway:
    """Serves callers and onward calls of the own upstream alike."""

    def __init__(
        self,
        options: settings.NodeOptions,
        names: dialect_module.Dialect,
        view: view_module.View,
        session: control_session.ControlSession,
        allowance: allowance_module.Allowance,
        contexts: context.Contexts,
        sender: relay.Relay,
    ) -> None:
        self.options = options
        self.names = names
        self.view = view
        self.session = session
        self.allowance = allowance
        self.contexts = contexts
        self.sender = sender
        self.random = random.Random()
        # Headers that never come from a caller.
        self.own_names = frozenset(
            (
                names.key,
                names.workspace,
                names.caller_service,
                names.expected_instance,
                names.deadline_ms,
            )
        )

    async def serve(
        self, request: http_listener.Request
    ) -> http_listener.Response:
        """Return the answer to one request; a refusal is an answer too."""
        route_name = ''
        try:
            route = self._match(request)
            route_name = route.name
            answer = await self._admit(request, route)
        except errors.RequestError as e:
            answer = dispatch.refusal(e)
        _REQUESTS.inc(route=route_name, kind=answer.kind.label)
        _SECONDS.observe(
            clock.recent() - request.received_at,
            route=route_name,
            kind=answer.kind.label,
        )
        self._tell(request, route_name, answer)
        return self._response(answer)

    def _tell(
        self,
        request: http_listener.Request,
        route_name: str,
        answer: messages.Answer,
    ) -> None:
        """Log what became of a request, and with what knowledge."""
        is_routine = answer.kind is errors.ErrorKind.NONE and (
            answer.status < _FIRST_SERVER_ERROR
        )
        if not decisions.may_write(is_routine):
            return
        write = decisions.write_routine if is_routine else decisions.write
        now = clock.recent()
        write(
            _PART,
            'served' if answer.kind is errors.ErrorKind.NONE else 'refused',
            request=request.header(self.names.attempt_id).decode('latin-1'),
            route=route_name,
            status=self.names.status_of(answer.kind)
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
        )

    def _match(self, request: http_listener.Request) -> messages.Route:
        if self.view.index < 0 or not self.view.number:
            raise errors.RequestError(
                errors.ErrorKind.CONTROL_LOST,
                'The node has no configuration yet.',
                _NO_CONFIGURATION_RETRY_MS,
            )
        host = request.header(b'host').decode('latin-1')
        path = request.target.partition('?')[0]
        route = self.view.hosts.match(host, path)
        if route is None:
            raise errors.RequestError(errors.ErrorKind.NO_ROUTE)
        return route

    async def _admit(
        self, request: http_listener.Request, route: messages.Route
    ) -> messages.Answer:
        key = self._find_key(request, route)
        workspace = self.view.workspaces.get(key.workspace) if key else None
        call, deadline = self._build(request, route, key, workspace)
        if self.view.is_quarantined(call.fingerprint):
            raise errors.RequestError(errors.ErrorKind.QUARANTINED)
        if workspace is not None and workspace.rate:
            name = messages.WorkspaceName(workspace.name)
            if not self.allowance.try_take(name, clock.now()):
                self.session.grant_wanted.set()
                await self.allowance.take(name, deadline)
        parent = self.contexts.parent_of(call.request_id)
        if parent is None:
            return await self._send(call, route, deadline)
        call.is_onward = True
        call.workspace = parent.workspace
        call.order = parent.order
        call.priority = parent.priority
        return await self._send_onward(call, route, deadline, parent)

    async def _send_onward(
        self,
        call: messages.Call,
        route: messages.Route,
        deadline: float,
        parent: context.Running,
    ) -> messages.Answer:
        parent.begin_onward(clock.recent())
        is_served = False
        try:
            answer = await self._send(
                call, route, min(deadline, parent.deadline)
            )
            is_served = answer.status < _FIRST_SERVER_ERROR
        finally:
            parent.end_onward(clock.recent())
            parent.has_given_up |= not is_served
        return answer

    async def _send(
        self, call: messages.Call, route: messages.Route, deadline: float
    ) -> messages.Answer:
        return await self.sender.send(
            call, route, max(1, route.attempts), deadline, self._is_admitted
        )

    def _find_key(
        self, request: http_listener.Request, route: messages.Route
    ) -> messages.Key | None:
        value = request.header(self.names.key)
        if not value:
            if route.is_open or not self.view.workspaces:
                return None
            raise errors.RequestError(errors.ErrorKind.KEY_MISSING)
        found = self.view.key_by_digest(digests.of_key(value))
        if found is None and not route.is_open:
            raise errors.RequestError(errors.ErrorKind.KEY_UNKNOWN)
        return found

    def _build(
        self,
        request: http_listener.Request,
        route: messages.Route,
        key: messages.Key | None,
        workspace: messages.Workspace | None,
    ) -> tuple[messages.Call, float]:
        name = messages.WorkspaceName(workspace.name if workspace else '')
        longest_ms = route.timeout_ms or self.options.default_deadline_ms
        left_ms = min(longest_ms, self._deadline_ms(request, longest_ms))
        call = messages.Call(
            service=self.view.hosts.choose(route, self.random.random()),
            method=request.method,
            path=request.target,
            headers=self._block(request, name),
            body=request.body,
            workspace=name,
            key_id=key.key_id if key else messages.KeyId(''),
            route_name=route.name,
            priority=route.priority,
            order=max(workspace.rank, 0) if workspace else 0,
            deadline_ms=left_ms,
            is_idempotent=route.is_idempotent,
            fingerprint=digests.of_parts(
                name.encode(),
                request.method.encode(),
                request.target.encode('latin-1'),
                request.body,
            ),
            request_id=request.header(self.names.attempt_id),
            host=request.header(b'host'),
        )
        return call, request.received_at + left_ms / 1000

    def _deadline_ms(
        self, request: http_listener.Request, longest_ms: int
    ) -> int:
        text = request.header(self.names.deadline_ms)
        if not text:
            return longest_ms
        if not text.isdigit() or len(text) > 9:
            raise errors.RequestError(
                errors.ErrorKind.BAD_REQUEST,
                f'Header {self.names.deadline_ms.decode()} must be a number.',
            )
        return max(1, int(text))

    def _block(self, request: http_listener.Request, workspace: str) -> bytes:
        """Return the headers that the upstream gets; never a key."""
        names = self.names
        pairs: typing.Iterable[tuple[bytes, bytes]] = (
            (name, value)
            for name, value in request.headers
            if name not in self.own_names and headers.is_relayed(name)
        )
        own = [(names.caller_service, self.options.service.encode())]
        if workspace:
            own.append((names.workspace, workspace.encode()))
        return b''.join(
            name + b': ' + value + b'\r\n'
            for name, value in itertools.chain(pairs, own)
        )

    def _is_admitted(self, call: messages.Call) -> bool:
        """Return whether a call may be sent once more."""
        return not call.key_id or (
            self.view.key_by_id(call.key_id) is not None
        )

    def _response(self, answer: messages.Answer) -> http_listener.Response:
        if answer.kind is errors.ErrorKind.NONE:
            return http_listener.Response(
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
        status = self.names.status_of(answer.kind)
        if answer.retry_after_ms and status in (429, 503):
            seconds = b'%.3f' % (answer.retry_after_ms / 1000)
            pairs.append((self.names.retry_after, seconds))
        return http_listener.Response(status, pairs, body)


def priority_of_rank(rank: int) -> messages.Priority:
    """Return the priority of a rank, 0 being the highest."""
    return messages.Priority(min(max(rank, 0), messages.Priority.LOW.value))
