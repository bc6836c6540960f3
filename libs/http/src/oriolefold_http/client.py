"""HTTP client by tornado and curl with one treatment of failures."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Mapping

import pycurl
from tornado import curl_httpclient, httpclient, httputil

from oriolefold_core import errors

_NOTHING_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_ABORTED_BY_CALLBACK,
    }
)


class _CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Curl client that takes a timer after its end in silence."""

    def _handle_timeout(self) -> None:
        # Curl sets a last timer while it closes, which would find no handle.
        if self._multi is not None:
            super()._handle_timeout()


class HttpClient:
    """Calls HTTP servers by their IP numbers.

    Redirects are not followed and no proxy is used, whatever the environment
    says, and paths go out as they are given.
    """

    def __init__(self, max_clients: int):
        """Makes a client.

        Args:
            max_clients: Calls that may be under way; more of them wait.
        """
        self._client = _CurlClient(force_instance=True, max_clients=max_clients)

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        connect_timeout_s: float,
        headers: Mapping[str, str] | httputil.HTTPHeaders | None = None,
        body: bytes | str | None = None,
        once: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> httpclient.HTTPResponse:
        """Sends a request and returns the whole answer, whatever its status.

        Cancelling the call closes the connection, so that the server learns of
        it.

        Args:
            method: HTTP method.
            url: URL with an IP number as its host.
            timeout_s: Time for the whole call.
            connect_timeout_s: Time to open a connection.
            headers: Headers to send.
            body: Body to send, or None for a request without one.
            once: Whether the request must not be sent twice. On a kept
                connection that turns out to be closed curl sends a request a
                second time by itself, though the server may have run the first.
                A fresh connection rules that out; it costs the time to open it.
            may_send: Asked when the connection is open and the request is about
                to be written; nothing is sent if it returns false.

        Raises:
            UnreachableError: If nothing was sent.
            OutcomeUnknownError: If no whole answer came back.
        """
        written = False

        def check(*_) -> int:
            nonlocal written
            if may_send is not None and not may_send():
                return pycurl.PREREQFUNC_ABORT
            written = True
            return pycurl.PREREQFUNC_OK

        handle: pycurl.Curl | None = None

        def prepare(curl: pycurl.Curl) -> None:
            nonlocal handle
            handle = curl
            curl.setopt(pycurl.PROXY, '')
            curl.setopt(pycurl.PATH_AS_IS, 1)
            curl.setopt(pycurl.FRESH_CONNECT, 1 if once else 0)
            curl.setopt(pycurl.PREREQFUNCTION, check)

        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=headers,
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=connect_timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=prepare,
        )
        fetching = self._client.fetch(request, raise_error=False)
        try:
            return await asyncio.shield(fetching)
        except asyncio.CancelledError:
            if not fetching.done() and handle is not None:
                _shut_down(handle)
            fetching.add_done_callback(_take_result)
            raise
        except curl_httpclient.CurlError as error:
            # Curl may have sent the request on a kept connection and failed
            # to connect for a second try, which then proves nothing.
            if error.errno in _NOTHING_SENT and not written:
                raise errors.UnreachableError(str(error)) from error
            raise errors.OutcomeUnknownError(str(error)) from error

    def close(self) -> None:
        """Releases the connections."""
        self._client.close()


def _shut_down(handle: pycurl.Curl) -> None:
    """Closes the connection of a transfer; curl then ends the transfer."""
    number = handle.getinfo(pycurl.ACTIVESOCKET)
    if number >= 0:
        with socket.socket(fileno=os.dup(number)) as duplicate:
            with contextlib.suppress(OSError):
                duplicate.shutdown(socket.SHUT_RDWR)


def _take_result(fetching: asyncio.Future) -> None:
    # Nobody waits for the result of an abandoned call.
    if not fetching.cancelled():
        fetching.exception()
