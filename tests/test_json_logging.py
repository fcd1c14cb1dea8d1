"""Tests of the logs as JSON lines."""

import io
import json
import logging
import sys
import threading

import pytest

from mustardscale.endpoints.caller_requests import (
    LanguageRequest,
    prompt_from_text,
)
from mustardscale.exceptions import PeerFrameError
from mustardscale.outcomes import Outcome
from mustardscale.reporting import json_logging
from mustardscale.reporting.json_logging import (
    MAX_TEXT,
    JsonFormatter,
    LogOutput,
    configure_logging,
)

SECRET = 'peer-key-of-this-floor'
PROMPT = 'Assay of lot 17'


def line_of(message, *args, exc_info=None, **extra):
    logger = logging.Logger('mustardscale.test')
    lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(
        JsonFormatter([SECRET, '']).format(record)
    )
    logger.addHandler(handler)
    logger.warning(message, *args, exc_info=exc_info, extra=extra)
    (line,) = lines
    assert '\n' not in line
    return json.loads(line)


class TestFields:
    """What a line holds."""

    def test_all_fields(self):
        line = line_of('lost %s', 'b', code=Outcome.PEER_FRAME_MALFORMED, n=2)
        time = line.pop('time')
        assert time.endswith('+00:00')
        assert line == {
            'level': 'warning',
            'logger': 'mustardscale.test',
            'message': 'lost b',
            'code': 5001,
            'n': 2,
        }

    def test_numbered_code_as_argument(self):
        assert line_of('%d', Outcome.DRAINING)['message'] == '1003'

    def test_nested_values(self):
        state = {'streams': [{'emitted': 3, 'code': Outcome.DRAINING}], 1: ()}
        line = line_of('state', state=state)
        assert line['state'] == {
            'streams': [{'emitted': 3, 'code': 1003}],
            '1': [],
        }

    def test_exception(self):
        try:
            raise PeerFrameError(Outcome.PEER_FRAME_TOO_LARGE, 'x')
        except PeerFrameError as error:
            line = line_of('closed: %s', error, exc_info=sys.exc_info())
        assert 'PEER_FRAME_TOO_LARGE' in line['message']
        assert 'test_exception' in line['stack']

    @pytest.mark.parametrize('text', ['a\nb', '\ud800', '"}', '\0', '100%'])
    def test_any_text_gives_one_line(self, text):
        assert line_of(text, field=text)['level'] == 'warning'

    @pytest.mark.parametrize('count', [float('nan'), 2**70])
    def test_numbers_outside_json(self, count):
        assert line_of('n', count=count)['level'] == 'warning'

    def test_long_text_is_cut(self):
        assert len(line_of('x' * 10**5)['message']) == MAX_TEXT + 3


class TestContent:
    """What a line must not hold."""

    def test_secrets(self):
        error = ValueError(SECRET)
        line = line_of('key %s', SECRET, exc_info=error, other=SECRET)
        assert SECRET not in json.dumps(line)
        assert line['message'] == 'key ***'

    def test_prompts(self):
        request = LanguageRequest('id', 's', prompt_from_text(PROMPT), 1)
        line = line_of(
            'got %s',
            request,
            prompt=PROMPT,
            request=request,
            state={'all': [request], 'emitted': [PROMPT], 'x': [SECRET]},
        )
        assert PROMPT not in json.dumps(line)
        assert SECRET not in json.dumps(line)
        assert line['message'] == 'got <LanguageRequest>'
        assert PROMPT not in repr(request)

    @pytest.mark.parametrize('form', ['%d', '%s %s', 'none'])
    def test_arguments_that_do_not_fit(self, form):
        line = line_of(form, prompt_from_text(PROMPT))
        assert line['message'] == f'{form} (the arguments do not fit)'


class TestConfiguring:
    """The process's logging."""

    def test_level_and_stream(self):
        root = logging.getLogger()
        before, level = list(root.handlers), root.level
        stream = io.StringIO()
        try:
            output = configure_logging('info', [SECRET], stream)
            logging.getLogger('x').debug('hidden')
            logging.getLogger('x').info('shown %s', SECRET)
            output.close()
            output.close()
        finally:
            root.handlers[:] = before
            root.setLevel(level)
        (line,) = stream.getvalue().splitlines()
        assert json.loads(line)['message'] == 'shown ***'

    def test_stalled_stream_drops_lines_and_does_not_block(self, monkeypatch):
        monkeypatch.setattr(json_logging, 'MAX_QUEUED_LINES', 3)
        ready = threading.Event()
        stream = io.StringIO()
        write = stream.write
        stream.write = lambda text: ready.wait() and write(text)
        output = LogOutput(JsonFormatter(), stream)
        for number in range(20):
            output.handle(logging.makeLogRecord({'msg': str(number)}))
        ready.set()
        output.close()
        written = len(stream.getvalue().splitlines())
        assert written + output.dropped == 20
        assert written in (3, 4)
