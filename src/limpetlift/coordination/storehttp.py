"""HTTP transport of the store client."""

import asyncio
import errno
import json

from tornado import httpclient
from tornado import simple_httpclient

from limpetlift import defaults
from limpetlift import exceptions

# With these errors no connection came to be, so nothing was sent.
_NOT_SENT = frozenset(
    (
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
    )
)
_MAX_ANSWER_BYTES = 96 * 1024 * 1024


class HttpTransport:
    """Calls the gateways of the store over HTTP.

    A read is tried at each gateway. A write goes on to the next gateway only
    when it was certainly not sent to this one.

    :param endpoints: ``ip:port`` of the gateways.
    :param role: what the calling process is, for the store's records.

    .. versionadded:: 0.1
    """

    def __init__(self, endpoints, role):
        self._endpoints = list(endpoints)
        self._headers = {
            "Content-Type": "application/json",
            "User-Agent": "limpetlift/" + role,
        }
        self._client = _new_client(8)
        # A watch occupies its connection, so it must not use up the others.
        self._watch_client = _new_client(64)

    async def call(self, path, body, write):
        """Return the decoded answer of one call.

        :raises StoreUnavailable: when no gateway was reached.
        :raises StoreOutcomeUnknown: when a write was sent and not answered.
        """
        error = exceptions.StoreUnavailable("no endpoint is configured")
        for _ in range(len(self._endpoints)):
            try:
                return await self._call_one(path, body, write)
            except exceptions.StoreUnavailable as failure:
                error = failure
                self._rotate()
        raise error

    def _rotate(self):
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

    async def _call_one(self, path, body, write):
        request = self._request(
            path, body, request_timeout=defaults.STORE_TIMEOUT_S
        )
        try:
            answer = await self._client.fetch(request)
            return _decode(answer.body)
        except (httpclient.HTTPError, OSError, ValueError) as error:
            self._raise(error, write)

    def _raise(self, error, write):
        message = "%s: %s" % (self._endpoints[0], error)
        if write and not _is_without_effect(error):
            self._rotate()
            raise exceptions.StoreOutcomeUnknown(message) from error
        raise exceptions.StoreUnavailable(message) from error

    async def stream(self, path, body):
        """Yield the decoded messages of a stream until it ends.

        :raises StoreUnavailable: when the stream cannot be opened or breaks.
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
            # Reading the exception here keeps a stream that was left early
            # from being reported as a task that nobody awaited.
            future.exception()
            queue.put_nowait(None)

        fetched.add_done_callback(on_end)
        rest = b""
        while (chunk := await queue.get()) is not None:
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                if line.strip():
                    yield self._decode_message(line)
        self._check_end(fetched)

    def _decode_message(self, line):
        try:
            return _decode(line)
        except ValueError as error:
            raise exceptions.StoreUnavailable(str(error)) from error

    def _check_end(self, fetched):
        error = fetched.exception()
        if error is None or _is_timeout(error, "during request"):
            return
        self._rotate()
        raise exceptions.StoreUnavailable(str(error)) from error

    def close(self):
        """Close the clients."""
        self._client.close()
        self._watch_client.close()


def _new_client(max_clients):
    return simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=max_clients,
        max_body_size=_MAX_ANSWER_BYTES,
    )


def _decode(data):
    answer = json.loads(data)
    if not isinstance(answer, dict):
        raise ValueError("the answer is not a JSON object")
    return answer


def _is_timeout(error, where):
    return isinstance(
        error, simple_httpclient.HTTPTimeoutError
    ) and where in str(error)


def _is_without_effect(error):
    if _is_timeout(error, "connecting") or _is_timeout(error, "queue"):
        return True
    if isinstance(error, httpclient.HTTPError):
        # A gateway refuses a malformed or unauthorised request with 4xx.
        return 400 <= error.code < 500
    return isinstance(error, OSError) and error.errno in _NOT_SENT
