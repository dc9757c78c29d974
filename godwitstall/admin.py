"""Admin application of every process: metrics, state dump and health.

GET /metrics returns the metrics in the Prometheus text format, GET /state the
state of the process as JSON, and GET /healthz status 200 while the process is
healthy and 503 otherwise. State dumps contain no keys.
"""

import collections.abc
import typing

import litestar
from litestar import response

from godwitstall import metrics

DumpState = collections.abc.Callable[[], dict[str, typing.Any]]


def create_app(
    dump_state: DumpState, is_healthy: collections.abc.Callable[[], bool]
) -> litestar.Litestar:
    """Create the admin application of a process."""

    @litestar.get('/metrics', sync_to_thread=False)
    def serve_metrics() -> response.Response[bytes]:
        return response.Response(
            metrics.render(), media_type='text/plain; version=0.0.4'
        )

    @litestar.get('/state', sync_to_thread=False)
    def serve_state() -> dict[str, typing.Any]:
        return dump_state()

    @litestar.get('/healthz', sync_to_thread=False)
    def serve_health() -> response.Response[dict[str, bool]]:
        healthy = is_healthy()
        return response.Response(
            {'healthy': healthy}, status_code=200 if healthy else 503
        )

    # The default logging configuration of litestar closes the log handlers of
    # the process and starts a thread.
    return litestar.Litestar(
        [serve_metrics, serve_state, serve_health],
        logging_config=None,
        openapi_config=None,
    )
