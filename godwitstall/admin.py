"""Admin listener of every process: metrics, state dump and health.

GET /metrics gives Prometheus text, GET /state the whole state as JSON and
GET /healthz 200 while the process does its work. No dump holds a key.
"""

import collections.abc
import typing

import litestar
from litestar import response

from godwitstall import metrics

Dump = collections.abc.Callable[[], dict[str, typing.Any]]


def create_app(
    dump: Dump, is_healthy: collections.abc.Callable[[], bool]
) -> litestar.Litestar:
    """Return the admin application of a process."""

    @litestar.get('/metrics', sync_to_thread=False)
    def serve_metrics() -> response.Response[bytes]:
        return response.Response(
            metrics.render(), media_type='text/plain; version=0.0.4'
        )

    @litestar.get('/state', sync_to_thread=False)
    def serve_state() -> dict[str, typing.Any]:
        return dump()

    @litestar.get('/healthz', sync_to_thread=False)
    def serve_health() -> response.Response[dict[str, bool]]:
        healthy = is_healthy()
        return response.Response(
            {'healthy': healthy}, status_code=200 if healthy else 503
        )

    # litestar's logging set-up would close the handlers of the process and
    # start a thread.
    return litestar.Litestar(
        [serve_metrics, serve_state, serve_health],
        logging_config=None,
        openapi_config=None,
    )
