"""Tests of manifest validation."""

import copy
import json
import random
from typing import Any

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.manifest import ManifestError, validate

VALID: dict[str, Any] = {
    'data_centres': [{'name': 'north'}, {'name': 'south'}],
    'services': [
        {'name': 'rota', 'kind': 'model'},
        {
            'name': 'bookings',
            'kind': 'plain',
            'operations': [{'name': 'book'}],
        },
    ],
    'endpoints': [
        {
            'name': 'e1',
            'service': 'rota',
            'data_centre': 'north',
            'host': 'h1',
            'address': '10.0.0.1:80',
        },
        {
            'name': 'e2',
            'service': 'bookings',
            'data_centre': 'south',
            'host': 'h2',
            'address': '10.0.0.2:80',
        },
    ],
    'workspaces': [{'name': 'w1'}, {'name': 'w2', 'services': ['rota']}],
}


def faults(document: Any) -> dict[str, str]:
    """Return the reasons for which a document is rejected, by place."""
    content = document if isinstance(document, bytes) else json.dumps(document)
    with pytest.raises(ManifestError) as caught:
        validate(content if isinstance(content, bytes) else content.encode())
    assert isinstance(caught.value, MastichatchError)
    assert caught.value.kind is ErrorKind.manifest_invalid
    return {fault.place: fault.reason for fault in caught.value.faults}


def changed(path: list[str | int], value: Any) -> Any:
    """Return the valid manifest with one value changed."""
    document = copy.deepcopy(VALID)
    target: Any = document
    for part in path[:-1]:
        target = target[part]
    target[path[-1]] = value
    return document


class TestValidate:
    def test_defaults_are_filled_in(self) -> None:
        manifest = validate(json.dumps(VALID).encode())
        assert manifest.services[0].queue_limit == 512
        assert manifest.workspaces[1].services == ('rota',)

    @pytest.mark.parametrize(
        ('path', 'value', 'place'),
        [
            (['extra'], 1, '$'),
            (['data_centres'], [], 'data_centres'),
            (['services', 0, 'kind'], 'other', 'services[0].kind'),
            (['services', 0, 'queue_limit'], 0, 'services[0].queue_limit'),
            (['services', 0, 'queue_limit'], '9', 'services[0].queue_limit'),
            (['services', 0, 'queue_limit'], True, 'services[0].queue_limit'),
            (
                ['services', 0, 'operations'],
                [{'name': 'x'}],
                'services[0].operations',
            ),
            (['services', 1, 'operations'], [], 'services[1].operations'),
            (
                ['services', 1, 'operations'],
                [{'name': 'x'}, {'name': 'x'}],
                'services[1].operations[1].name',
            ),
            (['endpoints', 0, 'service'], 'none', 'endpoints[0].service'),
            (['endpoints', 0, 'data_centre'], 'x', 'endpoints[0].data_centre'),
            (['endpoints', 1, 'name'], 'e1', 'endpoints[1].name'),
            (['endpoints', 0, 'address'], 'host:80', 'endpoints[0].address'),
            (
                ['endpoints', 1, 'address'],
                '10.0.0.1:80',
                'endpoints[1].address',
            ),
            (['endpoints', 0, 'cold_limit'], 99, 'endpoints[0].cold_limit'),
            (['workspaces', 1, 'name'], 'w1', 'workspaces[1].name'),
            (['workspaces', 0, 'weight'], 0, 'workspaces[0].weight'),
            (
                ['workspaces', 1, 'services'],
                ['rota', 'none'],
                'workspaces[1].services[1]',
            ),
        ],
    )
    def test_fault_is_reported_with_its_place(
        self, path: list[str | int], value: Any, place: str
    ) -> None:
        assert list(faults(changed(path, value))) == [place]

    def test_all_faults_are_reported_together(self) -> None:
        document = changed(['endpoints', 0, 'service'], 'none')
        document['workspaces'][1]['name'] = 'w1'
        document['data_centres'][1]['name'] = 'north'
        document['endpoints'][1]['batch_limit'] = 0
        document['services'][0]['unheard_of'] = 1
        assert set(faults(document)) >= {
            'endpoints[0].service',
            'workspaces[1].name',
            'data_centres[1].name',
            'endpoints[1].batch_limit',
            'services[0]',
        }

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'{',
            b'\xff',
            b'[]',
            b'null',
            b'{"services": [], "services": []}',
            b'{"data_centres": NaN}',
            b'[' * 100_000,
            json.dumps(changed(['workspaces', 0, 'weight'], 10**30)).encode(),
            json.dumps(changed(['workspaces', 0, 'weight'], 1.5)).encode(),
        ],
    )
    def test_content_that_is_no_manifest_is_rejected(
        self, content: bytes
    ) -> None:
        assert faults(content)

    def test_chunk_over_the_value_limit_is_rejected(self) -> None:
        generator = random.Random(1)
        data_centres = [
            {'name': f'd{index}', 'region': generator.randbytes(50_000).hex()}
            for index in range(30)
        ]
        document = changed(
            ['data_centres'], [*VALID['data_centres'], *data_centres]
        )
        assert 'over the limit' in faults(document)['$']
