"""The rule by which a home lets another host take an id over."""

from __future__ import annotations

import dataclasses

from mustardscale.peers.directory_messages import DirectoryEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A registration of an id that its home knows already.

    Attributes:
        known: the entry that the home has.
        new: the entry that is to take its place.
        takeover: whether the caller resumes.
        rebuild: whether a holder registers with a new home.
        ended: whether the known entry has ended.
        holder_live: whether the process of the known entry is there.
        before_gap: whether the known entry is from before the home was cut
            off from the other hosts.
    """

    known: DirectoryEntry
    new: DirectoryEntry
    takeover: bool = False
    rebuild: bool = False
    ended: bool = False
    holder_live: bool = False
    before_gap: bool = False


def may_replace(registration: Registration) -> bool:
    """Returns whether the new entry may take the known one's place."""
    known = registration.known
    new = registration.new
    same_holder = (known.host, known.incarnation) == (new.host, new.incarnation)
    if known.done:
        # The rest of an answer is handed out; the id stays answered.
        return known.fingerprint == new.fingerprint and (
            registration.takeover or (same_holder and new.done)
        )
    if same_holder:
        return True
    if registration.rebuild:
        return not registration.ended and _may_rebuild(registration)
    if known.fingerprint != new.fingerprint:
        return False
    return (
        registration.ended
        or registration.takeover
        or not registration.holder_live
    )


def _may_rebuild(registration: Registration) -> bool:
    """Returns whether a holder's own word outweighs another's.

    With equal attempts the first stands: a host whose stream was taken
    over while it was frozen may still claim it.
    """
    return (
        registration.new.attempt > registration.known.attempt
        or not registration.holder_live
        or registration.before_gap
    )
