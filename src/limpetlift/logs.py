"""Logging of events, each as one line of ``key=value`` pairs."""

import logging
import sys

_QUOTED_CHARACTERS = set(" =\"'\\")


def _format_value(value):
    text = str(value)
    if (
        text
        and not _QUOTED_CHARACTERS.intersection(text)
        and text.isprintable()
    ):
        return text
    escaped = text.encode("unicode_escape").decode("ascii")
    return '"%s"' % escaped.replace('"', '\\"')


class KeyValueFormatter(logging.Formatter):
    """Formats a record as ``time= level= logger= event=`` and its fields.

    :param process: id of the process, written before the event unless it is
        empty.
    """

    def __init__(self, process=""):
        super().__init__()
        self._process = process

    def format(self, record):
        time = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        fields = {
            "time": "%s.%03d" % (time, record.msecs),
            "level": record.levelname.lower(),
            "logger": record.name,
        }
        if self._process:
            fields["process"] = self._process
        fields["event"] = record.getMessage()
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = repr(record.exc_info[1])
            fields["traceback"] = self.formatException(record.exc_info)
        return " ".join(
            "%s=%s" % (name, _format_value(value))
            for name, value in fields.items()
        )


class EventLogger:
    """Logs events with fields: ``log.info("flow_opened", key=key)``.

    :param name: name of the logger, relative to ``limpetlift``.
    """

    def __init__(self, name):
        self._logger = logging.getLogger("limpetlift." + name)

    def _log(self, level, event, fields, exc_info=None):
        if self._logger.isEnabledFor(level):
            self._logger.log(
                level, event, extra={"fields": fields}, exc_info=exc_info
            )

    def debug(self, event, **fields):
        """Log an event that is of interest only to developers."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event, **fields):
        """Log an event of normal operation."""
        self._log(logging.INFO, event, fields)

    def warning(self, event, **fields):
        """Log an event that an operator may have to investigate."""
        self._log(logging.WARNING, event, fields)

    def error(self, event, exc_info=None, **fields):
        """Log a failure."""
        self._log(logging.ERROR, event, fields, exc_info)


def configure(level, target):
    """Set up logging for the process.

    :param level: name of a level of :mod:`logging`, in lower or upper case.
    :param target: ``stderr``, ``stdout`` or the path of a file.
    """
    if target in ("stderr", "stdout"):
        handler = logging.StreamHandler(getattr(sys, target))
    else:
        handler = logging.FileHandler(target, delay=True)
    handler.setFormatter(KeyValueFormatter())
    install(handler, level.upper())


def install(handler, level):
    """Make ``handler`` the only handler of all loggers.

    :param level: lowest level that is logged, as a number or a name.
    """
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
