"""Decides which services get the decisions that are made for hard load.

Load pattern: short requests that are urgent share engines with long generations
that can wait. Where the long generations are the most urgent, first come, first
served by rank is what operators expect, and nothing changes.
"""

import dataclasses
from enum import StrEnum

from mastichatch_core.relay.model import Configuration


class LoadControl(StrEnum):
    """For which services a decision under load is made.

    ``ranked`` stands for the services whose configuration ranks short requests
    before long ones.
    """

    off = 'off'
    ranked = 'ranked'
    on = 'on'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadControls:
    """For which services each of the decisions under load is made.

    :param admission_forecast: requests that cannot be served in time are
        refused on arrival
    :param fair_shares: scarce room is shared among callers
    :param engine_speeds: engines are chosen by measured speed
    :param remote_share: nodes decide by measurements how many requests leave
        their data centre
    :param engine_urgency: engines are told how urgent requests are
    """

    admission_forecast: LoadControl = LoadControl.off
    fair_shares: LoadControl = LoadControl.off
    engine_speeds: LoadControl = LoadControl.off
    remote_share: LoadControl = LoadControl.off
    engine_urgency: LoadControl = LoadControl.off


def is_controlled(
    setting: LoadControl, configuration: Configuration | None, service: str
) -> bool:
    """Return whether a decision under load is made for a service.

    :param setting: setting of the node for this decision
    :param configuration: configuration in force, if any
    :param service: name of the service
    """
    if setting is not LoadControl.ranked:
        return setting is LoadControl.on
    if configuration is None:
        return False
    return service in configuration.short_first_services


def most_urgent_rank(
    configuration: Configuration | None, service: str
) -> int | None:
    """Return the most urgent rank of the streaming routes of a service.

    :param configuration: configuration in force, if any
    :param service: name of the service
    :returns: the rank; ``None`` without such a route
    """
    if configuration is None:
        return None
    return configuration.first_ranks.get(service)


def is_any_controlled(
    setting: LoadControl, configuration: Configuration | None
) -> bool:
    """Return whether a decision under load is made for any service.

    :param setting: setting of the node for this decision
    :param configuration: configuration in force, if any
    """
    if setting is not LoadControl.ranked:
        return setting is LoadControl.on
    return configuration is not None and bool(
        configuration.short_first_services
    )
