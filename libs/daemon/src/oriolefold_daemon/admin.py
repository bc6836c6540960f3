"""HTTP interface for operators: status, metrics and routing explanations."""

import json
from urllib import parse

from tornado import httpserver, httputil, web

from oriolefold_core import data, errors, results, tasks
from oriolefold_gateway import accepting
from oriolefold_gateway import messages as gateway_messages
from oriolefold_ownership import messages as ownership_messages
from oriolefold_telemetry import metrics

EXPLAIN_TARGET_ARGUMENT = 'target'


class AdminServer:
    """Serves `/status`, `/metrics` and `/explain`."""

    def __init__(
        self,
        address: data.Address,
        dispatcher: tasks.Task,
        lease_manager: tasks.Task,
        recorder: metrics.Metrics,
    ):
        self._address = address
        shared = {
            'dispatcher': dispatcher,
            'lease_manager': lease_manager,
            'recorder': recorder,
        }
        self._application = web.Application(
            [
                ('/status', _StatusHandler, shared),
                ('/metrics', _MetricsHandler, shared),
                ('/explain', _ExplainHandler, shared),
            ],
            log_function=lambda handler: None,
        )
        self._server: httpserver.HTTPServer | None = None
        self._acceptor: accepting.Acceptor | None = None

    def start(self) -> None:
        """Opens the listening socket."""
        self._server = httpserver.HTTPServer(self._application)
        self._acceptor = accepting.serve(self._server, self._address)

    async def stop(self) -> None:
        """Closes all connections."""
        self._acceptor.stop()
        await self._server.close_all_connections()


class _Handler(web.RequestHandler):
    """Base class of the handlers."""

    def initialize(self, dispatcher, lease_manager, recorder):
        """Stores the objects that all handlers use."""
        self._dispatcher = dispatcher
        self._lease_manager = lease_manager
        self._recorder = recorder

    def _write_json(self, record: dict) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(record, indent=2) + '\n')


class _StatusHandler(_Handler):
    async def get(self):
        """Returns the state of this VM, and its send lease as `right`."""
        view = await self._dispatcher.ask(gateway_messages.DescribeView())
        view['right'] = await self._lease_manager.ask(
            ownership_messages.DescribeLease()
        )
        self._write_json(view)


class _MetricsHandler(_Handler):
    async def get(self):
        """Returns the metrics in the Prometheus text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self._recorder.text())


class _ExplainHandler(_Handler):
    async def get(self):
        """Returns how a request would be routed.

        Request headers are passed as query arguments named `h.NAME`.
        """
        target = self.get_query_argument(EXPLAIN_TARGET_ARGUMENT, '/')
        method = self.get_query_argument('method', 'GET')
        headers = httputil.HTTPHeaders()
        for name, values in parse.parse_qs(self.request.query).items():
            if name.startswith('h.'):
                headers[name[2:]] = values[-1]
        explain = gateway_messages.Explain(method, target, headers)
        try:
            self._write_json(await self._dispatcher.ask(explain))
        except errors.OriolefoldError as error:
            failure = errors.failure_of(error)
            self.set_status(results.status_of(failure))
            self._write_json(
                {
                    'category': failure.category.value,
                    'message': failure.message,
                }
            )
