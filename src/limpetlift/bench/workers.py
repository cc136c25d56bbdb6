"""Processes under measurement, with a pipe for commands."""

import asyncio
import gc
import multiprocessing
import os
import time

from limpetlift.state import settings as settings_module
from limpetlift.tasks import control

KEY = "00112233445566778899aabbccddeeff"
_ANSWER_S = 60.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class WorkerFailed(Exception):
    """A process under measurement ended or did not answer."""


class Worker:
    """A process that runs ``target(connection, *arguments)``.

    Its first message on the pipe is kept as ``hello``.
    """

    def __init__(self, target, *arguments):
        context = multiprocessing.get_context("spawn")
        self._pipe, other = context.Pipe()
        self._process = context.Process(
            target=target, args=(other, *arguments), daemon=True
        )
        self._process.start()
        other.close()
        self.hello = self.receive()

    def __enter__(self):
        return self

    def __exit__(self, *_details):
        self._pipe.close()
        self._process.terminate()
        self._process.join()

    def processor_s(self):
        """Return the processor time used by the process, in seconds."""
        return processor_s(self._process.pid)

    def send(self, *command):
        """Send a command without waiting for its answer."""
        self._pipe.send(command)

    def receive(self):
        """Return the next message of the process."""
        if not self._pipe.poll(_ANSWER_S):
            raise WorkerFailed("no answer within %d s" % _ANSWER_S)
        try:
            return self._pipe.recv()
        except EOFError as error:
            raise WorkerFailed("the process ended") from error

    def ask(self, *command):
        """Send a command and return its answer."""
        self.send(*command)
        return self.receive()


def serve_commands(connection, handlers_by_name):
    """Answer commands on the running event loop until the pipe closes."""
    loop = asyncio.get_running_loop()
    done = loop.create_future()

    def on_readable():
        try:
            name, *arguments = connection.recv()
        except EOFError:
            loop.remove_reader(connection.fileno())
            done.set_result(None)
            return
        connection.send(handlers_by_name[name](*arguments))

    loop.add_reader(connection.fileno(), on_readable)
    return done


def processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    with open("/proc/%d/stat" % pid, encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes():
    """Return the resident memory of this process."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def node(name):
    """Return a :class:`limpetlift.tasks.control.Node` on a free port."""
    settings = settings_module.Settings(
        node=settings_module.Node(
            id=name, ip="127.0.0.1", port=0, data_centre="dc-0"
        ),
        admin=settings_module.Admin(port=0),
        security=settings_module.Security(keys=[KEY]),
    )
    return control.Node(settings, int(time.time() * 1000))
