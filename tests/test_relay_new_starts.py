"""Tests that nothing known of one start of an endpoint is used for the next.

It comes back under the id and at the address that it had, before its entry has
expired.
"""

import pytest

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.engine_choice import measure_loads
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_node.clock import loop_time
from tests.relay_nodes import RelayFixture, known_endpoints, open_relay, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint


def known(relay: RelayFixture) -> Endpoint:
    """Return the endpoint as the node knows it."""
    return known_endpoints(relay.node)['i-a']


async def start_again(
    relay: RelayFixture, endpoint: HouseEndpoint, service: str
) -> None:
    """Let an endpoint start again under its id, and register."""
    endpoint.born += 1
    started = endpoint.born
    await relay.store.put('servers/i-a', endpoint.entry(service, 'north'))
    await until(lambda: known(relay).started_ms == started)


class TestNewStartUnderTheSameId:
    async def test_its_failures_and_open_breaker_are_forgotten(self) -> None:
        app = HouseEndpoint('i-a', endpoints.reset)
        async with open_relay((app,)) as relay:
            for number in range(6):
                await relay.call('/book/x', request_id=f'r{number}')
            records = relay.node.relay._context.records
            assert records.get(known(relay).instance).failure_share > 0.5
            app.script = endpoints.respond_ok
            await start_again(relay, app, 'app')
            assert records.get(known(relay).instance).failure_share == 0
            assert (await relay.call('/book/x')).status == 200

    async def test_it_is_not_avoided_for_the_earlier_one(self) -> None:
        engine = HouseEndpoint('i-a', endpoints.stream(3))
        async with open_relay((), (engine,)) as relay:
            records = relay.node.relay._context.records
            records.get(known(relay).instance).avoid(loop_time() + 60)
            await start_again(relay, engine, 'llm')
            stats = records.get(known(relay).instance)
            assert not stats.is_avoided(loop_time())

    async def test_what_a_peer_tells_of_the_earlier_one_is_ignored(
        self,
    ) -> None:
        app = HouseEndpoint('i-a', endpoints.respond_ok)
        async with open_relay((app,)) as relay:
            earlier = known(relay).instance
            await start_again(relay, app, 'app')
            assert not relay.node.belief.mark_draining(earlier)
            assert known(relay).state is EndpointState.ready

    async def test_the_earlier_one_left_and_this_one_has_not(self) -> None:
        app = HouseEndpoint('i-a', endpoints.respond_ok)
        async with open_relay((app,)) as relay:
            assert relay.node.belief.mark_draining(known(relay).instance)
            await start_again(relay, app, 'app')
            assert (await relay.call('/book/x')).status == 200

    async def test_it_has_none_of_the_load_of_the_earlier_one(self) -> None:
        engine = HouseEndpoint('i-a', endpoints.stream(3))
        async with open_relay((), (engine,)) as relay:
            earlier = known(relay).instance
            await start_again(relay, engine, 'llm')
            run = Run(
                request_id='r',
                service='llm',
                state=RunState.running,
                endpoint=earlier,
                prompt_tokens=100,
                expected_tokens=100,
            )
            assert known(relay).instance not in measure_loads((run,))

    @pytest.mark.parametrize('is_silent', [True, False])
    async def test_it_is_used_while_the_store_is_away(
        self, is_silent: bool
    ) -> None:
        """Requests name the id alone, which the next start has as well."""
        app = HouseEndpoint('i-a', endpoints.respond_ok)
        async with open_relay((app,)) as relay:
            relay.store.is_silent = is_silent
            relay.store.refuse_status = 0 if is_silent else 503
            app.crash()
            assert (await relay.call('/book/x')).status >= 500
            await app.restart(keeps_id=True)
            assert (await relay.call('/book/x')).status == 200
