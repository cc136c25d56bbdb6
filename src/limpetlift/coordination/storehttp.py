"""HTTP transport of the store client."""

import asyncio
import errno
import json

from tornado import httpclient
from tornado import simple_httpclient

from limpetlift import defaults
from limpetlift import exceptions

# With these errors no connection was established, so nothing was sent.
_NOT_SENT_ERRNOS = frozenset(
    (
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
    )
)
_MAX_RESPONSE_BYTES = 96 * 1024 * 1024


class HttpTransport:
    """Calls the gateways of the store over HTTP.

    A failed call is repeated at the next gateway until each was tried, but a
    write only if the failed call certainly had no effect.

    :param endpoints: ``ip:port`` of the gateways.
    :param role: role of the calling process, such as ``balancer``; part of
        the User-Agent header.

    .. versionadded:: 0.1
    """

    def __init__(self, endpoints, role):
        self._endpoints = list(endpoints)
        self._headers = {
            "Content-Type": "application/json",
            "User-Agent": "limpetlift/" + role,
        }
        self._client = _new_client(8)
        # An open watch occupies a connection. Watches have a client of their
        # own, so that they do not use up the connections of other calls.
        self._watch_client = _new_client(64)

    async def call(self, path, body, write):
        """Return the decoded response to a call.

        :param path: path of the call below ``/v3/``.
        :param body: JSON object of the request, as a dict.
        :param write: whether the call may change the store.
        :raises StoreUnavailable: when all gateways failed, without effect.
        :raises StoreOutcomeUnknown: when a write was sent and its response
            was lost.
        """
        last_error = exceptions.StoreUnavailable(
            "no endpoint of the store is configured"
        )
        for _ in range(len(self._endpoints)):
            try:
                return await self._call_first(path, body, write)
            except exceptions.StoreUnavailable as error:
                last_error = error
                self._rotate_endpoints()
        raise last_error

    def _rotate_endpoints(self):
        self._endpoints.append(self._endpoints.pop(0))

    def _request(self, path, body, **options):
        return httpclient.HTTPRequest(
            "http://%s/v3/%s" % (self._endpoints[0], path),
            method="POST",
            headers=self._headers,
            body=json.dumps(body),
            connect_timeout=defaults.STORE_CONNECT_TIMEOUT_S,
            **options,
        )

    async def _call_first(self, path, body, write):
        """Call the gateway that is first in the list of endpoints."""
        request = self._request(
            path, body, request_timeout=defaults.STORE_TIMEOUT_S
        )
        try:
            response = await self._client.fetch(request)
            return _decode(response.body)
        except (httpclient.HTTPError, OSError, ValueError) as error:
            self._raise_store_error(error, write)

    def _raise_store_error(self, error, write):
        message = "store gateway %s: %s" % (self._endpoints[0], error)
        if write and not _is_without_effect(error):
            self._rotate_endpoints()
            raise exceptions.StoreOutcomeUnknown(message) from error
        raise exceptions.StoreUnavailable(message) from error

    async def stream(self, path, body):
        """Yield the decoded messages of a stream until it ends.

        Each message is one line of JSON. A stream that reaches
        STORE_WATCH_TIMEOUT_S ends without an error.

        :param path: path of the call below ``/v3/``.
        :param body: JSON object of the request, as a dict.
        :raises StoreUnavailable: when the stream cannot be opened or ends
            with an error.
        """
        queue = asyncio.Queue()
        request = self._request(
            path,
            body,
            request_timeout=defaults.STORE_WATCH_TIMEOUT_S,
            streaming_callback=queue.put_nowait,
        )
        fetched = asyncio.ensure_future(self._watch_client.fetch(request))

        def on_end(future):
            # If the caller leaves the stream early, the future is not awaited;
            # reading its exception prevents a warning about that.
            future.exception()
            queue.put_nowait(None)

        fetched.add_done_callback(on_end)
        incomplete_line = b""
        while (chunk := await queue.get()) is not None:
            *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
            for line in lines:
                if line.strip():
                    yield self._decode_message(line)
        self._raise_stream_error(fetched)

    def _decode_message(self, line):
        try:
            return _decode(line)
        except ValueError as error:
            raise exceptions.StoreUnavailable(str(error)) from error

    def _raise_stream_error(self, fetched):
        """Raise the error of an ended stream, unless it was the timeout."""
        error = fetched.exception()
        if error is None or _is_timeout(error, "during request"):
            return
        self._rotate_endpoints()
        raise exceptions.StoreUnavailable(str(error)) from error

    def close(self):
        """Close the HTTP clients and their connections."""
        self._client.close()
        self._watch_client.close()


def _new_client(max_clients):
    return simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=_MAX_RESPONSE_BYTES,
    )


def _decode(data):
    message = json.loads(data)
    if not isinstance(message, dict):
        raise ValueError("the response of the store is not a JSON object")
    return message


def _is_timeout(error, phase):
    """Whether ``error`` is a timeout of tornado in this phase.

    Its exception has no attribute for the phase, only its message names it.
    """
    return isinstance(
        error, simple_httpclient.HTTPTimeoutError
    ) and phase in str(error)


def _is_without_effect(error):
    """Whether a write that failed with ``error`` certainly had no effect."""
    if _is_timeout(error, "connecting") or _is_timeout(error, "queue"):
        return True
    if isinstance(error, httpclient.HTTPError):
        # A gateway rejects a malformed or unauthorised request with 4xx.
        return 400 <= error.code < 500
    return isinstance(error, OSError) and error.errno in _NOT_SENT_ERRNOS
