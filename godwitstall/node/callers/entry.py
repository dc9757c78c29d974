"""Serves HTTP requests of callers and onward calls of the own upstream.

Each of the two has a handler. The one for callers determines the workspace by
the key and takes a rate token. The one for the upstream
determines the workspace by the context of the request that the upstream is
running. Both then pass the call to the relay, which sends it to an owner and
retries it elsewhere only if that is safe.
"""

import collections.abc
import dataclasses
import hashlib
import json
import re
import uuid

from godwitstall import clock
from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import answers
from godwitstall.node.callers import admission as admission_module
from godwitstall.node.peers import relay
from godwitstall.node.requests import context
from godwitstall.node.requests import digests
from godwitstall.node.requests import headers
from godwitstall.node.sessions import control_session
from godwitstall.node.sessions import membership as membership_module
from godwitstall.node.upstreams import announcements
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.routing import view as view_module
from godwitstall import settings

_REQUESTS = metrics.counter(
    'requests_total', 'Requests by workspace and error kind.'
)

_ANNOUNCE_PATH = '/announce'

# Paths that an upstream could resolve differently from the route table: those
# with dot segments, empty segments, or encoded slashes or dots. Some servers
# remove a parameter such as ';x' from a segment before they resolve it.
_UNSAFE_PATH = re.compile(r'//|/\.{1,2}(/|;|$)|%2f|%2e|%5c|\\', re.IGNORECASE)

_UUID_VERSION = 7

# Retry time of a request to a node without a lease, milliseconds.
_NO_LEASE_RETRY_AFTER_MS = 1000

# Attempts of a chain in pass-through mode, which comparison runs use.
_UNBOUNDED_ATTEMPTS = 1_000_000

_Admission = collections.abc.Callable[
    ['Request'], collections.abc.Awaitable[messages.Answer]
]


@dataclasses.dataclass(slots=True)
class Request:
    """One complete HTTP request."""

    # HTTP method.
    method: str
    # Path without the query.
    path: str
    # Path with the query.
    target: str
    # Headers with lower-case names.
    headers: list[tuple[bytes, bytes]]
    # Complete body.
    body: bytes
    # Time at which the request was complete, seconds of clock.now().
    received_at: float

    @classmethod
    def from_http(cls, request: http_messages.Request) -> 'Request':
        """Return the request that a listener has received.

        Errors: RequestError of kind BAD_REQUEST if its path is unsafe.
        """
        path = request.target.partition('?')[0]
        if not path.startswith('/') or _UNSAFE_PATH.search(path):
            raise errors.RequestError(
                errors.ErrorKind.BAD_REQUEST,
                'The path must have no empty, dot or encoded segments.',
            )
        return cls(
            request.method,
            path,
            request.target,
            request.headers,
            request.body,
            clock.now(),
        )

    def header(self, name: bytes) -> str:
        """Return a header as text, empty if it is absent.

        Errors: RequestError of kind BAD_REQUEST if the header is repeated or
        not ASCII, because other parsers could read a different value.
        """
        values = [value for key, value in self.headers if key == name]
        if not values:
            return ''
        if len(values) > 1 or not values[0].isascii():
            raise errors.RequestError(
                errors.ErrorKind.BAD_REQUEST,
                f'Header {name.decode()} must appear once, in ASCII.',
            )
        return values[0].decode().strip()

    def int_header(self, name: bytes, default: int) -> int:
        """Return a header as a positive integer, or default if it is absent.

        Errors: RequestError of kind BAD_REQUEST for any other value.
        """
        text = self.header(name)
        if not text:
            return default
        if not text.isdecimal() or not 1 <= int(text) < 2**31:
            raise errors.RequestError(
                errors.ErrorKind.BAD_REQUEST,
                f'Header {name.decode()} must be a number from 1, '
                f'not {text!r}.',
            )
        return int(text)


class Entry:
    """Provides the handlers of the caller and upstream listeners."""

    def __init__(
        self,
        options: settings.NodeOptions,
        view: view_module.View,
        session: control_session.ControlSession,
        admission: admission_module.Admission,
        contexts: context.Contexts,
        membership: membership_module.Membership,
        upstream: upstream_module.Upstream,
        sender: relay.Relay,
    ) -> None:
        self.options = options
        self.view = view
        self.session = session
        self.admission = admission
        self.contexts = contexts
        self.membership = membership
        self.upstream = upstream
        self.sender = sender
        # Number of requests inside the handlers.
        self.active = 0

    async def serve_caller(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Serve a request of a caller."""
        return await self._serve(request, self._admit_caller)

    async def serve_upstream(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Serve an announcement or onward call of the node's own upstream."""
        if request.target.partition('?')[0] == _ANNOUNCE_PATH:
            return await self._serve(request, self._handle_announcement)
        return await self._serve(request, self._admit_onward)

    async def _serve(
        self, request: http_messages.Request, admit: _Admission
    ) -> http_messages.Response:
        self.active += 1
        try:
            answer = await admit(Request.from_http(request))
        except errors.RequestError as e:
            answer = answers.of_error(e)
        finally:
            self.active -= 1
        return build_response(answer)

    async def _handle_announcement(self, request: Request) -> messages.Answer:
        if request.method != 'POST':
            raise errors.RequestError(errors.ErrorKind.NO_ROUTE)
        announcement = announcements.parse(request.body, self.options.service)
        self.upstream.on_announcement(announcement, clock.now())
        if announcement.state == 'draining':
            await self.membership.wait_until_drain_is_recorded()
        return messages.Answer(outcome=errors.Outcome.RUN, status=204)

    async def _admit_caller(self, request: Request) -> messages.Answer:
        now = request.received_at
        self._check_lease(now)
        route = self._match_route(request)
        key = self._find_key(request, route)
        workspace = key.workspace if key else messages.WorkspaceName('')
        call = self._build_call(request, route, workspace, now)
        if key is not None:
            call.key_id = key.key_id
        call.priority = _lower_priority(
            route.priority, request.header(headers.PRIORITY)
        )
        attempts = self._max_attempts(request, route)
        deadline = now + call.deadline_ms / 1000
        try:
            self.admission.check_memory()
            self.admission.check(call, deadline)
            if call.workspace and not self.options.is_pass_through:
                await self.admission.take_token(call.workspace, deadline)
                # The lease may have expired during the wait.
                self._check_lease(clock.now())
        except errors.RequestError as e:
            answer = answers.of_error(e)
        else:
            answer = await self.sender.send(
                call, route, attempts, deadline, self._is_still_admitted
            )
        _REQUESTS.inc(workspace=workspace, kind=answer.kind.label)
        return answer

    def respond_to_error(
        self, kind: errors.ErrorKind
    ) -> http_messages.Response:
        """Return the response to a request that is served by no handler."""
        return build_response(
            answers.of_error(self.admission.planned_stop.error(kind))
        )

    def _is_still_admitted(self, call: messages.Call) -> bool:
        """Return whether a call is still admitted, before a retry.

        During the first try the lease may have expired, or the key may have
        been withdrawn.
        """
        if not self.session.has_lease(clock.now()):
            return False
        return self.admission.has_valid_key(call)

    async def _admit_onward(self, request: Request) -> messages.Answer:
        now = request.received_at
        self._check_lease(now)
        parent = self.contexts.find(request.header(headers.CONTEXT))
        if parent is None:
            raise errors.RequestError(errors.ErrorKind.CONTEXT_INVALID)
        if parent.key_id and self.view.key_by_id(parent.key_id) is None:
            raise errors.RequestError(errors.ErrorKind.KEY_UNKNOWN)
        route = self._match_route(request)
        if not route.is_open and not parent.workspace:
            # The chain started on an open route, so that it has no key.
            raise errors.RequestError(errors.ErrorKind.KEY_MISSING)
        call = self._build_call(request, route, parent.workspace, now)
        call.key_id = parent.key_id
        call.priority = parent.priority
        deadline = self.admission.onward_deadline(
            now + call.deadline_ms / 1000, parent
        )
        call.deadline_ms = max(1, int((deadline - now) * 1000))
        attempts = parent.budget.reserve(self._max_attempts(request, route))
        attempts_used = attempts
        parent.start_onward_call(now)
        try:
            answer = await self.sender.send(
                call, route, attempts, deadline, self._is_still_admitted
            )
            attempts_used = answer.attempts_used
        finally:
            parent.end_onward_call(clock.now())
            parent.budget.release(attempts - attempts_used)
        if answer.kind is not errors.ErrorKind.NONE:
            parent.has_failed_onward_call = True
        return answer

    def _max_attempts(self, request: Request, route: messages.Route) -> int:
        """Return the maximum number of runs that the request may cause."""
        if self.options.is_pass_through:
            return _UNBOUNDED_ATTEMPTS
        limit = request.int_header(headers.ATTEMPTS, route.attempts)
        return min(route.attempts, limit)

    def _check_lease(self, now: float) -> None:
        if not self.session.has_lease(now):
            raise errors.RequestError(
                errors.ErrorKind.CONTROL_LOST,
                retry_after_ms=_NO_LEASE_RETRY_AFTER_MS,
            )

    def _match_route(self, request: Request) -> messages.Route:
        route = self.view.routes.match(request.method, request.path)
        if route is None:
            raise errors.RequestError(errors.ErrorKind.NO_ROUTE)
        return route

    def _find_key(
        self, request: Request, route: messages.Route
    ) -> messages.Key | None:
        if route.is_open:
            return None
        key = request.header(headers.KEY)
        if not key:
            scheme, _, value = request.header(headers.AUTHORIZATION).partition(
                ' '
            )
            if scheme.lower() == 'bearer':
                key = value.strip()
        if not key:
            raise errors.RequestError(errors.ErrorKind.KEY_MISSING)
        digest = hashlib.sha256(key.encode()).hexdigest()
        registered_key = self.view.key_by_digest(digest)
        if registered_key is None:
            raise errors.RequestError(errors.ErrorKind.KEY_UNKNOWN)
        return registered_key

    def _build_call(
        self,
        request: Request,
        route: messages.Route,
        workspace: messages.WorkspaceName,
        now: float,
    ) -> messages.Call:
        max_deadline_ms = route.timeout_ms or self.options.default_deadline_ms
        return messages.Call(
            service=route.service,
            method=request.method,
            path=request.target,
            headers=headers.to_block(request.headers),
            body=request.body,
            workspace=workspace,
            route_name=route.name,
            deadline_ms=min(
                max_deadline_ms,
                request.int_header(headers.DEADLINE_MS, max_deadline_ms),
            ),
            operation_id=_parse_operation_id(request),
            is_idempotent=route.is_idempotent,
            fingerprint=fingerprint(workspace, request),
        )


def _lower_priority(
    priority: messages.Priority, requested_name: str
) -> messages.Priority:
    """Return the lower of the route's and the requested priority."""
    if not requested_name:
        return priority
    try:
        requested = messages.Priority.__members__[requested_name.upper()]
    except KeyError as e:
        names = ', '.join(p.name.lower() for p in messages.Priority)
        raise errors.RequestError(
            errors.ErrorKind.BAD_REQUEST,
            f'Header godwitstall-priority must be one of {names}.',
        ) from e
    return max(priority, requested, key=lambda p: p.value)


def _parse_operation_id(request: Request) -> messages.OperationId:
    text = request.header(headers.OPERATION)
    if not text:
        return messages.OperationId('')
    try:
        parsed = uuid.UUID(text)
    except ValueError as e:
        raise errors.RequestError(errors.ErrorKind.OPERATION_INVALID) from e
    if parsed.version != _UUID_VERSION:
        raise errors.RequestError(errors.ErrorKind.OPERATION_INVALID)
    return messages.OperationId(str(parsed))


def fingerprint(workspace: str, request: Request) -> bytes:
    """Return a digest by which crash reports identify equal requests."""
    return digests.of_parts(
        workspace.encode(),
        request.method.encode(),
        request.target.encode(),
        request.body,
    )


def build_response(answer: messages.Answer) -> http_messages.Response:
    """Return the HTTP response for an answer."""
    added = [
        (headers.OUTCOME, answer.outcome.label.encode()),
        (headers.ATTEMPTS_USED, b'%d' % answer.attempts_used),
    ]
    if answer.is_replayed:
        added.append((headers.REPLAYED, b'1'))
    if answer.kind is errors.ErrorKind.NONE:
        return http_messages.Response(
            answer.status,
            added,
            answer.body,
            encoded_headers=answer.headers,
        )
    body = json.dumps(
        {
            'error': answer.kind.label,
            'outcome': answer.outcome.label,
            'detail': answer.detail,
            'retry_after_ms': answer.retry_after_ms,
        }
    ).encode()
    added += [
        (headers.ERROR, answer.kind.label.encode()),
        (b'content-type', b'application/json'),
    ]
    if answer.retry_after_ms:
        seconds = -(-answer.retry_after_ms // 1000)
        added += [
            (headers.RETRY_AFTER, b'%d' % seconds),
            (headers.RETRY_AFTER_MS, b'%d' % answer.retry_after_ms),
        ]
    return http_messages.Response(answer.status, added, body)
