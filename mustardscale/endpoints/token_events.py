"""Selects the tokens of events that the caller has not received yet."""

from __future__ import annotations

import dataclasses

from mustardscale.endpoints.engines import TokenEvent
from mustardscale.endpoints.token_assembler import TokenAssembler


def next_tokens(
    assembler: TokenAssembler, event: TokenEvent
) -> TokenEvent | None:
    """Adds an event; returns the tokens that are now in order, or None."""
    index = assembler.next_index
    texts = assembler.add(event)
    if not texts and not assembler.finish_reason:
        return None
    return TokenEvent(
        event.request_id, event.attempt, index, texts, assembler.finish_reason
    )


def trim_event(event: TokenEvent, first_index: int) -> TokenEvent | None:
    """Returns the part of an event from an index on, None if there is none."""
    skip = first_index - event.index
    if skip <= 0:
        return event
    texts = event.texts[skip:]
    if not texts and not event.finish_reason:
        return None
    return dataclasses.replace(
        event, index=max(event.index, first_index), texts=texts
    )
