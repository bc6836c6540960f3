"""HTTP client based on Tornado and curl.

Failures are mapped to two errors, by whether the request may have been sent.
Each call has an ID that the server returns, since the next response on a
connection may be a late one to an earlier call.
"""

import asyncio
import contextlib
import itertools
import os
import secrets
import socket
from collections.abc import Callable

import pycurl
from tornado import curl_httpclient, httpclient, httputil

from oriolefold_core import bytebudget, errors, results
from oriolefold_http import exchanges

DEFAULT_BUDGET_BYTES = 100_000_000
_NOTHING_SENT_CODES = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_ABORTED_BY_CALLBACK,
    }
)
_ENDS_OF_HEADS = frozenset({b'\r\n', b'\n'})


class _ResponseProof:
    """Proof that a response has a whole head and belongs to its call.

    The response has to return the ID of the call. One without an ID is taken
    only if it is the first on its connection. Curl itself reports a body that
    is not whole, but not a head.
    """

    def __init__(self, call_id: str):
        self._call_id = call_id
        self._is_first = False
        self._is_interim = False
        self._head_has_ended = False

    def add_id(
        self, headers: dict[str, str] | httputil.HTTPHeaders | None
    ) -> dict[str, str] | httputil.HTTPHeaders:
        """Returns the headers of the request with the ID of the call."""
        headers = headers.copy() if headers else {}
        headers[results.CALL_ID_HEADER] = self._call_id
        return headers

    def on_head_line(self, line: bytes) -> None:
        """Notes whether the head of a final response has ended."""
        if line.startswith(b'HTTP/'):
            status = line.split(maxsplit=2)[1:2]
            self._is_interim = bool(status) and status[0].startswith(b'1')
            self._head_has_ended = False
        elif line in _ENDS_OF_HEADS:
            self._head_has_ended = not self._is_interim

    def on_response(self, curl: pycurl.Curl) -> None:
        """Closes the connection of a response that is not one to this call."""
        self._is_first = curl.getinfo(pycurl.NUM_CONNECTS) > 0
        returned_id = curl.info['headers'].get(results.CALL_ID_HEADER)
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        if returned_id != self._call_id or not exchanges.is_valid_status(
            status
        ):
            # The true response may still follow on this connection.
            _shut_down(curl)

    def check(self, response: httpclient.HTTPResponse) -> None:
        """Checks a response.

        Raises:
            OutcomeUnknownError: If it may belong to another call, if its head
                was cut, or if its status is invalid.
        """
        if not self._head_has_ended:
            raise errors.OutcomeUnknownError(
                'the connection ended within the head of the response'
            )
        if not exchanges.is_valid_status(response.code):
            raise errors.OutcomeUnknownError(
                f'the server responded with status {response.code} (invalid)'
            )
        returned_id = response.headers.get(results.CALL_ID_HEADER)
        if returned_id == self._call_id:
            return
        if returned_id is None and self._is_first:
            return
        raise errors.OutcomeUnknownError(
            'the response may belong to another call'
        )


class _CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Curl client that collects the proof of each response."""

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        if not curl_error:
            curl.info['proof'].on_response(curl)
        super()._finish(curl, curl_error, curl_message)

    def _curl_header_callback(
        self,
        headers: httputil.HTTPHeaders,
        header_callback: Callable[[bytes], None],
        header_line_bytes: bytes,
    ) -> None:
        # Tornado would call it later, after the end of a short response.
        header_callback(header_line_bytes)
        super()._curl_header_callback(headers, None, header_line_bytes)

    def _handle_timeout(self) -> None:
        # Curl sets a last timer while it closes; there is no handle by then.
        if self._multi is not None:
            super()._handle_timeout()


class HttpClient:
    """Sends requests to HTTP servers that are addressed by IP address.

    Redirects are not followed, proxy settings of the environment are ignored,
    and paths are sent without normalization.
    """

    def __init__(
        self, max_clients: int, budget: bytebudget.ByteBudget | None = None
    ):
        """Initializes the client.

        Args:
            max_clients: Largest number of concurrent calls; further calls wait.
            budget: Budget of the bytes of incomplete responses; by default the
                client has its own.
        """
        self._budget = budget or bytebudget.ByteBudget(DEFAULT_BUDGET_BYTES)
        self._client = _CurlClient(force_instance=True, max_clients=max_clients)
        self._call_id_prefix = secrets.token_hex(8)
        self._call_numbers = itertools.count(1)

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        connect_timeout_s: float,
        headers: dict[str, str] | httputil.HTTPHeaders | None = None,
        body: bytes | str | None = None,
        at_most_once: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> httpclient.HTTPResponse:
        """Sends a request and returns the complete response, of any status.

        Cancelling the call closes the connection, so that the server can
        notice it; a request that still waits to be sent is never sent.

        Args:
            method: HTTP method.
            url: URL with an IP address as its host.
            timeout_s: Timeout of the whole call, in seconds.
            connect_timeout_s: Timeout of opening a connection, in seconds.
            headers: Headers to send.
            body: Body to send, or None for a request without one.
            at_most_once: Whether the request must not be sent twice. If a
                reused connection turns out to be closed, curl itself sends the
                request a second time, although the server may have run the
                first. A new connection rules that out, at the cost of opening
                it; it is closed afterwards.
            may_send: Called when the connection is open, right before the
                request is written; nothing is sent if it returns false.

        Raises:
            UnreachableError: If nothing was sent.
            OutcomeUnknownError: If no complete response was received, or one
                that may belong to another call.
        """
        proof = _ResponseProof(
            f'{self._call_id_prefix}-{next(self._call_numbers)}'
        )
        written = False
        cancelled = False

        def prerequisite(*_) -> int:
            nonlocal written
            # A call that is queued or connecting has no socket to shut down.
            if cancelled or (may_send is not None and not may_send()):
                return pycurl.PREREQFUNC_ABORT
            written = True
            return pycurl.PREREQFUNC_OK

        handle: pycurl.Curl | None = None
        loop = asyncio.get_running_loop()

        def abort() -> None:
            # Curl cannot be called from its callback, which may have led here.
            loop.call_soon(shut_down)

        def shut_down() -> None:
            if not fetching.done() and handle is not None:
                _shut_down(handle)

        hold = self._budget.open(abort)

        def prepare(curl: pycurl.Curl) -> None:
            nonlocal handle
            handle = curl
            curl.info['proof'] = proof
            buffer = curl.info['buffer']

            def receive(part: bytes) -> int:
                hold.grow(len(part))
                if not hold.size:
                    # The call was aborted or cancelled: end the transfer.
                    buffer.truncate(0)
                    return 0
                return buffer.write(part)

            curl.setopt(pycurl.WRITEFUNCTION, receive)
            curl.setopt(pycurl.PROXY, '')
            curl.setopt(pycurl.PATH_AS_IS, 1)
            curl.setopt(pycurl.FRESH_CONNECT, 1 if at_most_once else 0)
            # Curl would keep each of these connections, beyond the limit of
            # the server.
            curl.setopt(pycurl.FORBID_REUSE, 1 if at_most_once else 0)
            curl.setopt(pycurl.PREREQFUNCTION, prerequisite)

        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=proof.add_id(headers),
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=connect_timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            header_callback=proof.on_head_line,
            prepare_curl_callback=prepare,
        )
        fetching = self._client.fetch(request, raise_error=False)
        try:
            response = await asyncio.shield(fetching)
        except asyncio.CancelledError:
            cancelled = True
            shut_down()
            fetching.add_done_callback(_retrieve_exception)
            raise
        except curl_httpclient.CurlError as error:
            # Curl may have sent the request on a reused connection and then
            # failed to connect for its own retry, so the error code alone does
            # not prove that nothing was sent.
            if error.errno in _NOTHING_SENT_CODES and not written:
                raise errors.UnreachableError(str(error)) from error
            raise errors.OutcomeUnknownError(str(error)) from error
        finally:
            hold.release()
        proof.check(response)
        return response

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()


def _shut_down(handle: pycurl.Curl) -> None:
    """Shuts down the socket of a transfer, so that curl ends the transfer."""
    descriptor = handle.getinfo(pycurl.ACTIVESOCKET)
    if descriptor >= 0:
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            with contextlib.suppress(OSError):
                duplicate.shutdown(socket.SHUT_RDWR)


def _retrieve_exception(fetching: asyncio.Future) -> None:
    # Retrieves the exception of a cancelled call, so that asyncio does not
    # log it.
    if not fetching.cancelled():
        fetching.exception()
