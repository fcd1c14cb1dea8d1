"""Options of chat requests that engines take, and those that none can keep."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any

import msgspec

from mustardscale.endpoints.engines import SamplingOptions
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

_Temperature = Annotated[float, msgspec.Meta(ge=0, le=2)]
_TopP = Annotated[float, msgspec.Meta(gt=0, le=1)]
_TopK = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Penalty = Annotated[float, msgspec.Meta(ge=-2, le=2)]
_Seed = Annotated[int, msgspec.Meta(ge=-(1 << 63), le=(1 << 63) - 1)]
_Stop = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Stops = Annotated[list[_Stop], msgspec.Meta(max_length=16)]


@dataclasses.dataclass(slots=True, kw_only=True)
class OptionMembers:
    """The members of a request's body that change how tokens are chosen.

    Those after seed are not supported; a value that asks for nothing is taken.
    """

    temperature: _Temperature | None = None
    top_p: _TopP | None = None
    top_k: _TopK | None = None
    frequency_penalty: _Penalty | None = None
    presence_penalty: _Penalty | None = None
    stop: _Stop | _Stops | None = None
    seed: _Seed | None = None
    n: Any = None
    best_of: Any = None
    logprobs: Any = None
    top_logprobs: Any = None
    logit_bias: Any = None
    tools: Any = None
    tool_choice: Any = None
    functions: Any = None
    function_call: Any = None
    response_format: Any = None
    modalities: Any = None
    audio: Any = None
    prediction: Any = None
    reasoning_effort: Any = None
    web_search_options: Any = None


# The values of options that are not supported which ask for nothing.
_ACCEPTED_BY_OPTION: dict[str, tuple[Any, ...]] = {
    'n': (None, 1),
    'best_of': (None, 1),
    'logprobs': (None, False),
    'top_logprobs': (None, 0),
    'logit_bias': (None, {}),
    'tools': (None, []),
    'tool_choice': (None, 'none', 'auto'),
    'functions': (None, []),
    'function_call': (None, 'none', 'auto'),
    'response_format': (None, {'type': 'text'}),
    'modalities': (None, ['text']),
    'audio': (None,),
    'prediction': (None,),
    'reasoning_effort': (None, 'none'),
    'web_search_options': (None,),
}


def sampling_of(members: OptionMembers) -> SamplingOptions:
    """Returns the options for the engines.

    >>> sampling_of(OptionMembers(stop='.', n=1)).stop
    ('.',)

    Raises:
        OutcomeError: UNSUPPORTED_OPTION.
    """
    for name, accepted in _ACCEPTED_BY_OPTION.items():
        value = getattr(members, name)
        if not any(_is_same(value, item) for item in accepted):
            raise OutcomeError(
                Outcome.UNSUPPORTED_OPTION, f'{name!r} is not supported'
            )
    stop = members.stop or []
    return SamplingOptions(
        temperature=members.temperature,
        top_p=members.top_p,
        top_k=members.top_k,
        frequency_penalty=members.frequency_penalty,
        presence_penalty=members.presence_penalty,
        stop=(stop,) if isinstance(stop, str) else tuple(stop),
        seed=members.seed,
    )


def _is_same(value: Any, accepted: Any) -> bool:
    """Returns whether two JSON values are equal, 1 and true being different."""
    return type(value) is type(accepted) and value == accepted
