"""Limits how many requests a host sends to a version on trial.

Load pattern: every request of a service while a version of it is on trial, on
any number of hosts that do not coordinate. Each host exposes a fixed share of
its own requests, with a random phase, so that the sum over all hosts is that
share of all requests and the starting tokens, whatever hosts are added,
restarted or cut off.
"""

import math
from typing import Final

# Part of the share that is used; the rest is for requests that the store or
# the endpoints count otherwise.
SHARE_USED: Final = 0.9
# Part of the slack that is given out as tokens at the start.
SLACK_USED: Final = 0.7
# Part of the slack that is kept for the random phases of the hosts, as a
# multiple of the square root of their number: four standard deviations of the
# sum, with at most one half for each host.
PHASE_MARGIN: Final = 2.0
# Share of the period after which all starting tokens are released. All at once
# would be a burst at the few endpoints on trial.
RELEASED_AT: Final = 0.6
# Most tokens that a host saves up.
MAX_TOKENS: Final = 8.0


class ExposureAllowance:
    """Tokens of one host for the target of one service's roll-out.

    Keep it when an order is repeated with the same target.
    """

    def __init__(self, share: float, start: float) -> None:
        """Start with some tokens.

        :param share: share of the service's requests that the target may get
        :param start: tokens to start with, see :func:`start_tokens`
        """
        self._gain = share * SHARE_USED
        self._total = start
        self._released: float = 0
        self._tokens: float = 0

    @property
    def tokens(self) -> float:
        """Tokens left; negative after exposures that could not be avoided."""
        return self._tokens

    def record_request(self, progress: float = 1) -> None:
        """Add what a new request of the service earns.

        :param progress: time since the order, as a share of its period
        """
        released = self._total * min(1, progress / RELEASED_AT)
        gain = self._gain + max(0, released - self._released)
        self._released = max(self._released, released)
        self._tokens = min(MAX_TOKENS, self._tokens + gain)

    def try_expose(self) -> bool:
        """Take the token for one request to the target.

        :returns: whether there was one
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def record_exposure(self) -> None:
        """Take a token for a request that goes to the target in any case."""
        self._tokens -= 1

    def return_exposure(self) -> None:
        """Give back the token of a request that was proven not to be sent."""
        self._tokens = min(MAX_TOKENS, self._tokens + 1)


def start_tokens(
    slack: float, hosts: int, draw: float, *, is_order_new: bool = True
) -> float:
    """Return the tokens with which a host starts.

    A host that sends a share of its requests, rounded by a uniform random
    phase, sends that share on average, however few requests it has.

    :param slack: requests that the target may get beyond its share, from all
        hosts together
    :param hosts: number of hosts, the most that this host has heard of
    :param draw: random number, uniform from 0 to 1
    :param is_order_new: whether the host was running when the order came; one
        that started later may have started with tokens before
    """
    count = max(1, hosts)
    margin = PHASE_MARGIN * math.sqrt(count)
    phase = draw * min(1, slack / margin)
    if not is_order_new:
        return phase
    given = min(slack * SLACK_USED, max(0, slack - margin))
    return phase + given / count
