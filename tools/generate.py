"""Generates the frozen data classes of the core package from the schema."""

import argparse
import pathlib
import re
import subprocess  # noqa: S404 - a developers' tool, not part of a process
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / 'schema'
GENERATED = ROOT / 'packages/core/mastichatch_core/generated'
NAMES = ('manifest', 'records', 'messages', 'settings')
DATACLASS_ARGUMENTS = '{"frozen": true, "kw_only": true, "slots": true}'


def immutable_source(source: str) -> str:
    """Return the source with tuples in place of lists.

    The generator offers no tuple of any length, and a list in a frozen data
    class could still be changed.

    :param source: module as the generator wrote it
    """
    source = re.sub(r'Sequence\[(\w+)\]', r'tuple[\1, ...]', source)
    source = source.replace('field(default_factory=list)', '()')
    source = source.replace(
        'from collections.abc import Sequence\n',
        '',
    )
    if 'field(' not in source:
        source = source.replace('dataclass, field', 'dataclass')
    return source


def generate(name: str, target: pathlib.Path) -> None:
    """Write the module for one schema.

    :param name: schema name without its ending
    :param target: file to write
    """
    command = (
        sys.executable,
        '-m',
        'datamodel_code_generator',
        f'--input={SCHEMA / name}.json',
        '--input-file-type=jsonschema',
        f'--output={target}',
        '--output-model-type=dataclasses.dataclass',
        f'--dataclass-arguments={DATACLASS_ARGUMENTS}',
        '--use-schema-description',
        '--use-inline-field-description',
        '--disable-timestamp',
        '--formatters=builtin',
        '--target-python-version=3.11',
        '--strict-nullable',
        '--collapse-root-models',
        '--use-generic-container-types',
    )
    subprocess.run(command, check=True)
    target.write_text(immutable_source(target.read_text()))
    packaged = GENERATED.parent / 'schemas' / f'{name}.json'
    if target.parent == GENERATED:
        packaged.parent.mkdir(exist_ok=True)
        packaged.write_text((SCHEMA / f'{name}.json').read_text())


def stale_names() -> list[str]:
    """Return the schemas whose committed module differs from a new one."""
    stale = []
    with tempfile.TemporaryDirectory() as folder:
        for name in NAMES:
            target = pathlib.Path(folder) / f'{name}.py'
            generate(name, target)
            committed = GENERATED / f'{name}.py'
            if committed.read_text() != target.read_text():
                stale.append(name)
    return stale


def main() -> int:
    """Run the tool and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    options = parser.parse_args()
    if options.check:
        stale = stale_names()
        sys.stdout.write(f'stale: {stale}\n')
        return int(bool(stale))
    for name in NAMES:
        generate(name, GENERATED / f'{name}.py')
    return 0


if __name__ == '__main__':
    sys.exit(main())
