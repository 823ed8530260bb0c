"""Decides which limit on requests a second is in force for a server.

A server names in its answers how many requests a second it takes from all hosts
together, for as long as it names it. What an answer says held after its request
was sent, so evidence is ordered by that time: an answer that arrives late does
not bring back an earlier limit. Hosts tell each other what they know, with the
age of the evidence.

Load pattern: a server in need names a limit in the few answers that it still
gives, and most hosts get none of them. Answers to requests that were sent
before arrive seconds later without it. When the limit ends, all hosts know it
within a second, and their requests would return at the same moment.
"""

import dataclasses
import math
import re
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

# No server of the target size gets a fraction of so many requests.
MAX_LIMIT_PER_S: Final = 1000.0
# Time after the end of a limit for which a server gets requests at a rate that
# doubles in each interval, from the limit or the first rate on.
RAMP_S: Final = 3.0
RAMP_DOUBLING_S: Final = 0.5
RAMP_FIRST_PER_S: Final = 1.0
# Time for which a limit that has ended is told to other hosts.
LIFTED_KEPT_S: Final = 30.0
# The age of evidence lacks the time that its message took. Evidence that
# hosts tell each other in circles would become newer with each message, and
# could outlive a newer answer, so that a gain up to this time is ignored.
TOLD_TOLERANCE_S: Final = 0.5

_NUMBER: Final = re.compile(
    r'[+-]?(?:\d+(?:\.\d*)?|\.\d+)(?:e[+-]?\d+)?', re.ASCII | re.IGNORECASE
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitNotice:
    """What an answer says of its server's limit.

    :param per_s: requests a second; ``None`` if it names no limit
    """

    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ToldLimit:
    """What one host tells another of a server's limit.

    :param instance: instance id of the server
    :param per_s: requests a second; ``None`` if it has no limit any more
    :param age_s: time since the request was sent whose answer said so, in
        seconds
    """

    instance: str
    per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Evidence:
    """The newest evidence of a server's limit.

    :param per_s: requests a second; ``None`` if the limit has ended
    :param sent_at: when the request was sent whose answer said so
    :param lifted_at: when this host learned that the limit has ended;
        ``None`` while it is in force
    :param lifted_per_s: the limit that has ended; zero while one is in force
    """

    per_s: float | None
    sent_at: float
    lifted_at: float | None
    lifted_per_s: float = 0


def read_notice(texts: Sequence[str]) -> LimitNotice | None:
    """Return what an answer says of its server's limit.

    :param texts: values of all headers of the answer that name a limit
    :returns: ``None`` if there are values, but no valid one, which changes
        nothing that is known
    """
    if not texts:
        return LimitNotice(per_s=None)
    limits = [limit for limit in map(_read_number, texts) if limit is not None]
    return LimitNotice(per_s=_bounded(min(limits))) if limits else None


class LimitTable:
    """The limits of servers, as answers and other hosts tell them.

    An answer without a limit leaves no evidence where no limit is known, since
    nearly all answers are such.
    """

    def __init__(self) -> None:
        """Start without limits."""
        self._known: dict[str, _Evidence] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any limit."""
        return not self._known

    def record_answer(
        self,
        instance: str,
        notice: LimitNotice | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what an answer says.

        :param instance: instance id of the server
        :param notice: what it says; ``None`` if that cannot be read
        :param sent_at: when its request was sent
        :param now: time in seconds
        :returns: whether the limit in force has changed
        """
        if notice is None:
            return False
        return self._record(instance, notice.per_s, min(sent_at, now), now)

    def record_told(self, told: ToldLimit, now: float) -> bool:
        """Record what another host tells; malformed values are ignored.

        :param told: what it tells
        :param now: time in seconds
        :returns: whether the limit in force has changed
        """
        if not _is_valid(told):
            return False
        per_s = _bounded(told.per_s)
        sent_at = now - told.age_s
        known = self._find(told.instance, now)
        if known is not None and known.per_s == per_s:
            if sent_at <= known.sent_at + TOLD_TOLERANCE_S:
                return False
        return self._record(told.instance, per_s, sent_at, now)

    def limit(self, instance: str, now: float) -> float | None:
        """Return a server's limit in requests a second; ``None`` without one.

        :param instance: instance id of the server
        :param now: time in seconds
        """
        known = self._find(instance, now)
        return None if known is None else known.per_s

    def rate(self, instance: str, now: float) -> float | None:
        """Return the requests a second that a server may get.

        That is its limit. After that has ended, the rate grows for some time,
        so that requests do not return all at once.

        :param instance: instance id of the server
        :param now: time in seconds
        :returns: ``None`` if it may get any number
        """
        known = self._find(instance, now)
        if known is None or known.lifted_at is None:
            return None if known is None else known.per_s
        passed_s = max(0, now - known.lifted_at)
        if passed_s >= RAMP_S:
            return None
        first_per_s = max(known.lifted_per_s, RAMP_FIRST_PER_S)
        return first_per_s * math.pow(2, passed_s / RAMP_DOUBLING_S)

    def find_told(self, instance: str, now: float) -> ToldLimit | None:
        """Return what to tell other hosts of a server's limit, if anything.

        :param instance: instance id of the server
        :param now: time in seconds
        """
        known = self._find(instance, now)
        if known is None:
            return None
        age_s = max(0, now - known.sent_at)
        return ToldLimit(instance=instance, per_s=known.per_s, age_s=age_s)

    def all_told(self, now: float) -> tuple[ToldLimit, ...]:
        """Return what to tell other hosts of all servers' limits.

        :param now: time in seconds
        """
        found = [
            self.find_told(instance, now) for instance in tuple(self._known)
        ]
        return tuple(told for told in found if told is not None)

    def in_force(self, now: float) -> Mapping[str, float]:
        """Return the limits in force, by instance id of the server.

        :param now: time in seconds
        """
        return {
            told.instance: told.per_s
            for told in self.all_told(now)
            if told.per_s is not None
        }

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget the servers that no longer exist.

        :param instances: instance ids of the servers that exist
        """
        for instance in self._known.keys() - set(instances):
            self._known.pop(instance)

    def _find(self, instance: str, now: float) -> _Evidence | None:
        known = self._known.get(instance)
        if known is None or known.lifted_at is None:
            return known
        if now - known.lifted_at < LIFTED_KEPT_S:
            return known
        self._known.pop(instance)
        return None

    def _record(
        self, instance: str, per_s: float | None, sent_at: float, now: float
    ) -> bool:
        known = self._find(instance, now)
        if known is None:
            if per_s is None:
                return False
        elif _rank(per_s, sent_at) <= _rank(known.per_s, known.sent_at):
            return False
        is_changed = known is None or known.per_s != per_s
        lifted_at: float | None = None
        lifted_per_s: float = 0
        if per_s is None and known is not None:
            lifted_at, lifted_per_s = known.lifted_at, known.lifted_per_s
            if known.per_s is not None:
                lifted_at, lifted_per_s = now, known.per_s
        self._known[instance] = _Evidence(
            per_s=per_s,
            sent_at=sent_at,
            lifted_at=lifted_at,
            lifted_per_s=lifted_per_s,
        )
        return is_changed


def _rank(per_s: float | None, sent_at: float) -> tuple[float, float]:
    """Return the order of evidence; the lower limit wins at the same time."""
    return sent_at, -math.inf if per_s is None else -per_s


def _read_number(text: str) -> float | None:
    stripped = text.strip()
    if _NUMBER.fullmatch(stripped) is None:
        return None
    number = float(stripped)
    return number if _is_amount(number) else None


def _bounded(per_s: float | None) -> float | None:
    return None if per_s is None or per_s > MAX_LIMIT_PER_S else per_s


def _is_valid(told: ToldLimit) -> bool:
    if not _is_amount(told.age_s):
        return False
    return told.per_s is None or _is_amount(told.per_s)


def _is_amount(number: float) -> bool:
    return math.isfinite(number) and number >= 0
