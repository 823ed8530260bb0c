"""Tickets: signed idempotency keys bound to one incarnation of one node."""

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
    """Permission to run one call at most once.

    :param incarnation: the only incarnation that may run the call
    :param peer_address: address of that incarnation for other nodes
    :param counter: number unique among the tickets of the incarnation
    :param expires_at: expiry time on the clock of the incarnation, in seconds
    :param workspace: workspace that the ticket was issued to
    :param service: service that the ticket is valid for
    :param operation: operation that the ticket is valid for
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
    """Return whether an idempotency key has the prefix of a ticket.

    :param key: the key as the caller sent it
    """
    return key.startswith(TICKET_PREFIX)


def sign_ticket(ticket: Ticket, secret: str) -> str:
    """Return the signed text form of a ticket.

    :param ticket: the ticket to sign
    :param secret: secret shared by all nodes
    """
    payload = msgspec.msgpack.encode(ticket)
    return TICKET_PREFIX + _to_text(payload + _signature(payload, secret))


def read_ticket(text: str, secret: str) -> Ticket:
    """Return the decoded ticket after verifying its signature.

    :param text: the ticket as the caller sent it
    :param secret: secret shared by all nodes
    :raises MastichatchError: with ``ticket_invalid`` if the text is malformed
        or the signature is wrong
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


def check_ticket_scope(
    ticket: Ticket,
    workspace: str,
    service: str,
    operation: str,
) -> None:
    """Check that a ticket is used for the call that it was issued for.

    :param ticket: the ticket
    :param workspace: workspace of the caller
    :param service: service that is called
    :param operation: operation that is called
    :raises MastichatchError: with ``ticket_invalid`` if any of them differs
    """
    issued_for = (ticket.workspace, ticket.service, ticket.operation)
    if issued_for != (workspace, service, operation):
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
    # Base64 text that is not canonical is rejected: two texts of one ticket
    # would count as two idempotency keys.
    if _to_text(signed) != encoded.decode():
        raise MastichatchError(ErrorKind.ticket_invalid)
    return signed
