"""Finds entries of a valid manifest without effect, or in contradiction."""

from collections.abc import Iterator

from mastichatch_core.generated.manifest import Manifest, Service, ServiceKind
from mastichatch_core.manifest import ManifestFault
from mastichatch_core.units import MS_PER_S


def find_ineffective(manifest: Manifest) -> tuple[ManifestFault, ...]:
    """Return the entries that are valid, but cannot do what they say.

    :param manifest: validated manifest
    """
    return (
        *_unused_entries(manifest),
        *_unreachable_services(manifest),
        *_contradicting_limits(manifest),
    )


def _unused_entries(manifest: Manifest) -> Iterator[ManifestFault]:
    used = {endpoint.data_centre for endpoint in manifest.endpoints}
    for index, data_centre in enumerate(manifest.data_centres):
        if data_centre.name not in used:
            yield ManifestFault(
                place=f'data_centres[{index}]', reason='has no endpoint'
            )


def _unreachable_services(manifest: Manifest) -> Iterator[ManifestFault]:
    served = {endpoint.service for endpoint in manifest.endpoints}
    is_open = any(not one.services for one in manifest.workspaces)
    allowed = {name for one in manifest.workspaces for name in one.services}
    for index, service in enumerate(manifest.services):
        place = f'services[{index}]'
        if service.name not in served:
            yield ManifestFault(place=place, reason='no endpoint serves it')
        if not is_open and service.name not in allowed:
            yield ManifestFault(place=place, reason='no workspace may call it')


def _contradicting_limits(manifest: Manifest) -> Iterator[ManifestFault]:
    for index, service in enumerate(manifest.services):
        place = f'services[{index}]'
        if service.kind is ServiceKind.model:
            if service.token_gap_target_ms > service.idle_timeout_ms:
                yield ManifestFault(
                    place=f'{place}.token_gap_target_ms',
                    reason='over idle_timeout_ms, which resumes the stream',
                )
        else:
            yield from _operation_limits(service, place)
    limits = {one.name: one.queue_limit for one in manifest.services}
    smallest = min(limits.values(), default=0)
    for index, workspace in enumerate(manifest.workspaces):
        if workspace.services:
            smallest = min(limits[name] for name in workspace.services)
        if workspace.waiting_limit > smallest:
            yield ManifestFault(
                place=f'workspaces[{index}].waiting_limit',
                reason=(
                    f'{workspace.waiting_limit} is over a queue_limit of '
                    f'{smallest}, which is reached before'
                ),
            )


def _operation_limits(service: Service, place: str) -> Iterator[ManifestFault]:
    for index, operation in enumerate(service.operations):
        if operation.timeout_ms > operation.key_retention_ms:
            yield ManifestFault(
                place=f'{place}.operations[{index}].key_retention_ms',
                reason=(
                    'its keys are forgotten after '
                    f'{operation.key_retention_ms / MS_PER_S:g} s, before a '
                    f'call ends at {operation.timeout_ms / MS_PER_S:g} s'
                ),
            )
