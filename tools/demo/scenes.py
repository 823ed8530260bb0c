"""The scenes of the demonstration, one function each."""

import json
from typing import Any, Final

import aiohttp

from tools.demo.caller import Caller, StreamError, Token, chat_body
from tools.demo.fleet import Fleet, run_command
from tools.demo.screen import Screen

SHORT_PROMPT: Final = 'Does winch W-4 fit the Trishuli ridge? length=12'
LONG_PROMPT: Final = 'Route brief to Dhunche with slope notes, length=60'
TOKENS_BEFORE_KILL: Final = 12
_SHORT_LENGTH: Final = 12
_LONG_LENGTH: Final = 60
_HTTP_OK: Final = 200
_ID_WIDTH: Final = 18
_TOKENS_PER_LINE: Final = 8


async def apply_manifest(fleet: Fleet, screen: Screen) -> None:
    """Put the manifest into force on every node.

    :param fleet: the running fleet
    :param screen: where it is shown
    """
    screen.section(
        'An operator applies the manifest',
        'Four nodes run and serve nothing yet. The manifest names two data '
        'centres, a model, a plain service, their endpoints and a workspace.',
    )
    await run_command(fleet, screen, 'validate', 'manifest.json')
    applied = await run_command(fleet, screen, 'apply', 'manifest.json')
    screen.check('the manifest is accepted', held=not applied.code)
    waited = await run_command(fleet, screen, 'config', 'wait', '1')
    screen.check('all nodes have it in force', held=not waited.code)
    await run_command(fleet, screen, 'status')


async def stream_answer(fleet: Fleet, screen: Screen, caller: Caller) -> None:
    """Stream a chat completion.

    :param fleet: the running fleet
    :param screen: where it is shown
    :param caller: a customer's program
    """
    screen.section(
        'A caller streams an answer',
        'Each event carries an id: the generation and the index of the token. '
        'The stand-in engine writes the index into the text too.',
    )
    address = fleet.address('north-1')
    body = json.dumps(chat_body(SHORT_PROMPT, stream=True))
    screen.command(
        f"curl -N http://{address}/v1/chat/completions -H 'Workspace: "
        f"depots' -H 'Request-Id: demo-stream' -d '{body}'",
    )
    tokens = []
    async for token in caller.stream(address, SHORT_PROMPT, 'demo-stream'):
        tokens.append(token)
        _show_token(screen, token)
    screen.check(
        'every token came once, in order, from one generation',
        held=_is_whole(tokens, _SHORT_LENGTH),
    )
    explained = await run_command(fleet, screen, 'explain', 'demo-stream')
    screen.check("the request's decisions are told", held=not explained.code)


async def book_twice(fleet: Fleet, screen: Screen, caller: Caller) -> None:
    """Send one booking to two nodes.

    :param fleet: the running fleet
    :param screen: where it is shown
    :param caller: a customer's program
    """
    screen.section(
        'A booking is sent twice with one key',
        'The depot is not sure that its booking arrived, and sends it again '
        'to a node of the other data centre.',
    )
    answers = []
    for node in ('north-2', 'south-1'):
        screen.command(
            f'curl http://{fleet.address(node)}/v1/services/dispatch/book-haul '
            "-H 'Idempotency-Key: haul-17' ...",
        )
        answer = await caller.book(fleet.address(node), 'haul-17', 'winch W-4')
        answers.append(answer)
        screen.line(f'{answer.status} {json.dumps(answer.body)}')
    executions = await _executions(fleet)
    screen.line(f'executions at the endpoint: {len(executions)}')
    screen.check('the booking ran exactly once', held=len(executions) == 1)
    screen.check(
        'both callers got the same answer',
        held=answers[0] == answers[1] and answers[0].status == _HTTP_OK,
    )


async def drain_data_centre(
    fleet: Fleet,
    screen: Screen,
    caller: Caller,
) -> None:
    """Take a data centre out, ask in it, and bring it back.

    :param fleet: the running fleet
    :param screen: where it is shown
    :param caller: a customer's program
    """
    screen.section(
        'A data centre is taken out of service',
        'The engine of the data centre north gets nothing new. A request that '
        'still reaches a node there is served by south.',
    )
    before = await _request_ids(fleet, 'north')
    await run_command(fleet, screen, 'drain', 'data-centre', 'north')
    await run_command(fleet, screen, 'config', 'wait', '2')
    await _ask_while_drained(fleet, screen, caller)
    after = await _request_ids(fleet, 'north')
    screen.check(
        'the drained data centre got nothing new', held=before == after
    )
    await run_command(fleet, screen, 'restore', 'data-centre', 'north')
    waited = await run_command(fleet, screen, 'config', 'wait', '3')
    screen.check('the data centre is back in service', held=not waited.code)


async def _ask_while_drained(
    fleet: Fleet,
    screen: Screen,
    caller: Caller,
) -> None:
    request_id = 'demo-drained'
    answer = await caller.ask(
        fleet.address('north-2'),
        SHORT_PROMPT,
        request_id,
    )
    screen.line(f'{answer.status} {_content(answer.body)}')
    await run_command(fleet, screen, 'explain', request_id)
    served = await _request_ids(fleet, 'south')
    screen.check(
        'the next request is served by the other data centre',
        held=answer.status == _HTTP_OK and request_id in served,
    )


async def kill_node(fleet: Fleet, screen: Screen, caller: Caller) -> None:
    """Kill a node while it streams, and go on at another.

    :param fleet: the running fleet
    :param screen: where it is shown
    :param caller: a customer's program
    """
    screen.section(
        'A node is killed while it streams',
        "The caller's connection breaks. It asks another node for the rest, "
        'with the id of the last event that it received.',
    )
    tokens = await _stream_until_killed(fleet, screen, caller)
    if not tokens:
        screen.check('tokens came before the kill', held=False)
        return
    last = tokens[-1]
    screen.command(
        f'curl -N http://{fleet.address("south-1")}/v1/chat/completions/'
        f"{last.generation[:_ID_WIDTH]}... -H 'Last-Event-ID: "
        f"{last.generation[:_ID_WIDTH]}...:{last.index}'",
    )
    try:
        async for token in caller.resume(fleet.address('south-1'), last):
            tokens.append(token)
            _show_text(screen, token)
    except (aiohttp.ClientError, StreamError) as error:
        screen.line(f'the resumed stream failed: {error}')
    screen.line('')
    screen.check(
        f'all {_LONG_LENGTH} tokens came once, in order, from one generation',
        held=_is_whole(tokens, _LONG_LENGTH),
    )
    answer = await caller.ask(
        fleet.address('north-2'),
        SHORT_PROMPT,
        'demo-after-kill',
    )
    screen.line(f'next request: {answer.status} {_content(answer.body)}')
    screen.check('the next request is served', held=answer.status == _HTTP_OK)
    await _book_after_kill(fleet, screen, caller)


async def _book_after_kill(
    fleet: Fleet,
    screen: Screen,
    caller: Caller,
) -> None:
    answer = await caller.book(
        fleet.address('south-2'),
        'haul-17',
        'winch W-4',
    )
    executions = await _executions(fleet)
    screen.line(f'the booking once more, with its key: {answer.status}')
    screen.check(
        'the booking, sent a third time, still ran only once',
        held=answer.status == _HTTP_OK and len(executions) == 1,
    )


async def _stream_until_killed(
    fleet: Fleet,
    screen: Screen,
    caller: Caller,
) -> list[Token]:
    tokens: list[Token] = []
    address = fleet.address('north-1')
    screen.command(f'curl -N http://{address}/v1/chat/completions ...')
    try:
        async for token in caller.stream(address, LONG_PROMPT, 'demo-killed'):
            tokens.append(token)
            _show_text(screen, token)
            if len(tokens) == TOKENS_BEFORE_KILL:
                fleet.nodes['north-1'].process.kill()
    except (aiohttp.ClientError, StreamError) as error:
        screen.line('')
        screen.line(f'north-1 was killed; the caller sees: {error}')
    return tokens


def _show_token(screen: Screen, token: Token) -> None:
    screen.line(
        f'id: {token.generation[:_ID_WIDTH]}...:{token.index}  '
        f'data: {{... "content": "{token.text}" ...}}',
    )


def _show_text(screen: Screen, token: Token) -> None:
    screen.piece(token.text)
    if token.index % _TOKENS_PER_LINE == _TOKENS_PER_LINE - 1:
        screen.line('')


def _is_whole(tokens: list[Token], length: int) -> bool:
    """Return whether the tokens are all of one generation, once, in order."""
    indices = [token.index for token in tokens]
    texts = [int(token.text.rpartition('-')[2]) for token in tokens]
    generations = {token.generation for token in tokens}
    digests = {token.text.rpartition('-')[0] for token in tokens}
    return (
        indices == list(range(length))
        and texts == indices
        and len(generations) == len(digests) == 1
    )


def _content(body: Any) -> str:
    if 'choices' not in body:
        return json.dumps(body)
    return str(body['choices'][0]['message']['content'])


async def _executions(fleet: Fleet) -> list[Any]:
    shown = await fleet.service.show('executions')
    return list(shown['executions'])


async def _request_ids(fleet: Fleet, data_centre: str) -> list[str]:
    shown = await fleet.engines[data_centre].show('generations')
    return list(shown['request_ids'])
