"""A request service for tests of the HTTP servers."""

import asyncio

from mustardscale.callers.service_api import RequestService
from mustardscale.configuration.config_records import ServiceChoice, ServiceKind
from mustardscale.endpoints.engines import TokenEvent
from mustardscale.endpoints.plain_endpoints import PlainAnswer
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

SERVICE_BY_TOKEN = {'lm-token': 'lm', 'ledger-token': 'ledger'}
CHOICE_BY_SERVICE = {
    'lm': ServiceChoice('noon', model='model-a'),
    'ledger': ServiceChoice('noon', ServiceKind.PLAIN),
}


class FakeService(RequestService):
    """Answers language requests with what `script` yields."""

    def __init__(self):
        self.language_requests = []
        self.plain_requests = []
        self.started = asyncio.Event()
        self.closed = asyncio.Event()
        self.ready = True
        self.script = [('a', 'b'), ('c',), 'stop']
        self.plain_answer = PlainAnswer(200, (('X-Kept', '1'),), b'lot 7')

    def authenticate(self, bearer_token):
        if bearer_token not in SERVICE_BY_TOKEN:
            raise OutcomeError(Outcome.UNAUTHENTICATED)
        return SERVICE_BY_TOKEN[bearer_token]

    async def serve_language(self, request):
        self.language_requests.append(request)
        self.started.set()
        index = 0 if request.resume_after is None else request.resume_after + 1
        try:
            for step in self.script:
                if isinstance(step, Exception):
                    raise step
                if isinstance(step, asyncio.Event):
                    await step.wait()
                elif isinstance(step, str):
                    yield TokenEvent(request.id, 1, index, (), step)
                else:
                    yield TokenEvent(request.id, 1, index, step)
                    index += len(step)
        finally:
            self.closed.set()

    async def serve_plain(self, request):
        self.plain_requests.append(request)
        if isinstance(self.plain_answer, Exception):
            raise self.plain_answer
        return self.plain_answer

    def service_kind(self, service):
        return self.service_choice(service).kind

    def service_choice(self, service):
        if service not in CHOICE_BY_SERVICE:
            raise OutcomeError(Outcome.UNKNOWN_SERVICE)
        return CHOICE_BY_SERVICE[service]

    def is_ready(self):
        return self.ready

    def dump(self):
        return {'pools': {}}

    def status(self):
        return {'host': 'e1', 'config_versions': {'profile/noon': 3}}
