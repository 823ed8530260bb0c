"""Tickets: signed keys that one incarnation of one node alone may run."""

import base64
import binascii
import dataclasses
import hashlib
import hmac
from typing import Final

import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind

TICKET_PREFIX: Final = 'mt1.'
_SIGNATURE_BYTES: Final = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """One permission to run one call at most once.

    :param incarnation: the only incarnation that may run it
    :param peer_address: where that incarnation listens for other nodes
    :param counter: number that the incarnation gave to no other ticket
    :param expires_at: end of its use on the clock of that incarnation, in
        seconds
    :param workspace: workspace that it was minted for
    :param service: service that it was minted for
    :param operation: operation that it was minted for
    """

    incarnation: str
    peer_address: str
    counter: int
    expires_at: float
    workspace: str
    service: str
    operation: str


_DECODER: Final = msgspec.msgpack.Decoder(Ticket)


def is_ticket(key: str) -> bool:
    """Return whether an idempotency key claims to be a ticket.

    :param key: the key as the caller sent it
    """
    return key.startswith(TICKET_PREFIX)


def sign_ticket(ticket: Ticket, secret: str) -> str:
    """Return the text of a ticket.

    :param ticket: what the ticket says
    :param secret: secret shared by all nodes
    """
    payload = msgspec.msgpack.encode(ticket)
    return TICKET_PREFIX + _to_text(payload + _signature(payload, secret))


def read_ticket(text: str, secret: str) -> Ticket:
    """Return what a ticket says, once its signature is checked.

    :param text: the ticket as the caller sent it
    :param secret: secret shared by all nodes
    :raises MastichatchError: with ``ticket_invalid``
    """
    signed = _from_text(text)
    payload = signed[:-_SIGNATURE_BYTES]
    signature = signed[-_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(payload, secret)):
        raise MastichatchError(ErrorKind.ticket_invalid)
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise MastichatchError(ErrorKind.ticket_invalid) from error


def check_use(
    ticket: Ticket,
    workspace: str,
    service: str,
    operation: str,
) -> None:
    """Check that a ticket is used for what it was minted for.

    :param ticket: the ticket
    :param workspace: workspace that uses it
    :param service: service that is called
    :param operation: operation that is called
    :raises MastichatchError: with ``ticket_invalid``
    """
    minted_for = (ticket.workspace, ticket.service, ticket.operation)
    if minted_for != (workspace, service, operation):
        raise MastichatchError(
            ErrorKind.ticket_invalid,
            'the ticket was minted for another call',
        )


def _signature(payload: bytes, secret: str) -> bytes:
    digest = hmac.digest(secret.encode(), payload, hashlib.sha256)
    return digest[:_SIGNATURE_BYTES]


def _to_text(signed: bytes) -> str:
    return base64.urlsafe_b64encode(signed).rstrip(b'=').decode()


def _from_text(text: str) -> bytes:
    encoded = text.removeprefix(TICKET_PREFIX).encode(errors='replace')
    padding = b'=' * (-len(encoded) % 4)
    try:
        signed = base64.b64decode(encoded + padding, b'-_', validate=True)
    except binascii.Error as error:
        raise MastichatchError(ErrorKind.ticket_invalid) from error
    # Two texts of one ticket would count as two keys.
    if _to_text(signed) != encoded.decode():
        raise MastichatchError(ErrorKind.ticket_invalid)
    return signed
