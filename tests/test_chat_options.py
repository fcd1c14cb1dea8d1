"""Options of chat requests, from the body to the engines."""

import json

import pytest

from mustardscale.callers.chat_completions import parse_chat_request
from mustardscale.endpoints.engines import SamplingOptions
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from tests.callers_client import CHAT, code, served
from tests.test_memory_site import answer, language, run, whole

ALL = {
    'temperature': 0.5,
    'top_p': 0.9,
    'top_k': 40,
    'frequency_penalty': -1.5,
    'presence_penalty': 2,
    'stop': ['.', 'END'],
    'seed': -7,
}
SAMPLING = SamplingOptions(0.5, 0.9, 40, -1.5, 2, ('.', 'END'), -7)


def outcome_of(**members):
    """Returns how the parser ends for a body with some members."""
    try:
        parse_chat_request(json.dumps({**CHAT, **members}).encode())
    except OutcomeError as error:
        return error.outcome
    return Outcome.COMPLETE


class TestParsing:
    """What callers may ask for."""

    def test_options_are_read(self):
        chat = parse_chat_request(json.dumps({**CHAT, **ALL}).encode())
        assert chat.sampling == SAMPLING
        without = parse_chat_request(json.dumps(CHAT).encode())
        assert without.sampling == SamplingOptions()

    @pytest.mark.parametrize(
        ('name', 'value'),
        [
            ('temperature', 2.1),
            ('temperature', '1'),
            ('top_p', 0),
            ('top_k', 0),
            ('frequency_penalty', -2.5),
            ('stop', ''),
            ('stop', ['x'] * 17),
            ('stop', 'x' * 257),
            ('seed', 1 << 63),
            ('seed', 0.5),
        ],
    )
    def test_out_of_range(self, name, value):
        assert outcome_of(**{name: value}) is Outcome.MALFORMED_REQUEST

    @pytest.mark.parametrize(
        ('name', 'value'),
        [
            ('n', 2),
            ('n', True),
            ('best_of', 3),
            ('logprobs', True),
            ('top_logprobs', 2),
            ('logit_bias', {'5': 1}),
            ('tools', [{'type': 'function'}]),
            ('tool_choice', 'required'),
            ('functions', [{}]),
            ('function_call', {'name': 'f'}),
            ('response_format', {'type': 'json_object'}),
            ('modalities', ['text', 'audio']),
            ('audio', {'voice': 'x'}),
            ('prediction', {}),
            ('reasoning_effort', 'high'),
            ('web_search_options', {}),
        ],
    )
    def test_not_supported(self, name, value):
        assert outcome_of(**{name: value}) is Outcome.UNSUPPORTED_OPTION

    def test_what_asks_for_nothing_is_taken(self):
        neutral = {
            'n': 1,
            'logprobs': False,
            'tools': [],
            'tool_choice': 'none',
            'response_format': {'type': 'text'},
            'temperature': None,
            'user': 'someone',
        }
        assert outcome_of(**neutral) is Outcome.COMPLETE

    def test_nothing_runs_for_a_refused_one(self):
        async def test(client):
            status, _, body = await client.chat(n=2)
            assert (status, code(body)) == (422, Outcome.UNSUPPORTED_OPTION)
            assert not client.service.language_requests
            await client.chat(**ALL)
            (request,) = client.service.language_requests
            assert request.sampling == SAMPLING

        served(test)


class TestEngines:
    """What engines are told."""

    def test_both_roles_get_the_options_in_every_attempt(self):
        async def scenario(site):
            request = language(1, sampling=SAMPLING)
            decodes = [
                engine
                for engine in site.engines_by_id.values()
                if engine.parameters.role == 'decode'
            ]
            router = site.routers_by_host['entry-1']
            texts = []
            async for event in router.serve_language(request):
                if not texts:
                    for engine in decodes:
                        if engine.held_streams():
                            engine.kill()
                texts.extend(event.texts)
            assert texts == whole(request)
            plain = language(2)
            await answer(router, plain)
            told = [
                engine.counters.sampling_by_request
                for engine in site.engines_by_id.values()
            ]
            with_options = [by_id for by_id in told if by_id]
            assert len(with_options) >= 3
            assert all(
                by_id == {request.id: SAMPLING} for by_id in with_options
            )

        run(scenario)
