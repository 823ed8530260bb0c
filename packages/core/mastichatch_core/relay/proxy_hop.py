"""Headers and proofs of requests that nodes pass on to each other.

Two secrets prove who sends what. The tokens of all nodes are in the platform's
store, which only nodes read. The proof of a request is made with the tokens of
both nodes: it shows that the sender is registered, and that it means this run
of the receiving process. The proof of an answer is made with the receiver's
token, and covers the nonce: it shows that the registered process has answered
this request, and not another one that has the address since. Tokens themselves
are never sent.
"""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    ProxyHop,
    ProxyOutcome,
    Ran,
)

HOP_HEADER: Final = b'mastichatch-proxy-hop'
PROOF_HEADER: Final = b'mastichatch-proxy-proof'
OUTCOME_HEADER: Final = b'mastichatch-proxy-outcome'
# Callers and endpoints may not send these headers, nor do they get them.
PROXY_HEADERS: Final = frozenset((HOP_HEADER, PROOF_HEADER, OUTCOME_HEADER))
# Room for these headers beyond the limit of a caller's head, in bytes.
PROXY_HEAD_BYTES: Final = 2048
NONCE_BYTES: Final = 12
_LENGTH_BYTES: Final = 8
# Another node may accept what these errors refuse: it may have a newer view, or
# more room.
_ELSEWHERE: Final = frozenset(
    (
        ErrorKind.draining,
        ErrorKind.not_ready,
        ErrorKind.not_found,
        ErrorKind.key_unknown,
        ErrorKind.key_missing,
        ErrorKind.peer_unreachable,
    )
)


def request_proof(
    sender_token: str, receiver_token: str, parts: Iterable[bytes]
) -> bytes:
    """Return the proof that a registered node sends a request to another one.

    :param sender_token: token of the node that sends it
    :param receiver_token: token of the node that receives it
    :param parts: what the proof covers
    :returns: hexadecimal digits
    """
    tokens = (sender_token.encode(), receiver_token.encode())
    return _sign(_digest(tokens), parts)


def answer_proof(token: str, hop: ProxyHop, outcome: ProxyOutcome) -> bytes:
    """Return the proof that a registered node answers a request.

    :param token: token of the node that answers
    :param hop: the request
    :param outcome: what became of it
    :returns: hexadecimal digits
    """
    parts = (b'answer', hop.nonce.encode(), outcome.encode())
    return _sign(_digest((token.encode(),)), parts)


def is_proof(expected: bytes, found: bytes | None) -> bool:
    """Return whether a proof is the expected one.

    :param expected: what one of the functions above returned
    :param found: proof that was received, if any
    """
    return found is not None and hmac.compare_digest(expected, found)


def proxy_outcome(error: MastichatchError) -> ProxyOutcome:
    """Return what an error tells the node that passed a request on.

    :param error: error with which the request ended
    """
    if error.ran is not Ran.no:
        return ProxyOutcome.unknown
    if error.kind in _ELSEWHERE:
        return ProxyOutcome.elsewhere
    return ProxyOutcome.refused


def _digest(parts: Iterable[bytes]) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.digest()


def _sign(key: bytes, parts: Iterable[bytes]) -> bytes:
    return hmac.digest(key, _digest(parts), 'sha256').hex().encode()
