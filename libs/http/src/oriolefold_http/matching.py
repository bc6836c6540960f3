"""Matching of responses to the requests that they answer.

A server may write a response again, or late, where the next one is due. So the
place of a response on its connection does not prove which request it answers.
"""

import abc

from tornado import httputil


class Matcher(abc.ABC):
    """Decides whether a response answers a request."""

    @abc.abstractmethod
    def matches(self, headers: httputil.HTTPHeaders, is_first: bool) -> bool:
        """Whether a response answers the request.

        Args:
            headers: Headers of the response.
            is_first: Whether it is the first response on its connection, so
                that it cannot answer an earlier request.
        """


class AnyResponse(Matcher):
    """Accepts every response."""

    def matches(self, headers: httputil.HTTPHeaders, is_first: bool) -> bool:
        """Returns true."""
        return True


ANY_RESPONSE = AnyResponse()


class EchoedId(Matcher):
    """Accepts responses that carry the ID of the request."""

    def __init__(self, header: str, call_id: str, required: bool):
        """Initializes the matcher.

        Args:
            header: Header of the ID in requests and responses.
            call_id: ID of the request.
            required: Whether the server echoes the ID in each response. If
                not, a response without an ID is accepted; otherwise only the
                first one on a connection is.
        """
        self._header = header
        self._call_id = call_id
        self._required = required

    def matches(self, headers: httputil.HTTPHeaders, is_first: bool) -> bool:
        """Whether a response carries the ID of the request."""
        echoed = headers.get(self._header)
        if echoed is None:
            return is_first or not self._required
        return echoed == self._call_id
