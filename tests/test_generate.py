"""The committed data classes are what the generator gives."""

from tools import generate


def test_committed_code_matches_the_schema() -> None:
    assert generate.stale_names() == []


def test_packaged_schemas_match_the_sources() -> None:
    for name in generate.NAMES:
        source = generate.SCHEMA / f'{name}.json'
        packaged = generate.GENERATED.parent / 'schemas' / f'{name}.json'
        assert packaged.read_text() == source.read_text()
