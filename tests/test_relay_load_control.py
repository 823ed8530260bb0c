"""Decisions under load are made only where the configuration calls for them."""

import json

import pytest

from mastichatch_core.relay.load_control import (
    LoadControl,
    is_controlled,
    most_urgent_rank,
)
from mastichatch_core.relay.model import Configuration
from mastichatch_node.relay.settings import (
    RelaySettingsError,
    read_relay_settings,
)
from mastichatch_platform.documents import decode_configuration
from tests.relay_nodes import configuration


REQUIRED = {
    'MASTICHATCH_RELAY_NAME': 'north-1',
    'MASTICHATCH_RELAY_DATA_CENTRE': 'north',
    **{
        f'MASTICHATCH_RELAY_{name}_ADDRESS': '127.0.0.1:80'
        for name in ('CALLERS', 'READY', 'PEERS', 'METRICS', 'STORE')
    },
}


def _configured(short_rank: int, long_rank: int) -> Configuration:
    document = configuration()
    routes = [
        {
            'name': name,
            'host': 'h',
            'prefix': f'/{name}/',
            'kind': 'streaming',
            'timeout_ms': timeout_ms,
            'priority': rank,
            'service': 'llm',
        }
        for name, timeout_ms, rank in (
            ('tags', 6000, short_rank),
            ('plans', 39000, long_rank),
        )
    ]
    return decode_configuration(
        json.dumps({**document, 'routes': routes}).encode()
    )


@pytest.mark.parametrize(
    ('setting', 'short_rank', 'long_rank', 'is_expected'),
    [
        ('off', 0, 1, False),
        ('ranked', 0, 2, True),
        ('ranked', 1, 0, False),
        ('ranked', 1, 1, False),
        ('on', 1, 0, True),
    ],
)
def test_ranks_of_short_requests_switch_decisions_on(
    setting: str, short_rank: int, long_rank: int, is_expected: bool
) -> None:
    known = _configured(short_rank, long_rank)
    assert is_controlled(LoadControl(setting), known, 'llm') is is_expected
    assert not is_controlled(LoadControl.ranked, known, 'app')


def test_node_without_a_configuration_decides_as_before() -> None:
    assert not is_controlled(LoadControl.ranked, None, 'llm')


def test_setting_is_checked() -> None:
    settings = read_relay_settings(
        ['--engine-speeds', 'ranked', '--rollout-share', '0.1'], REQUIRED
    )
    assert settings.load_controls.engine_speeds is LoadControl.ranked
    assert settings.load_controls.fair_shares is LoadControl.off
    with pytest.raises(RelaySettingsError, match='off, ranked or on'):
        read_relay_settings(['--fair-shares', 'yes'], REQUIRED)


@pytest.mark.parametrize(('short_rank', 'long_rank'), [(0, 2), (3, 1)])
def test_most_urgent_rank_is_that_of_the_routes(
    short_rank: int, long_rank: int
) -> None:
    configured = _configured(short_rank, long_rank)
    assert most_urgent_rank(configured, 'llm') == min(short_rank, long_rank)
    assert most_urgent_rank(configured, 'app') is None
    assert most_urgent_rank(None, 'llm') is None
