"""The two deployments that the bench replays, as data."""

from __future__ import annotations

import dataclasses

from mustardscale.configuration.config_records import (
    Profile,
    ServiceChoice,
    ServiceKind,
)
from mustardscale.endpoints.engines import EngineRole
from standins.engine_parameters import EngineParameters

# Time of a message between two data centres, seconds one way.
DATA_CENTRE_DELAY_S = 0.0015
# Time of a message between a caller and an entry host, seconds one way.
CALLER_DELAY_S = 0.003
# Tokens that the engines gather into one event.
TOKENS_PER_EVENT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LanguageMix:
    """One language service's share of the requests, and what they are like.

    Attributes:
        service: name of the service.
        share: share of the language requests.
        templates: number of templates, one of which starts each prompt.
        template_blocks: blocks of a template.
        median_tokens: median of the lognormal part after the template.
        log_sigma: its log standard deviation.
        longest_tokens: limit of a prompt.
        reread_share: probability that a recent file is read again.
        output_median: median of the output, tokens.
        output_log_sigma: its log standard deviation.
        max_tokens: limit that the caller sets.
        batch: mean number of requests that one caller sends at once.
        cancel_share: share of the callers who cancel.
    """

    service: str
    share: float
    templates: int
    template_blocks: int
    median_tokens: float
    log_sigma: float
    longest_tokens: int
    reread_share: float
    output_median: float
    output_log_sigma: float
    max_tokens: int
    batch: float = 1.0
    cancel_share: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PlainMix:
    """One plain service's requests.

    Attributes:
        service: name of the service.
        rate_per_s: requests a second outside bursts.
        idempotent: whether a request may be run again.
        work_s: mean time that the endpoint works on one, seconds.
        burst_factor: multiple of the rate within bursts.
        burst_every_s: seconds from one burst to the next.
        burst_s: length of a burst, seconds.
    """

    service: str
    rate_per_s: float
    idempotent: bool
    work_s: float
    burst_factor: float = 1.0
    burst_every_s: float = 60.0
    burst_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """One engine.

    Attributes:
        name: names the endpoint.
        data_centre: where it stands.
        role: prefill or decode.
        model: the model loaded.
    """

    name: str
    data_centre: str
    role: EngineRole
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A customer's hosts, endpoints, profiles and requests.

    Attributes:
        name: names the deployment.
        data_centres: its data centres.
        model: the model that its language services use.
        prefill_engines: number of prefill engines.
        decode_engines: number of decode engines.
        plain_endpoints: number of endpoints of the plain service.
        entry_hosts: number of entry hosts.
        profile_by_name: the profiles.
        choice_by_service: the services.
        language: the language services' requests.
        plain: the plain services' requests.
        parameters: the engines' speed and size.
    """

    name: str
    data_centres: tuple[str, ...]
    model: str
    prefill_engines: int
    decode_engines: int
    plain_endpoints: int
    entry_hosts: int
    profile_by_name: dict[str, Profile]
    choice_by_service: dict[str, ServiceChoice]
    language: tuple[LanguageMix, ...]
    plain: tuple[PlainMix, ...]
    parameters: EngineParameters = dataclasses.field(
        default_factory=lambda: EngineParameters(
            tokens_per_event=TOKENS_PER_EVENT
        )
    )

    def engines(self) -> list[EngineSpec]:
        """Returns the engines, spread over the data centres in turn."""
        roles = [EngineRole.PREFILL] * self.prefill_engines
        roles += [EngineRole.DECODE] * self.decode_engines
        return [
            EngineSpec(
                f'{role.value}-{number}',
                self.data_centres[number % len(self.data_centres)],
                role,
                self.model,
            )
            for number, role in enumerate(roles)
        ]

    def profile(self, service: str) -> Profile:
        """Returns the profile that a service runs under."""
        return self.profile_by_name[self.choice_by_service[service].profile]


def _language(profile: str, model: str) -> ServiceChoice:
    return ServiceChoice(profile, ServiceKind.LANGUAGE, model)


def _plain(profile: str) -> ServiceChoice:
    return ServiceChoice(profile, ServiceKind.PLAIN)


KOBBERFONDEN = Deployment(
    name='kobberfonden',
    data_centres=('dk-east-1', 'dk-east-2', 'dk-east-3', 'dk-east-4'),
    model='katode-lm',
    prefill_engines=2,
    decode_engines=3,
    plain_endpoints=4,
    entry_hosts=6,
    profile_by_name={
        'interactive': Profile(
            weight=2.0,
            goodput_weight=3.0,
            overbook_probability=0.02,
            max_prompt_tokens=16_000,
            max_output_tokens=1_500,
            timeout_s=60.0,
        ),
        'lot-call': Profile(
            first_token_s=8.0,
            patience_s=20.0,
            goodput_weight=3.0,
            overbook_probability=0.02,
            max_output_tokens=3_000,
        ),
        'settlement': Profile(timeout_s=0.5, weight=2.0),
        'ledger': Profile(timeout_s=5.0),
    },
    choice_by_service={
        'assay-questions': _language('interactive', 'katode-lm'),
        'assay-summaries': _language('lot-call', 'katode-lm'),
        'warrant-reviews': _language('lot-call', 'katode-lm'),
        'position-lookups': _plain('settlement'),
        'lot-reservations': _plain('ledger'),
    },
    language=(
        LanguageMix(
            service='assay-questions',
            share=0.5,
            templates=3,
            template_blocks=1,
            median_tokens=600.0,
            log_sigma=1.1,
            longest_tokens=9_000,
            reread_share=0.4,
            output_median=180.0,
            output_log_sigma=0.8,
            max_tokens=1_500,
        ),
        LanguageMix(
            service='assay-summaries',
            share=0.35,
            templates=2,
            template_blocks=2,
            median_tokens=5_000.0,
            log_sigma=0.9,
            longest_tokens=40_000,
            reread_share=0.3,
            output_median=350.0,
            output_log_sigma=0.8,
            max_tokens=3_000,
            batch=2.0,
        ),
        LanguageMix(
            service='warrant-reviews',
            share=0.15,
            templates=2,
            template_blocks=3,
            median_tokens=7_000.0,
            log_sigma=0.8,
            longest_tokens=50_000,
            reread_share=0.3,
            output_median=500.0,
            output_log_sigma=0.9,
            max_tokens=3_000,
        ),
    ),
    plain=(
        PlainMix(
            service='position-lookups',
            rate_per_s=8.0,
            idempotent=True,
            work_s=0.02,
            burst_factor=8.0,
        ),
        PlainMix(
            service='lot-reservations',
            rate_per_s=1.0,
            idempotent=False,
            work_s=0.05,
            burst_factor=4.0,
        ),
    ),
)

VERGADERBORD = Deployment(
    name='vergaderbord',
    data_centres=('nl-west-1', 'nl-west-2', 'nl-west-3'),
    model='summary-llm',
    prefill_engines=2,
    decode_engines=4,
    plain_endpoints=3,
    entry_hosts=7,
    profile_by_name={
        'digests': Profile(
            first_token_s=20.0,
            patience_s=60.0,
            waste_weight=3.0,
            overbook_probability=0.002,
            max_output_tokens=4_000,
            timeout_s=240.0,
        ),
        'agendas': Profile(
            first_token_s=5.0,
            patience_s=20.0,
            waste_weight=3.0,
            overbook_probability=0.002,
            max_output_tokens=1_500,
        ),
        'availability': Profile(timeout_s=0.5, weight=2.0),
        'bookings': Profile(timeout_s=5.0),
    },
    choice_by_service={
        'room-digests': _language('digests', 'summary-llm'),
        'agenda-summaries': _language('agendas', 'summary-llm'),
        'availability-reads': _plain('availability'),
        'room-bookings': _plain('bookings'),
    },
    language=(
        LanguageMix(
            service='room-digests',
            share=0.4,
            templates=2,
            template_blocks=4,
            median_tokens=5_000.0,
            log_sigma=0.9,
            longest_tokens=45_000,
            reread_share=0.45,
            output_median=600.0,
            output_log_sigma=0.9,
            max_tokens=4_000,
            batch=3.0,
        ),
        LanguageMix(
            service='agenda-summaries',
            share=0.6,
            templates=4,
            template_blocks=1,
            median_tokens=1_000.0,
            log_sigma=1.3,
            longest_tokens=20_000,
            reread_share=0.3,
            output_median=250.0,
            output_log_sigma=0.8,
            max_tokens=1_500,
        ),
    ),
    plain=(
        PlainMix(
            service='availability-reads',
            rate_per_s=20.0,
            idempotent=True,
            work_s=0.015,
            burst_factor=3.0,
        ),
        PlainMix(
            service='room-bookings',
            rate_per_s=1.0,
            idempotent=False,
            work_s=0.05,
        ),
    ),
)

DEPLOYMENT_BY_NAME = {
    deployment.name: deployment for deployment in (KOBBERFONDEN, VERGADERBORD)
}
