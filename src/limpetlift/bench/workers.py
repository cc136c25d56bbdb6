"""Worker processes of the measurements, controlled through a pipe."""

import asyncio
import gc
import multiprocessing
import os
import pathlib
import time

from limpetlift.state import settings as settings_module
from limpetlift.tasks import control

KEY = "00112233445566778899aabbccddeeff"
_REPLY_TIMEOUT_S = 60.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class WorkerFailed(Exception):
    """A measured process ended early or did not reply as expected."""


class Worker:
    """A process that runs ``target(connection, *arguments)``.

    The constructor waits for the first message of the process on the pipe and
    keeps it as ``first_message``. Leaving the context ends the process.

    :param target: function at module level; ``connection`` is its end of the
        pipe.
    """

    def __init__(self, target, *arguments):
        spawn_context = multiprocessing.get_context("spawn")
        self._pipe, remote_end = spawn_context.Pipe()
        self._process = spawn_context.Process(
            target=target, args=(remote_end, *arguments), daemon=True
        )
        self._process.start()
        remote_end.close()
        self.first_message = self.receive()

    def __enter__(self):
        return self

    def __exit__(self, *_details):
        self._pipe.close()
        self._process.terminate()
        self._process.join()

    def processor_s(self):
        """Return the processor time that the process has used, in seconds."""
        return processor_s(self._process.pid)

    def send(self, *command):
        """Send a command without waiting for the reply."""
        self._pipe.send(command)

    def receive(self):
        """Wait for the next message of the process and return it.

        :raises WorkerFailed: if the process sends none in time or has ended.
        """
        if not self._pipe.poll(_REPLY_TIMEOUT_S):
            raise WorkerFailed(
                "worker process sent no message within %d s" % _REPLY_TIMEOUT_S
            )
        try:
            return self._pipe.recv()
        except EOFError as error:
            raise WorkerFailed(
                "worker process ended and closed its pipe"
            ) from error

    def call(self, *command):
        """Send a command and return the reply."""
        self.send(*command)
        return self.receive()


def serve_commands(connection, handlers_by_name):
    """Execute commands from the pipe on the running event loop.

    A command is a tuple of a name and arguments. The handler's result is sent
    back.

    :param handlers_by_name: function for each command name.
    :returns: a future that is done when the other end closes the pipe.
    """
    loop = asyncio.get_running_loop()
    closed = loop.create_future()

    def on_readable():
        try:
            name, *arguments = connection.recv()
        except EOFError:
            loop.remove_reader(connection.fileno())
            closed.set_result(None)
            return
        connection.send(handlers_by_name[name](*arguments))

    loop.add_reader(connection.fileno(), on_readable)
    return closed


def processor_s(pid):
    """Return the processor time that process ``pid`` has used, in seconds."""
    # The clock ticks in /proc/PID/stat are too coarse for runs of a few
    # milliseconds.
    schedstat_files = pathlib.Path("/proc/%d/task" % pid).glob("*/schedstat")
    return (
        sum(int(file.read_text().split()[0]) for file in schedstat_files) / 1e9
    )


def resident_bytes():
    """Return the resident memory of this process after garbage collection."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def node(name):
    """Return a :class:`limpetlift.tasks.control.Node` on a free port.

    :param name: id of the process.
    """
    settings = settings_module.Settings(
        node=settings_module.Node(
            id=name, ip="127.0.0.1", port=0, data_centre="dc-0"
        ),
        admin=settings_module.Admin(port=0),
        security=settings_module.Security(keys=[KEY]),
    )
    return control.Node(settings, int(time.time() * 1000))
