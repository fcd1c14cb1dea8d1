"""Logs as JSON lines, without secrets and without callers' content."""

from __future__ import annotations

import datetime
import enum
import logging
import logging.handlers
import queue
import sys
import threading
import traceback
from collections.abc import Iterable
from typing import Any, TextIO

import msgspec

# Longest message and longest text in another field, in characters.
MAX_TEXT = 2_000
# Longest stack trace, in characters; its end is kept.
MAX_TRACE = 8_000
# Lines that may wait to be written.
MAX_QUEUED_LINES = 10_000
# Seconds for which the last lines may take to be written.
CLOSE_S = 2.0
REDACTED = '***'

# Extra fields that would carry callers' content or credentials.
CONTENT_FIELDS = frozenset(
    {
        'answer',
        'authorization',
        'body',
        'emitted',
        'headers',
        'messages',
        'payload',
        'peer_key',
        'prompt',
        'text',
        'token',
    }
)

_STANDARD_FIELDS = frozenset(
    vars(logging.makeLogRecord({})) | {'message': '', 'asctime': ''}
)
_NUMBER_TYPES = (int, float, bool, type(None))
_PLAIN_TYPES = (str, *_NUMBER_TYPES)


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    The fields are time, level, logger, message, code (0 if none), stack when
    there is an exception, and those given as extra. Objects other than plain
    values, exceptions, and maps and lists of these are shown by class name
    only, since a request's representation holds the caller's prompt.
    """

    def __init__(self, secrets: Iterable[str] = ()):
        super().__init__()
        self._secrets = tuple(secret for secret in secrets if secret)
        self._encoder = msgspec.json.Encoder()

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line, without the line end."""
        line: dict[str, Any] = {
            'time': _time_text(record.created),
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': self._clean(_message(record)),
            'code': int(getattr(record, 'code', 0)),
        }
        if record.exc_info and record.exc_info[1] is not None:
            trace = ''.join(traceback.format_exception(record.exc_info[1]))
            line['stack'] = self._redact(trace)[-MAX_TRACE:]
        for name, value in vars(record).items():
            if name in _STANDARD_FIELDS or name in line:
                continue
            line[name] = self._field(name, value)
        return self._encoder.encode(line).decode()

    def _field(self, name: str, value: Any) -> Any:
        if name in CONTENT_FIELDS and not isinstance(value, _NUMBER_TYPES):
            return REDACTED
        return self._value(value)

    def _value(self, value: Any) -> Any:
        if isinstance(value, dict):
            return {
                self._clean(str(_plain(name))): self._field(name, item)
                for name, item in value.items()
            }
        if isinstance(value, list | tuple):
            return [self._value(item) for item in value]
        value = _plain(value)
        return self._clean(value) if isinstance(value, str) else value

    def _clean(self, text: str) -> str:
        text = self._redact(text)
        if len(text) > MAX_TEXT:
            text = text[:MAX_TEXT] + '...'
        return text

    def _redact(self, text: str) -> str:
        # Unpaired surrogates cannot be encoded.
        text = text.encode(errors='backslashreplace').decode()
        for secret in self._secrets:
            text = text.replace(secret, REDACTED)
        return text


class LogOutput(logging.handlers.QueueHandler):
    """Hands lines to a thread that writes them to a stream.

    A stream that takes no bytes thus does not stop the event loop. Lines that
    find the queue full are dropped and counted.

    Attributes:
        dropped: lines dropped so far.
    """

    def __init__(self, formatter: JsonFormatter, stream: TextIO):
        self._lines: queue.Queue[Any] = queue.Queue(MAX_QUEUED_LINES)
        super().__init__(self._lines)
        self.dropped = 0
        self.setFormatter(formatter)
        self._stopped = False
        writer = logging.StreamHandler(stream)
        self._listener = logging.handlers.QueueListener(self._lines, writer)
        self._listener.start()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Formats a record, here and not in the thread that writes it."""
        return logging.makeLogRecord({'msg': self.format(record)})

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line or drops it."""
        try:
            self._lines.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def write_line(self, line: str) -> None:
        """Queues a line that is formatted already, or drops it."""
        self.enqueue(logging.makeLogRecord({'msg': line}))

    def close(self) -> None:
        """Writes the queued lines, for at most CLOSE_S seconds."""
        if self._stopped:
            return
        self._stopped = True
        stopping = threading.Thread(target=self._stop, daemon=True)
        stopping.start()
        stopping.join(CLOSE_S)
        super().close()

    def _stop(self) -> None:
        self._lines.join()
        self._listener.stop()


def configure_logging(
    level: str, secrets: Iterable[str] = (), stream: TextIO | None = None
) -> LogOutput:
    """Sends all log records of the process to a stream as JSON lines.

    Args:
        level: lowest level, such as 'info'.
        secrets: texts to be replaced wherever they appear.
        stream: where to write; standard error if None.

    Returns:
        The handler; to be closed at the end of the process.
    """
    output = LogOutput(JsonFormatter(secrets), stream or sys.stderr)
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(output)
    root.setLevel(level.upper())
    return output


def _time_text(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec='milliseconds')


def _message(record: logging.LogRecord) -> str:
    try:
        return _filled_in(record)
    except (TypeError, ValueError, KeyError):
        # The logging package would print the arguments themselves.
        return f'{record.msg} (the arguments do not fit)'


def _filled_in(record: logging.LogRecord) -> str:
    if not record.args:
        return str(_plain(record.msg))
    if isinstance(record.args, tuple):
        return str(record.msg) % tuple(_plain(arg) for arg in record.args)
    return str(record.msg) % {
        name: REDACTED if name in CONTENT_FIELDS else _plain(arg)
        for name, arg in record.args.items()
    }


def _plain(value: Any) -> Any:
    if isinstance(value, _PLAIN_TYPES):
        return value
    if isinstance(value, enum.Enum):
        return value.name
    if isinstance(value, BaseException):
        return f'{type(value).__name__}: {value}'
    return f'<{type(value).__name__}>'
