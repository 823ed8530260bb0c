"""Reads from endpoints' answers to which requests they belong."""

from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.http_client import AnswerMatching, ResponseHead
from mastichatch_node.relay.telemetry import Telemetry


def create_matching(dialect: Dialect, telemetry: Telemetry) -> AnswerMatching:
    """Return what tells late copies of answers from those that are due.

    :param dialect: decodes the answers
    :param telemetry: logs the copies
    """

    def log_stale(address: str, head: ResponseHead) -> None:
        telemetry.log_state_change(
            'stale_answer',
            address=address,
            request_id=dialect.read_response_id(head),
            status=head.status,
        )

    return AnswerMatching(read_id=dialect.read_response_id, on_stale=log_stale)
