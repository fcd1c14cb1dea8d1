"""The rule by which a directory home lets another host take over an id."""

from __future__ import annotations

import dataclasses

from mustardscale.peers.directory_messages import DirectoryEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """A registration of an id that is already registered with its home.

    Attributes:
        known: the entry that the home has.
        new: the entry that is to replace the known one.
        takeover: whether the caller resumes its stream.
        rebuild: whether a host registers again an id that it already holds,
            such as with a new home.
        ended: whether the known entry has ended.
        holder_live: whether the process that holds the known entry is live.
        before_gap: whether the known entry dates from before the home was last
            cut off from the other hosts.
    """

    known: DirectoryEntry
    new: DirectoryEntry
    takeover: bool = False
    rebuild: bool = False
    ended: bool = False
    holder_live: bool = False
    before_gap: bool = False


def may_replace(registration: Registration) -> bool:
    """Returns whether the new entry may replace the known one."""
    known = registration.known
    new = registration.new
    same_holder = (known.host, known.incarnation) == (new.host, new.incarnation)
    if known.done:
        # A takeover may still deliver the rest of the answer; the id remains
        # answered.
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
    """Returns whether a host that registers again replaces the known holder.

    With equal attempts the known entry stays: a host whose stream was taken
    over while it was frozen may still register it.
    """
    return (
        registration.new.attempt > registration.known.attempt
        or not registration.holder_live
        or registration.before_gap
    )
