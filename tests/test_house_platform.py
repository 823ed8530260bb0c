"""Tests of the house platform's adapter against a stand-in of its store."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mastichatch_platform import headers
from mastichatch_platform.documents import (
    decode_configuration,
    decode_endpoint,
    decode_rollout_order,
    encode_rollout_status,
)
from mastichatch_platform.store import StoreClient

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.model import MalformedError
from mastichatch_core.relay.rollouts.order import Phase
from mastichatch_core.relay.store import (
    ConflictError,
    HistoryGoneError,
    LeaseLapsedError,
    StoreUnavailableError,
    Transaction,
)
from mastichatch_node.relay.http_client import open_pool
from tests.relay_nodes import new_resources
from tests.standins.house_store import HouseStore, open_store


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[tuple[HouseStore, StoreClient]]:
    store = HouseStore()
    async with open_store(store) as address:
        with open_pool(0.5, new_resources()) as pool:
            yield store, StoreClient(address, pool)


class TestStore:
    async def test_pages_are_read_to_the_end(self) -> None:
        async with open_client() as (store, client):
            store.page_size = 2
            for number in range(5):
                await store.put(f'a/{number}', b'x')
            await store.put('b/1', b'y')
            view = await client.read_range('a/')
        assert [one.key for one in view.entries] == [
            f'a/{number}' for number in range(5)
        ]

    async def test_watch_returns_writes_and_deletions(self) -> None:
        async with open_client() as (store, client):
            before = store.revision
            await store.put('a/1', b'\x00\xff')
            await store.remove('a/1')
            view = await client.watch('a/', before, 1000)
        assert [one.value for one in view.entries] == [b'\x00\xff', None]
        assert view.revision == before + 2

    async def test_watch_without_changes_ends(self) -> None:
        async with open_client() as (store, client):
            view = await client.watch('', store.revision, 50)
        assert not view.entries

    async def test_watch_after_dropped_history_fails(self) -> None:
        async with open_client() as (store, client):
            store.first_revision = 500
            with pytest.raises(HistoryGoneError):
                await client.watch('', 100, 50)

    async def test_key_is_deleted_with_its_lease(self) -> None:
        async with open_client() as (store, client):
            lease = (await client.grant_lease(2000)).number
            await client.put('n/1', b'me', lease)
            await client.renew_lease(lease)
            assert store.items['n/1'].content == b'me'
            await client.end_lease(lease)
            assert 'n/1' not in store.items
            with pytest.raises(LeaseLapsedError):
                await client.renew_lease(lease)
            with pytest.raises(LeaseLapsedError):
                await client.put('n/1', b'me', lease)

    async def test_keys_are_written_only_if_others_are_as_expected(
        self,
    ) -> None:
        async with open_client() as (store, client):
            revision = await store.put('op/x', b'order')
            transaction = Transaction(
                expected={'op/x': revision, 'a/1': 0},
                puts={'a/1': b'record', 'b/1': b'status'},
            )
            await client.commit(transaction)
            with pytest.raises(ConflictError) as raised:
                await client.commit(transaction)
            written = {key: one.content for key, one in store.items.items()}
        assert written == {
            'op/x': b'order',
            'a/1': b'record',
            'b/1': b'status',
        }
        assert 'a/1' in {one.key for one in raised.value.entries}

    @pytest.mark.parametrize('status', [429, 500, 503])
    async def test_error_status_is_an_outage(self, status: int) -> None:
        async with open_client() as (store, client):
            store.refuse_status = status
            with pytest.raises(StoreUnavailableError):
                await client.read_range('')

    async def test_lost_response_is_an_outage_and_the_write_persists(
        self,
    ) -> None:
        async with open_client() as (store, client):
            lease = (await client.grant_lease(2000)).number
            store.lose_answers = True
            with pytest.raises(StoreUnavailableError):
                await client.put('n/1', b'me', lease)
            assert store.items['n/1'].content == b'me'

    async def test_unresponsive_store_is_an_outage(self) -> None:
        async with open_client() as (store, client):
            store.is_silent = True
            with pytest.raises(StoreUnavailableError):
                await client.read_range('')

    async def test_unreachable_store_is_an_outage(self) -> None:
        with open_pool(0.2, new_resources()) as pool:
            client = StoreClient('127.0.0.1:9', pool)
            with pytest.raises(StoreUnavailableError):
                await client.grant_lease(1000)


class TestEras:
    @pytest.mark.parametrize(
        ('named', 'era'),
        [
            (('7',), 8),
            (('7', '7'), 8),
            ((' 7',), 8),
            ((), 3),
            (('4', '7'), 3),
            (('-7',), 3),
            (('7.0',), 3),
            (('x',), 3),
            (('',), 3),
            (('٣',), 3),
            (('9' * 5000,), 3),
        ],
    )
    async def test_odd_values_name_no_era(
        self, named: tuple[str, ...], era: int
    ) -> None:
        async with open_client() as (store, client):
            store.era = 3
            await client.read_range('')
            store.era_values = named
            view = await client.watch('', store.revision, 0)
        assert view.era == era

    async def test_answer_of_a_former_era_is_none(self) -> None:
        async with open_client() as (store, client):
            client.confirm_era(3)
            store.era = 2
            with pytest.raises(StoreUnavailableError):
                await client.watch('', store.revision, 0)
            lease = 7001
            with pytest.raises(StoreUnavailableError):
                await client.put('n/1', b'me', lease)

    async def test_listing_that_a_change_of_era_crosses_is_read_again(
        self,
    ) -> None:
        async with open_client() as (store, client):
            store.page_size = 2
            for number in range(5):
                await store.put(f'a/{number}', b'x')
            copy = store.copy()
            await store.put('a/3', b'lost')
            await client.read_range('')
            listing = asyncio.ensure_future(client.read_range('a/'))
            pages = len(store.calls)
            while len(store.calls) < pages + 2:
                await asyncio.sleep(0)
            store.restore(copy)
            view = await listing
        assert {one.value for one in view.entries} == {b'x'}
        assert (view.era, view.revision) == (2, copy.revision)

    async def test_era_counts_once_two_answers_name_it(self) -> None:
        async with open_client() as (store, client):
            await client.read_range('')
            store.era = 2
            store.calls.clear()
            assert (await client.read_range('')).era == 2
            assert len(store.calls) == 2

    async def test_first_answer_with_an_odd_era_counts_for_nothing(
        self,
    ) -> None:
        """All later answers would be of a former era otherwise."""
        async with open_client() as (store, client):
            store.odd_eras = ['77']
            assert (await client.read_range('')).era == store.era
            assert (await client.watch('', store.revision, 0)).era == store.era

    async def test_pages_of_one_era_need_no_other_listing(self) -> None:
        async with open_client() as (store, client):
            store.page_size = 1
            for number in range(3):
                await store.put(f'a/{number}', b'x')
            assert (await client.read_range('')).era == store.era
            assert len(store.calls) == 3

    async def test_late_answer_of_the_first_era_is_none(self) -> None:
        """It names the number zero, which is not the same as none."""
        async with open_client() as (store, client):
            client.confirm_era(2)
            store.era_values = ('0',)
            with pytest.raises(StoreUnavailableError):
                await client.watch('', store.revision, 0)


class TestDocuments:
    @given(content=st.binary(max_size=200))
    def test_arbitrary_bytes_raise_only_malformed_error(
        self, content: bytes
    ) -> None:
        for decode in (
            decode_configuration,
            lambda document: decode_endpoint('servers/i', document),
        ):
            with contextlib.suppress(MalformedError):
                decode(content)

    def test_deeply_nested_document_is_malformed(self) -> None:
        with pytest.raises(MalformedError):
            decode_configuration(b'[' * 100_000)

    def test_endpoint_is_decoded(self) -> None:
        decoded = decode_endpoint(
            'servers/i-1',
            b'{"service":"app","address":"10.0.0.1:80","zone":"z",'
            b'"state":"draining","slots":6,"cold_left_ms":9,"born":77,'
            b'"something":"new"}',
        )
        assert decoded.registered_id == 'i-1'
        assert decoded.instance == 'i-1@77'
        assert decoded.data_centre == 'z'
        assert (decoded.cold_ms, decoded.started_ms) == (9, 77)

    @pytest.mark.parametrize('born', [b'0', b'-5', b'1' + b'0' * 400])
    def test_endpoint_without_a_valid_start_is_known_by_its_id(
        self, born: bytes
    ) -> None:
        decoded = decode_endpoint(
            'servers/i-1',
            b'{"service":"app","address":"10.0.0.1:80","zone":"z",'
            b'"state":"ready","born":%b}' % born,
        )
        assert decoded.instance == decoded.registered_id == 'i-1'

    @pytest.mark.parametrize(
        ('models', 'weights'),
        [
            ('[{"name":"b","version":2},{"name":"a","version":1}]', 2),
            ('[{"name":"a"},{"version":1},7,{"name":"a","version":"x"}]', 0),
            ('{"a":1}', 0),
            ('null', 0),
        ],
    )
    def test_versions_of_models_may_be_missing_or_odd(
        self, models: str, weights: int
    ) -> None:
        entry = (
            '{"service":"llm","address":"10.0.0.1:80","zone":"z",'
            f'"state":"ready","models":{models}}}'
        )
        decoded = decode_endpoint('servers/i-1', entry.encode())
        assert len(decoded.weights) == weights
        assert list(decoded.weights) == sorted(decoded.weights)

    @pytest.mark.parametrize('target', ['"v2"', '7'])
    def test_status_of_a_rollout_has_the_target_of_its_order(
        self, target: str
    ) -> None:
        content = f'{{"service":"app","target":{target},"period_s":12}}'
        entry = ViewEntry(
            key='op/rollout/app', revision=9, value=content.encode()
        )
        order = decode_rollout_order(entry)
        assert (order.service, order.period_s, order.revision) == ('app', 12, 9)
        assert order.target == target.strip('"')
        key, status = encode_rollout_status(Phase.completing, entry)
        assert key == 'status/rollout/app'
        assert status.decode() == f'{{"target":{target},"state":"serving"}}'

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'[]',
            b'{"service":"other","target":"v2","period_s":12}',
            b'{"service":"app","target":"","period_s":12}',
            b'{"service":"app","target":"v2","period_s":0}',
            b'{"service":"app","target":null,"period_s":12}',
        ],
    )
    def test_odd_order_is_malformed(self, content: bytes) -> None:
        with pytest.raises(MalformedError):
            decode_rollout_order(
                ViewEntry(key='op/rollout/app', revision=9, value=content)
            )


class TestHeaders:
    def test_request_headers_are_decoded(self) -> None:
        decoded = headers.read_facts(
            (
                (b'mastichatch-attempt-id', b'abc'),
                (b'mastichatch-deadline-ms', b'1500'),
                (b'authorization', b'Token k1'),
                (b'mastichatch-token-counts', b'1460,80'),
                (b'mastichatch-length-hint', b'40'),
                (b'mastichatch-prompt-prefix', b'5c:800, 91:410'),
            )
        )
        assert decoded.request_id == 'abc'
        assert decoded.timeout_ms == 1500
        assert decoded.api_key == 'k1'
        assert (decoded.prompt_tokens, decoded.output_limit) == (1460, 80)
        assert decoded.output_hint == 40
        assert [one.part for one in decoded.parts] == ['5c', '91']

    @given(
        content=st.binary(max_size=60).filter(lambda text: b'\n' not in text),
        name=st.sampled_from(
            (
                headers.TIMEOUT,
                headers.TOKEN_COUNTS,
                headers.PROMPT_PARTS,
                headers.OUTPUT_HINT,
                b'authorization',
            )
        ),
    )
    def test_arbitrary_header_values_raise_nothing(
        self, name: bytes, content: bytes
    ) -> None:
        headers.read_facts(((name, content),))

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        kept = headers.relayed_headers(
            (
                (b'host', b'h'),
                (b'connection', b'x-own, host'),
                (b'x-own', b'1'),
                (b'te', b'trailers'),
                (b'content-length', b'5'),
            ),
            ((b'a', b'b'),),
        )
        assert kept == ((b'host', b'h'), (b'a', b'b'))
