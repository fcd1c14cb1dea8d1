"""The chat/completions JSON shape: requests, chunks and whole answers."""

from __future__ import annotations

import dataclasses
import time
from typing import Annotated

import msgspec
import xxhash

from mustardscale.callers.chat_options import OptionMembers, sampling_of
from mustardscale.endpoints.engines import SamplingOptions, TokenEvent
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome

# Tokens asked for at most; the profile's own limit is usually far lower.
MAX_TOKENS_LIMIT = 1_000_000

STREAM_END = b'data: [DONE]\n\n'

_Role = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]


@dataclasses.dataclass(slots=True)
class _TextPart:
    """A part of a message's content."""

    type: str
    text: str


@dataclasses.dataclass(slots=True)
class _Message:
    """One message of a conversation."""

    role: _Role
    content: str | list[_TextPart]


@dataclasses.dataclass(slots=True)
class _StreamOptions:
    """Options of a streamed answer."""

    include_usage: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Body(OptionMembers):
    """The members of a request that are read; others are ignored."""

    model: str
    messages: Annotated[list[_Message], msgspec.Meta(min_length=1)]
    max_tokens: _MaxTokens | None = None
    max_completion_tokens: _MaxTokens | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A request that was read.

    Attributes:
        model: name of the model.
        prompt: the conversation as one text.
        max_tokens: tokens wanted at most, MAX_TOKENS_LIMIT if not given.
        stream: whether the answer is streamed.
        include_usage: whether a streamed answer ends with the token counts.
        sampling: how engines choose tokens.
        segments: a hash of each message, in order.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    sampling: SamplingOptions
    segments: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Usage:
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int = 0
    total_tokens: int = 0

    def add(self, tokens: int) -> None:
        """Counts tokens of the answer."""
        self.completion_tokens += tokens
        self.total_tokens = self.prompt_tokens + self.completion_tokens


_decoder = msgspec.json.Decoder(_Body)


def parse_chat_request(body: bytes) -> ChatRequest:
    r"""Reads the body of a request.

    >>> parse_chat_request(
    ...     b'{"model": "m", "messages": [{"role": "user", "content": "hi"}]}'
    ... ).prompt
    'user: hi\n'

    Raises:
        OutcomeError: MALFORMED_REQUEST, UNSUPPORTED_OPTION.
    """
    try:
        content = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise OutcomeError(Outcome.MALFORMED_REQUEST, str(error)) from error
    messages = [_message_text(message) for message in content.messages]
    limits = [content.max_tokens, content.max_completion_tokens]
    given = [limit for limit in limits if limit is not None]
    options = content.stream_options or _StreamOptions()
    return ChatRequest(
        model=content.model,
        prompt=''.join(messages),
        max_tokens=min(given, default=MAX_TOKENS_LIMIT),
        stream=content.stream,
        include_usage=options.include_usage,
        sampling=sampling_of(content),
        segments=tuple(
            xxhash.xxh3_64_hexdigest(message.encode()) for message in messages
        ),
    )


def _message_text(message: _Message) -> str:
    """Returns a message as a piece of the prompt."""
    content = message.content
    if not isinstance(content, str):
        for part in content:
            if part.type != 'text':
                raise OutcomeError(
                    Outcome.MALFORMED_REQUEST,
                    f'content of type {part.type!r} is not supported',
                )
        content = ''.join(part.text for part in content)
    return f'{message.role}: {content}\n'


def event_id(request_id: str, index: int) -> str:
    """Returns the id of a server-sent event that ends with a token."""
    return f'{request_id}:{index}'


class ChunkEncoder:
    """Serialises the chunks of one streamed answer.

    The members that stay the same are encoded once for each stream.

    Attributes:
        usage: token counts so far, kept by the caller of this class.
    """

    __slots__ = ('_head', '_include_usage', '_request_id', 'usage')

    def __init__(
        self, request_id: str, model: str, usage: Usage, include_usage: bool
    ):
        head = msgspec.json.encode(
            {
                'id': request_id,
                'object': 'chat.completion.chunk',
                'created': int(time.time()),
                'model': model,
            }
        )
        self._head = head[:-1]
        self._request_id = request_id
        self._include_usage = include_usage
        self.usage = usage

    def encode(self, event: TokenEvent, last_index: int) -> bytes:
        """Serialises tokens as one server-sent event.

        Args:
            event: the tokens.
            last_index: index of the last token sent after this event.
        """
        delta = {'content': ''.join(event.texts)}
        if event.index == 0:
            delta['role'] = 'assistant'
        choice = {
            'index': 0,
            'delta': delta,
            'finish_reason': event.finish_reason or None,
        }
        return b'id: %b\ndata: %b,"choices":[%b]}\n\n' % (
            event_id(self._request_id, last_index).encode(),
            self._head,
            msgspec.json.encode(choice),
        )

    def end(self) -> bytes:
        """Serialises what follows the last tokens of a whole answer."""
        if not self._include_usage:
            return STREAM_END
        usage = msgspec.json.encode(self.usage)
        chunk = b'data: %b,"choices":[],"usage":%b}\n\n' % (self._head, usage)
        return chunk + STREAM_END


def encode_error_event(problem: bytes) -> bytes:
    """Serialises a problem as the last event of a broken stream."""
    return b'event: error\ndata: %b\n\n' % problem


def encode_completion(
    request_id: str, model: str, text: str, finish_reason: str, usage: Usage
) -> bytes:
    """Serialises an answer that is not streamed."""
    message = {'role': 'assistant', 'content': text}
    return msgspec.json.encode(
        {
            'id': request_id,
            'object': 'chat.completion',
            'created': int(time.time()),
            'model': model,
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': finish_reason,
                }
            ],
            'usage': usage,
        }
    )
