"""Track the members that accept a scheduler's term, and its budget share.

A member accepts the highest term that it has seen and registers with that
scheduler only. If two schedulers are open at once, no member counts for both,
so their shares add up to at most one. See docs/design/03-scheduler.md.
"""

import dataclasses
from typing import Final

JOIN_DELAY_S: Final = 0.5


@dataclasses.dataclass(slots=True)
class _Member:
    joined_at: float
    # Arrival time of the newest registration.
    registered_at: float
    # Latest time at which the member certainly accepted the term. This is the
    # send time of the announcement that it answered, because the registration
    # itself may have been delayed in transit.
    accepted_at: float
    sequence: int
    # Sequence of the newest registration that covered all of the member's
    # permits, by a full list or by a matching summary.
    covered_sequence: int
    # Whether the scheduler knows the member's permits; if not, the member must
    # send a full list.
    permits_known: bool = True


class TermMembers:
    """Members that are expected, reachable and registered in one term."""

    def __init__(self, timeout: float, now: float) -> None:
        """Start without registered members.

        :param timeout: time in seconds after which a member that has not
            confirmed the term is no longer counted
        :param now: time in seconds
        """
        self._timeout = timeout
        self._opened_at = now
        self._expected: frozenset[str] = frozenset()
        self._reachable: frozenset[str] = frozenset()
        self._members: dict[str, _Member] = {}
        self._had_full_share = False
        self._ever_expected: frozenset[str] = frozenset()

    @property
    def had_full_share(self) -> bool:
        """Whether all expected members accepted this term at the same time."""
        return self._had_full_share

    def restart(self, now: float) -> None:
        """Discard all registrations at the start of a new term.

        :param now: time in seconds
        """
        self._opened_at = now
        self._members.clear()
        self._had_full_share = False
        self._ever_expected = self._expected

    def update_members(
        self, expected: frozenset[str], heard: frozenset[str]
    ) -> None:
        """Update the nodes of the data centre.

        :param expected: names of the nodes that are not known to have left
        :param heard: names of the nodes that answered within the timeout
        """
        self._expected = expected
        self._reachable = heard
        self._ever_expected |= expected

    def record_registration(
        self, node: str, sequence: int, now: float, announced_at: float
    ) -> bool:
        """Record a registration that lists all permits of a node.

        :param node: name of the node
        :param sequence: sequence number of the registration
        :param now: time in seconds
        :param announced_at: send time, in seconds, of the announcement that
            the registration answers
        :returns: whether the registration is newer than the last one
        """
        member = self._members.get(node)
        if member is None or now - member.accepted_at > self._timeout:
            self._members[node] = _Member(
                now, now, announced_at, sequence, sequence
            )
            return True
        if not _renew(member, sequence, now, announced_at):
            return False
        member.covered_sequence = sequence
        member.permits_known = True
        return True

    def record_renewal(
        self, node: str, sequence: int, now: float, announced_at: float
    ) -> bool:
        """Record that a member still accepts the term, without its permits.

        A new member, or one that timed out, counts only after it has listed
        its permits.

        :param node: name of the node
        :param sequence: sequence number of the registration
        :param now: time in seconds
        :param announced_at: send time, in seconds, of the announcement that
            the registration answers
        :returns: whether the registration is newer than the last one
        """
        member = self._members.get(node)
        if member is None:
            return False
        if now - member.accepted_at > self._timeout:
            member.permits_known = False
            return False
        return _renew(member, sequence, now, announced_at)

    def record_summary(self, node: str, *, matches: bool) -> None:
        """Record whether a member's newest summary covers all its permits.

        :param node: name of a member
        :param matches: whether the summary matches the permits known here
        """
        member = self._members[node]
        if matches:
            member.covered_sequence = member.sequence
        else:
            member.permits_known = False

    def knows_permits(self, node: str) -> bool:
        """Return whether a node's permits are known.

        :param node: name of the node
        """
        member = self._members.get(node)
        return member is not None and member.permits_known

    def covered_sequence(self, node: str) -> int | None:
        """Return the newest registration that covered all permits of a node.

        :param node: name of the node
        :returns: its sequence number, or ``None`` if there is none
        """
        member = self._members.get(node)
        return None if member is None else member.covered_sequence

    def latest_registration(self, node: str) -> tuple[int, float] | None:
        """Return a node's newest registration.

        :param node: name of the node
        :returns: its sequence number and its arrival time in seconds, or
            ``None`` if there is none
        """
        member = self._members.get(node)
        if member is None:
            return None
        return (member.sequence, member.registered_at)

    def is_registration_complete(self, now: float) -> bool:
        """Return whether grants need not wait for more registrations.

        All reachable members have registered, or the timeout has passed since
        the term began.

        :param now: time in seconds
        """
        if self._reachable and self._reachable <= self._accepting_members(now):
            return True
        return now - self._opened_at >= self._timeout

    def is_load_known(self, reported_at: float, *, handed_over: bool) -> bool:
        """Return whether all requests at an endpoint are accounted for.

        Members that are unreachable or have restarted do not report the
        requests that still run for them. The endpoint's own report includes
        these if it was taken when such members could no longer start requests.

        :param reported_at: when the endpoint's report was taken, in seconds
        :param handed_over: whether the previous scheduler handed over the
            endpoint's limit
        """
        if self._ever_expected <= self._members.keys():
            return handed_over or reported_at >= self._opened_at
        return reported_at >= self._opened_at + JOIN_DELAY_S

    def budget_share(self, now: float) -> float:
        """Return the share of every budget that this scheduler may use.

        Members that joined less than ``JOIN_DELAY_S`` ago do not count, unless
        all expected members accept the term.

        :param now: time in seconds
        :returns: a share from zero to one
        """
        accepting = self._accepting_members(now)
        if self._expected and self._expected <= accepting:
            self._had_full_share = True
            return 1.0
        counted = {
            node
            for node in accepting & self._expected
            if now - self._members[node].joined_at >= JOIN_DELAY_S
        }
        return len(counted) / max(1, len(self._expected))

    def _accepting_members(self, now: float) -> set[str]:
        return {
            node
            for node, member in self._members.items()
            if node in self._reachable
            and now - member.accepted_at <= self._timeout
        }


def _renew(
    member: _Member, sequence: int, now: float, announced_at: float
) -> bool:
    if sequence < member.sequence:
        return False
    member.registered_at = now
    member.accepted_at = max(member.accepted_at, announced_at)
    member.sequence = sequence
    return True
