"""Callers that open flows and send requests, for the demo and tests."""

import asyncio
import collections
import random
import uuid

import attrs
from tornado import httpclient

from limpetlift.transport import udp


@attrs.define
class FlowCaller:
    """A caller that sends numbered datagrams and checks the answers.

    :param address: ``(ip, port)`` of the service.
    :param ip: source address.
    :param backends: names of the backend servers that answered.
    :param mixed: number of answers whose content was not sent on this flow.
    """

    address: tuple
    ip: str
    backends: set = attrs.field(factory=set)
    sent: int = 0
    answered: int = 0
    mixed: int = 0
    _socket: object = None

    def open(self):
        """Open the socket on a free port of the source address."""
        self._socket = udp.UdpSocket((self.ip, 0), self._receive)

    def send(self):
        """Send the next datagram."""
        self.sent += 1
        self._socket.send(b"%d" % self.sent, self.address)

    def _receive(self, data, _address):
        backend, _, number = data.partition(b" ")
        self.backends.add(backend.decode("ascii"))
        if not number.isdigit() or int(number) > self.sent:
            self.mixed += 1
        self.answered += 1

    @property
    def broken(self):
        """Whether no backend server answered, or more than one."""
        return len(self.backends) != 1

    def close(self):
        """Close the socket."""
        self._socket.close()


@attrs.define
class RequestCounts:
    """Counts of the outcomes of requests.

    :param wrong: number of answers whose body differs from the request's.
    """

    sent: int = 0
    answered: int = 0
    wrong: int = 0
    refused_by_code: collections.Counter = attrs.field(
        factory=collections.Counter
    )


async def send_request(url_bases, counts, seed, body_bytes=64, work_ms=5):
    """Send one request with a new key and retry it while it was not run.

    :param url_bases: base URLs of the balancers; a random one is used.
    :param counts: the :class:`RequestCounts` to update.
    :param seed: seed of the key, the body and the choice of balancers.
    :param work_ms: milliseconds that the backend server works on it.
    """
    rng = random.Random(seed)
    client = httpclient.AsyncHTTPClient()
    key = str(uuid.UUID(int=rng.getrandbits(128)))
    body = rng.randbytes(body_bytes)
    counts.sent += 1
    for attempt in range(5):
        try:
            response = await client.fetch(
                "%s/work?ms=%d" % (rng.choice(url_bases), work_ms),
                method="POST",
                body=body,
                headers={
                    "Idempotency-Key": key,
                    "X-Request-Timeout-Ms": "10000",
                },
                request_timeout=12.0,
                raise_error=False,
            )
        except OSError:
            # The balancer has stopped; retry with the same key, which another
            # balancer accepts.
            await asyncio.sleep(0.05 * (attempt + 1))
            continue
        if response.code == 200:
            counts.answered += 1
            counts.wrong += response.body != body
            return
        code = response.headers.get("X-Refusal-Code", str(response.code))
        outcome = response.headers.get("X-Request-Outcome", "not_run")
        counts.refused_by_code[code] += 1
        if outcome != "not_run":
            return
        await asyncio.sleep(0.05 * (attempt + 1))
