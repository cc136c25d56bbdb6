"""The task that keeps the configuration of a process up to date."""

import asyncio
import time

from limpetlift.coordination import distribution
from limpetlift.coordination import publication
from limpetlift.coordination import store as store_module
from limpetlift.coordination import storehttp
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift import metrics
from limpetlift.protocol import messages
from limpetlift.state import config
from limpetlift.tasks import relay
from limpetlift.transport import stream

LOG = logs.EventLogger("configuration")


class ConfigurationTask:
    """Drives a :class:`limpetlift.coordination.distribution.Distribution`.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param members: the :class:`limpetlift.tasks.members.Members`.
    :param decisions: the ``Distribution``.
    :param store: the store client, or ``None``.
    :param peers: returns the ids of the balancers that may be witnesses.
    :param on_change: called with each new
        :class:`limpetlift.state.config.Configuration`.

    .. versionadded:: 0.1
    """

    def __init__(self, node, members, decisions, store, peers, on_change):
        self._node = node
        self._members = members
        self._decisions = decisions
        self._store = store
        self._peers = peers
        self._on_change = on_change
        self._known = None
        self._calls = set()
        self.configuration = None
        node.on_message("ConfigNotice", self._on_notice)
        members.on_revision = self._on_revision

    @property
    def ready(self):
        """Whether a configuration is in force that will not fall back."""
        return self._decisions.ready and self.configuration is not None

    def start(self):
        """The view of the other processes is complete."""
        self._known = frozenset()
        self.tick()

    def tick(self):
        """Run the timers."""
        if self._known is None:
            return
        now = time.monotonic()
        peers = frozenset(self._peers())
        if peers != self._known:
            self._known = peers
            self._perform(self._decisions.on_view(now, sorted(peers)))
        self._perform(self._decisions.tick(now))

    def on_store_read(self, head, data, current=False):
        """The store was read, by a relay or at the start."""
        now = time.monotonic()
        self._perform(self._decisions.on_store_read(now, head, data, current))

    def _on_notice(self, sealed, message, address):
        notice = distribution.notice_from_message(message)
        self._perform(
            self._decisions.on_notice(
                time.monotonic(), sealed.sender, sealed.incarnation, notice
            )
        )

    def _on_revision(self, agent_id, revision):
        now = time.monotonic()
        self._perform(self._decisions.on_revision(now, agent_id, revision))

    def _perform(self, steps):
        for step in steps:
            if isinstance(step, distribution.Notify):
                endpoint = self._members.endpoint(step.agent_id)
                if endpoint is not None:
                    self._node.send(step.notice.to_message(), endpoint)
            elif isinstance(step, distribution.PutInForce):
                self._put_in_force(step)
            elif isinstance(step, distribution.Pull):
                self._call(self._pull(step))
            elif isinstance(step, distribution.ReadStore):
                self._call(self._read_store())

    def _call(self, coroutine):
        call = asyncio.ensure_future(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    def _put_in_force(self, step):
        head = step.head
        try:
            self.configuration = config.decode(
                step.data, head.revision, head.digest.hex()
            )
        except exceptions.SettingsError as error:
            # A newer version may have settings that this one does not know.
            LOG.error("config_refused", revision=head.revision, problems=error)
            return
        LOG.info("config_in_force", revision=head.revision)
        metrics.CONFIG_REVISION.set(head.revision)
        self._on_change(self.configuration)
        self._members.set_config_revision(head.revision)

    async def _read_store(self):
        try:
            head, data = await publication.read_current(self._store)
            self.on_store_read(head, data, current=True)
        except exceptions.CoordinationError as error:
            LOG.warning("store_read_failed", code=error.code, error=error)

    async def _pull(self, step):
        try:
            async with asyncio.timeout(defaults.CONFIG_PULL_TIMEOUT_S):
                data = await self._fetch(step)
            steps = self._decisions.on_pulled(
                time.monotonic(), step.head, data
            )
        except (exceptions.LimpetliftError, TimeoutError) as error:
            LOG.warning("config_pull_failed", peer=step.agent_id, error=error)
            steps = self._decisions.on_pull_failed(time.monotonic())
        self._perform(steps)

    async def _fetch(self, step):
        endpoint = self._members.endpoint(step.agent_id)
        if endpoint is None or step.head.size > defaults.MAX_CONFIG_BYTES:
            raise exceptions.ConfigIncomplete("the peer cannot be asked")
        frames = await stream.connect(
            *endpoint, timeout_s=defaults.STORE_CONNECT_TIMEOUT_S
        )
        try:
            pull = messages.structs.ConfigPull(digest=step.head.digest)
            await frames.write(self._node.seal_frame(pull))
            data = b""
            while len(data) < step.head.size:
                chunk = messages.decode_frame(await frames.read())
                if not chunk.data or chunk.offset != len(data):
                    raise exceptions.ConfigIncomplete("chunk out of order")
                data += chunk.data
            return data
        finally:
            frames.close()

    async def serve(self, frames):
        """Answer the pull of another process on a new connection."""
        pull = self._node.open_frame(await frames.read(), "ConfigPull")
        if pull.digest != self._decisions.held.digest:
            return
        offset = 0
        for data in distribution.split_chunks(self._decisions.data):
            chunk = messages.structs.ConfigChunk(offset=offset, data=data)
            await frames.write(messages.encode_frame(chunk))
            offset += len(data)

    async def close(self):
        """Cancel the calls under way."""
        for call in self._calls:
            call.cancel()


class ConfigServer:
    """Serves pulls at the node's address of a balancer.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param task: the :class:`ConfigurationTask`.
    """

    def __init__(self, node, task):
        self._server = stream.FrameServer(self._serve)
        self._task = task
        ip, port = node.address
        self._server.listen(port, ip)

    async def _serve(self, frames):
        try:
            await self._task.serve(frames)
        except exceptions.ProtocolError as error:
            LOG.warning("pull_refused", code=error.code)

    def close(self):
        """Stop accepting connections."""
        self._server.stop()


async def find_seeds(settings, store, random):
    """Return the seeds of the settings, or else the relays in the store.

    :param store: the store client, or ``None``.
    :param random: source of the jitter.
    """
    if settings.seeds or store is None:
        return settings.seeds
    # Processes that start together must not call the store together.
    await asyncio.sleep(random.random())
    try:
        return await relay.read_addresses(store)
    except exceptions.StoreUnavailable as error:
        LOG.warning("no_seeds", code=error.code, error=error)
        return []


def connect_store(settings, role, stack):
    """Return the store client of the settings, or ``None``.

    :param stack: exit stack that closes the client.
    """
    if not settings.store.endpoints:
        return None
    transport = storehttp.HttpTransport(settings.store.endpoints, role)
    stack.callback(transport.close)
    return store_module.Store(transport, settings.store.prefix)
