"""Which members of a data centre obey a scheduler, and its share of budgets.

A member obeys the highest term that it has seen and registers there. Of two
schedulers that are open at once, each therefore counts other members, and the
shares of both add up to one at most. See docs/design/03-scheduler.md.
"""

import dataclasses
from typing import Final

JOIN_DELAY_S: Final = 0.5


@dataclasses.dataclass(slots=True)
class _Member:
    joined_at: float
    # When its newest registration came.
    registered_at: float
    # When it was sure to obey: a registration may have been held on its way.
    obeyed_at: float
    sequence: int
    # The newest registration that told, one by one or in sum, of all permits.
    told: int
    listed: bool = True


class Reach:
    """The members expected, heard and registered under one term."""

    def __init__(self, timeout: float, now: float) -> None:
        """Start with nobody registered.

        :param timeout: silence after which a member is not counted, in seconds
        :param now: time in seconds
        """
        self._timeout = timeout
        self._opened_at = now
        self._expected: frozenset[str] = frozenset()
        self._heard: frozenset[str] = frozenset()
        self._members: dict[str, _Member] = {}
        self._keeper = False
        self._ever_expected: frozenset[str] = frozenset()

    @property
    def keeper(self) -> bool:
        """Whether every expected member has obeyed this term at one time."""
        return self._keeper

    def restart(self, now: float) -> None:
        """Forget all registrations, at the start of a new term.

        :param now: time in seconds
        """
        self._opened_at = now
        self._members.clear()
        self._keeper = False
        self._ever_expected = self._expected

    def note_members(
        self, expected: frozenset[str], heard: frozenset[str]
    ) -> None:
        """Note the nodes of the data centre.

        :param expected: names of the nodes that are not known to be gone
        :param heard: names of the nodes that answered within the timeout
        """
        self._expected = expected
        self._heard = heard
        self._ever_expected |= expected

    def note_registration(
        self, node: str, sequence: int, now: float, announced_at: float
    ) -> bool:
        """Note that a node obeys this term and named all its permits.

        :param node: name of the node
        :param sequence: sequence of its registration
        :param now: time in seconds
        :param announced_at: when the announcement that it answers was sent
        :returns: whether the registration is newer than the last one
        """
        member = self._members.get(node)
        if member is None or now - member.obeyed_at > self._timeout:
            self._members[node] = _Member(
                now, now, announced_at, sequence, sequence
            )
            return True
        if not _renew(member, sequence, now, announced_at):
            return False
        member.told = sequence
        member.listed = True
        return True

    def note_renewal(
        self, node: str, sequence: int, now: float, announced_at: float
    ) -> bool:
        """Note that a member still obeys, whatever permits it holds.

        One that is new, or was silent, counts only once it named its permits.

        :param node: name of the node
        :param sequence: sequence of its registration
        :param now: time in seconds
        :param announced_at: when the announcement that it answers was sent
        :returns: whether the registration is newer than the last one
        """
        member = self._members.get(node)
        if member is None:
            return False
        if now - member.obeyed_at > self._timeout:
            member.listed = False
            return False
        return _renew(member, sequence, now, announced_at)

    def note_summary(self, node: str, *, matches: bool) -> None:
        """Note whether a member's newest registration told of all permits.

        :param node: name of a member
        :param matches: whether its summary is of the permits known here
        """
        member = self._members[node]
        if matches:
            member.told = member.sequence
        else:
            member.listed = False

    def is_listed(self, node: str) -> bool:
        """Return whether a node's permits are known from its list.

        :param node: name of the node
        """
        member = self._members.get(node)
        return member is not None and member.listed

    def told(self, node: str) -> int | None:
        """Return the newest registration that told of all a node's permits.

        :param node: name of the node
        :returns: its sequence, or ``None`` where there was none
        """
        member = self._members.get(node)
        return None if member is None else member.told

    def registration(self, node: str) -> tuple[int, float] | None:
        """Return a node's newest registration.

        :param node: name of the node
        :returns: its sequence and its arrival in seconds
        """
        member = self._members.get(node)
        if member is None:
            return None
        return (member.sequence, member.registered_at)

    def ready(self, now: float) -> bool:
        """Return whether the registrations are in, or waited for enough.

        :param now: time in seconds
        """
        if self._heard and self._heard <= self._obeying(now):
            return True
        return now - self._opened_at >= self._timeout

    def covers(self, reported_at: float, *, handed_over: bool) -> bool:
        """Return whether nothing unknown can run at an endpoint.

        Members that are silent, or that restarted, do not tell what runs for
        them; a report taken once they can no longer start anything does.

        :param reported_at: when the endpoint's report was taken, in seconds
        :param handed_over: whether the scheduler before told of the endpoint
        """
        if self._ever_expected <= self._members.keys():
            return handed_over or reported_at >= self._opened_at
        return reported_at >= self._opened_at + JOIN_DELAY_S

    def share(self, now: float) -> float:
        """Return the share of every budget that this scheduler may use.

        :param now: time in seconds
        :returns: from zero to one
        """
        obeying = self._obeying(now)
        if self._expected and self._expected <= obeying:
            self._keeper = True
            return 1.0
        counted = {
            node
            for node in obeying & self._expected
            if now - self._members[node].joined_at >= JOIN_DELAY_S
        }
        return len(counted) / max(1, len(self._expected))

    def _obeying(self, now: float) -> set[str]:
        return {
            node
            for node, member in self._members.items()
            if node in self._heard and now - member.obeyed_at <= self._timeout
        }


def _renew(
    member: _Member, sequence: int, now: float, announced_at: float
) -> bool:
    if sequence < member.sequence:
        return False
    member.registered_at = now
    member.obeyed_at = max(member.obeyed_at, announced_at)
    member.sequence = sequence
    return True
