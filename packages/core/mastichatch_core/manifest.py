"""Parsing and validation of the manifest that operators apply."""

import collections
import dataclasses
import functools
import json
from collections.abc import Iterable, Iterator
from importlib import resources
from typing import Any, Final

import jsonschema
import msgspec

from mastichatch_core import chunks
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import (
    Manifest,
    Service,
    ServiceKind,
)
from mastichatch_core.generated.messages import ErrorKind

# Largest value that the platform's key-value service stores.
VALUE_LIMIT_BYTES: Final = 1024 * 1024
# Largest integer that every JSON parser represents exactly.
INTEGER_LIMIT: Final = 2**53


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ManifestFault:
    """One validation error of a manifest.

    :param place: path into the document, such as ``endpoints[2].service``
    :param reason: description of the error
    """

    place: str
    reason: str


class ManifestError(MastichatchError):
    """Raised for an invalid manifest.

    :param faults: all validation errors found
    """

    def __init__(self, faults: tuple[ManifestFault, ...]) -> None:
        """Store the faults and list all of them in the message."""
        lines = (f'{fault.place}: {fault.reason}' for fault in faults)
        super().__init__(ErrorKind.manifest_invalid, '\n'.join(lines))
        self.faults = faults


def validate(manifest_bytes: bytes) -> Manifest:
    """Return the manifest parsed from JSON text.

    :param manifest_bytes: JSON in UTF-8
    :raises ManifestError: listing every fault with its place
    """
    document = _parse_json(manifest_bytes)
    schema_faults = tuple(_schema_faults(document))
    try:
        manifest = msgspec.convert(document, Manifest)
    except msgspec.ValidationError as error:
        # Names cannot be compared between sections if a type is wrong.
        _raise_if_any(schema_faults)
        raise _single_fault_error('$', str(error)) from error
    _raise_if_any(
        (
            *schema_faults,
            *_duplicate_faults(manifest),
            *_service_faults(manifest),
            *_reference_faults(manifest),
        ),
    )
    _raise_if_any(_size_faults(manifest))
    return manifest


def _parse_json(content: bytes) -> Any:
    try:
        return json.loads(
            content,
            object_pairs_hook=_reject_duplicate_fields,
            parse_constant=_reject_constant,
            parse_int=_parse_integer,
        )
    except RecursionError:
        raise _single_fault_error(
            '$', 'the document is nested too deeply'
        ) from None
    except ValueError as error:
        raise _single_fault_error('$', f'not JSON: {error}') from error


def _reject_duplicate_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    counts = collections.Counter(name for name, _ in pairs)
    repeated = sorted(name for name, count in counts.items() if count > 1)
    if repeated:
        raise ValueError(f'repeated fields {repeated}')
    return dict(pairs)


def _parse_integer(digits: str) -> int:
    number = int(digits)
    if abs(number) > INTEGER_LIMIT:
        raise ValueError(f'{digits} is over the limit of {INTEGER_LIMIT}')
    return number


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not a number')


@functools.cache
def _validator() -> jsonschema.Draft202012Validator:
    folder = resources.files('mastichatch_core')
    schema = folder.joinpath('schemas', 'manifest.json').read_text('utf-8')
    return jsonschema.Draft202012Validator(json.loads(schema))


def _schema_faults(document: Any) -> Iterator[ManifestFault]:
    for error in _validator().iter_errors(document):
        yield ManifestFault(
            place=_format_path(error.absolute_path),
            reason=error.message,
        )


def _format_path(path: Iterable[str | int]) -> str:
    place = ''.join(
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in path
    )
    return place.removeprefix('.') or '$'


def _duplicate_faults(manifest: Manifest) -> Iterator[ManifestFault]:
    for section in dataclasses.fields(Manifest):
        names = [each.name for each in getattr(manifest, section.name)]
        yield from _duplicate_name_faults(section.name, names)
    for index, service in enumerate(manifest.services):
        names = [operation.name for operation in service.operations]
        yield from _duplicate_name_faults(
            f'services[{index}].operations', names
        )
    addresses: dict[str, int] = {}
    for index, endpoint in enumerate(manifest.endpoints):
        first = addresses.setdefault(endpoint.address, index)
        if first != index:
            yield ManifestFault(
                place=f'endpoints[{index}].address',
                reason=f'same address as endpoints[{first}]',
            )


def _duplicate_name_faults(
    section: str, names: list[str]
) -> Iterator[ManifestFault]:
    seen: dict[str, int] = {}
    for index, name in enumerate(names):
        first = seen.setdefault(name, index)
        if first != index:
            yield ManifestFault(
                place=f'{section}[{index}].name',
                reason=f'{name!r} is already used by {section}[{first}]',
            )


def _service_faults(manifest: Manifest) -> Iterator[ManifestFault]:
    for index, service in enumerate(manifest.services):
        reason = _operations_fault(service)
        if reason:
            yield ManifestFault(
                place=f'services[{index}].operations',
                reason=reason,
            )


def _operations_fault(service: Service) -> str:
    if service.kind is ServiceKind.model and service.operations:
        return 'a model service has no operations'
    if service.kind is ServiceKind.plain and not service.operations:
        return 'a plain service needs an operation'
    return ''


def _reference_faults(manifest: Manifest) -> Iterator[ManifestFault]:
    services = {service.name for service in manifest.services}
    data_centres = {each.name for each in manifest.data_centres}
    for index, endpoint in enumerate(manifest.endpoints):
        section = f'endpoints[{index}]'
        yield from _undefined_name_faults(
            f'{section}.service',
            'service',
            endpoint.service,
            services,
        )
        yield from _undefined_name_faults(
            f'{section}.data_centre',
            'data centre',
            endpoint.data_centre,
            data_centres,
        )
        if endpoint.cold_limit > endpoint.batch_limit:
            yield ManifestFault(
                place=f'{section}.cold_limit',
                reason='over the batch limit',
            )
    for index, workspace in enumerate(manifest.workspaces):
        for position, name in enumerate(workspace.services):
            place = f'workspaces[{index}].services[{position}]'
            yield from _undefined_name_faults(place, 'service', name, services)


def _undefined_name_faults(
    place: str,
    kind: str,
    name: str,
    known: set[str],
) -> Iterator[ManifestFault]:
    """Yield a fault for a reference to an undefined name.

    If the referenced section is empty, the schema check reports that once,
    and each reference is not reported as well.
    """
    if known and name not in known:
        yield ManifestFault(place=place, reason=f'there is no {kind} {name!r}')


def _size_faults(manifest: Manifest) -> Iterator[ManifestFault]:
    parts = chunks.split_manifest(manifest)
    for part in parts:
        size = len(part.content)
        if size > VALUE_LIMIT_BYTES:
            yield ManifestFault(
                place='$',
                reason=(
                    f'part {part.name} takes {size} bytes, '
                    f'over the limit of {VALUE_LIMIT_BYTES}'
                ),
            )
    try:
        chunks.assemble(
            chunks.unpack(each.reference, each.content) for each in parts
        )
    except chunks.ChunkError as error:
        # The manifest holds a number or text that nodes could not decode.
        yield ManifestFault(place='$', reason=str(error))


def _single_fault_error(place: str, reason: str) -> ManifestError:
    return ManifestError((ManifestFault(place=place, reason=reason),))


def _raise_if_any(faults: Iterable[ManifestFault]) -> None:
    found = tuple(faults)
    if found:
        raise ManifestError(found)
