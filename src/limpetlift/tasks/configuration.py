"""Distribution of the configuration: its task, server and store client."""

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
    """Keeps the configuration of a process up to date.

    It sends the messages and makes the calls that a
    :class:`limpetlift.coordination.distribution.Distribution` returns.

    :param node: the :class:`limpetlift.tasks.control.Node`.
    :param members: the :class:`limpetlift.tasks.members.Members`.
    :param config_distribution: the ``Distribution``.
    :param store: a :class:`limpetlift.coordination.store.Store`, or ``None``.
    :param get_peer_ids: returns the ids of the balancers that may be
        witnesses.
    :param on_change: called with each new
        :class:`limpetlift.state.config.Configuration`.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        node,
        members,
        config_distribution,
        store,
        get_peer_ids,
        on_change,
    ):
        self._node = node
        self._members = members
        self._distribution = config_distribution
        self._store = store
        self._get_peer_ids = get_peer_ids
        self._on_change = on_change
        self._known_peer_ids = None
        self._background_tasks = set()
        self.configuration = None
        node.on_message("ConfigNotice", self._on_notice)
        members.on_revision = self._on_revision

    @property
    def ready(self):
        """Whether a configuration is in force.

        It is at least as new as the one in force before a restart.
        """
        return self._distribution.ready and self.configuration is not None

    def start(self):
        """Begin to exchange revisions, once the other processes are known."""
        self._known_peer_ids = frozenset()
        self.tick()

    def tick(self):
        """Report changed peers to the distribution and run its timers."""
        if self._known_peer_ids is None:
            return
        now = time.monotonic()
        peer_ids = frozenset(self._get_peer_ids())
        if peer_ids != self._known_peer_ids:
            self._known_peer_ids = peer_ids
            self._perform(self._distribution.on_view(now, sorted(peer_ids)))
        self._perform(self._distribution.tick(now))

    def on_store_read(self, head, data, current=False):
        """Handle a configuration read from the store.

        :param head: the :class:`limpetlift.coordination.distribution.Head`.
        :param data: the bytes of the configuration.
        :param current: whether ``head`` was certainly current, not stale.
        """
        now = time.monotonic()
        self._perform(
            self._distribution.on_store_read(now, head, data, current)
        )

    def _on_notice(self, sealed, message, address):
        notice = distribution.notice_from_message(message)
        self._perform(
            self._distribution.on_notice(
                time.monotonic(), sealed.sender, sealed.incarnation, notice
            )
        )

    def _on_revision(self, agent_id, revision):
        now = time.monotonic()
        self._perform(self._distribution.on_revision(now, agent_id, revision))

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, distribution.Notify):
                endpoint = self._members.endpoint(action.agent_id)
                if endpoint is not None:
                    self._node.send(action.notice.to_message(), endpoint)
            elif isinstance(action, distribution.PutInForce):
                self._put_in_force(action)
            elif isinstance(action, distribution.Pull):
                self._run_in_background(self._pull(action))
            elif isinstance(action, distribution.ReadStore):
                self._run_in_background(self._read_store())

    def _run_in_background(self, coroutine):
        background_task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(background_task)
        background_task.add_done_callback(self._background_tasks.discard)

    def _put_in_force(self, action):
        head = action.head
        try:
            self.configuration = config.decode(
                action.data, head.revision, head.digest.hex()
            )
        except exceptions.SettingsError as error:
            # The configuration may have settings of a newer version of
            # limpetlift, which this version rejects.
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

    async def _pull(self, action):
        try:
            async with asyncio.timeout(defaults.CONFIG_PULL_TIMEOUT_S):
                data = await self._fetch(action)
            actions = self._distribution.on_pulled(
                time.monotonic(), action.head, data
            )
        except (exceptions.LimpetliftError, TimeoutError) as error:
            LOG.warning(
                "config_pull_failed", peer=action.agent_id, error=error
            )
            actions = self._distribution.on_pull_failed(time.monotonic())
        self._perform(actions)

    async def _fetch(self, action):
        endpoint = self._members.endpoint(action.agent_id)
        if endpoint is None or action.head.size > defaults.MAX_CONFIG_BYTES:
            raise exceptions.ConfigIncomplete(
                "address of the peer unknown, or configuration larger than"
                " MAX_CONFIG_BYTES"
            )
        frames = await stream.connect(
            *endpoint, timeout_s=defaults.STORE_CONNECT_TIMEOUT_S
        )
        try:
            pull = messages.structs.ConfigPull(digest=action.head.digest)
            await frames.write(self._node.seal_frame(pull))
            data = b""
            while len(data) < action.head.size:
                chunk = messages.decode_frame(await frames.read())
                if not chunk.data or chunk.offset != len(data):
                    raise exceptions.ConfigIncomplete(
                        "a chunk from the peer is empty or out of order"
                    )
                data += chunk.data
            return data
        finally:
            frames.close()

    async def serve(self, frames):
        """Send the held configuration to a process that requests it.

        Sends nothing if the request names another digest.

        :param frames: a new connection, a
            :class:`limpetlift.transport.stream.FrameStream`.
        :raises ProtocolError: when the request is forged, replayed or
            malformed.
        """
        pull = self._node.open_frame(await frames.read(), "ConfigPull")
        if pull.digest != self._distribution.held.digest:
            return
        offset = 0
        for data in distribution.split_chunks(self._distribution.data):
            chunk = messages.structs.ConfigChunk(offset=offset, data=data)
            await frames.write(messages.encode_frame(chunk))
            offset += len(data)

    async def close(self):
        """Cancel the running pulls and reads of the store."""
        for background_task in self._background_tasks:
            background_task.cancel()


class ConfigServer:
    """Sends the configuration to processes that connect to a balancer.

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


async def find_seeds(settings, store, rng):
    """Return the seeds of the settings or, without them, the relays.

    The addresses of the relays are read from the store. The result is empty
    if the store is unavailable.

    :param store: a :class:`limpetlift.coordination.store.Store`, or ``None``.
    :param rng: source of the jitter.
    """
    if settings.seeds or store is None:
        return settings.seeds
    # Spreads the calls of processes that start at the same time.
    await asyncio.sleep(rng.random())
    try:
        return await relay.read_addresses(store)
    except exceptions.StoreUnavailable as error:
        LOG.warning("no_seeds", code=error.code, error=error)
        return []


def connect_store(settings, role, stack):
    """Return a :class:`limpetlift.coordination.store.Store`, or ``None``.

    :param settings: without endpoints of a store, the result is ``None``.
    :param role: kind of this process, for the ``User-Agent`` of the calls.
    :param stack: exit stack that closes the client.
    """
    if not settings.store.endpoints:
        return None
    transport = storehttp.HttpTransport(settings.store.endpoints, role)
    stack.callback(transport.close)
    return store_module.Store(transport, settings.store.prefix)
