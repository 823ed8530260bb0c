"""Requests of two shapes, drawn from a seed."""

import dataclasses
import random
from typing import Final

from mastichatch_core.generated.messages import RequestClass

LONGEST_OUTPUT_TOKENS: Final = 3000
OUTPUT_FACTORS: Final = (1.0, 0.6, 1.4, 0.9)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """One sort of request.

    :param request_class: its class
    :param share: share of requests
    :param prefix_tokens: prompt prefix that a workspace's requests share
    :param prompt_tokens: mean length of the rest of the prompt
    :param median_output: median length of the output, in tokens
    :param spread: standard deviation of the logarithm of that length
    """

    request_class: RequestClass
    share: float
    prefix_tokens: int
    prompt_tokens: int
    median_output: float
    spread: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """What one user's callers ask for.

    :param name: name of the user
    :param data_centres: endpoints in each data centre
    :param shapes: sorts of requests
    :param workspaces: share of requests of each workspace
    """

    name: str
    data_centres: tuple[int, ...]
    shapes: tuple[Shape, ...]
    workspaces: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request of the workload.

    :param at: time in seconds
    :param name: unique name
    :param workspace: its workspace
    :param data_centre: number of the data centre that it enters at
    :param request_class: its class
    :param prompt_tokens: length of its prompt
    :param prefix_tokens: length of the shared prefix in it
    :param prefix: name of the prefix
    :param output_tokens: length that its output will have
    """

    at: float
    name: str
    workspace: str
    data_centre: int
    request_class: RequestClass
    prompt_tokens: int
    prefix_tokens: int
    prefix: int
    output_tokens: int


_WORKSPACES: Final = (0.3, 0.25, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02)

PLANS: Final = Workload(
    name='plans',
    data_centres=(2, 2, 1),
    workspaces=_WORKSPACES,
    shapes=(
        Shape(
            request_class=RequestClass.standard,
            share=0.3,
            prefix_tokens=1200,
            prompt_tokens=400,
            median_output=450,
            spread=0.9,
        ),
        Shape(
            request_class=RequestClass.interactive,
            share=0.7,
            prefix_tokens=600,
            prompt_tokens=60,
            median_output=30,
            spread=0.6,
        ),
    ),
)

BRIEFS: Final = Workload(
    name='briefs',
    data_centres=(2, 2, 1, 1),
    workspaces=_WORKSPACES,
    shapes=(
        Shape(
            request_class=RequestClass.standard,
            share=0.35,
            prefix_tokens=800,
            prompt_tokens=250,
            median_output=300,
            spread=0.8,
        ),
        Shape(
            request_class=RequestClass.interactive,
            share=0.6,
            prefix_tokens=500,
            prompt_tokens=40,
            median_output=12,
            spread=0.5,
        ),
        Shape(
            request_class=RequestClass.batch,
            share=0.05,
            prefix_tokens=800,
            prompt_tokens=600,
            median_output=800,
            spread=0.7,
        ),
    ),
)


def draw(
    workload: Workload, rate: float, duration: float, seed: int
) -> tuple[Arrival, ...]:
    """Return the requests of one run, in order of time.

    :param workload: what callers ask for
    :param rate: requests a second
    :param duration: time of arrivals, in seconds
    :param seed: seed of the draw
    """
    chance = random.Random(seed)
    arrivals: list[Arrival] = []
    now = chance.expovariate(rate)
    while now < duration:
        arrivals.append(_draw_one(workload, chance, now, len(arrivals)))
        now += chance.expovariate(rate)
    return tuple(arrivals)


def _draw_one(
    workload: Workload, chance: random.Random, now: float, number: int
) -> Arrival:
    shape = chance.choices(
        workload.shapes, [shape.share for shape in workload.shapes]
    )[0]
    count = len(workload.workspaces)
    workspace = chance.choices(range(count), workload.workspaces)[0]
    places = len(workload.data_centres)
    place = chance.choices(range(places), workload.data_centres)[0]
    rest = max(8, int(chance.expovariate(1 / shape.prompt_tokens)))
    longer = OUTPUT_FACTORS[workspace % len(OUTPUT_FACTORS)]
    median = shape.median_output * longer
    output = int(median * chance.lognormvariate(0, shape.spread))
    return Arrival(
        at=now,
        name=f'r{number}',
        workspace=f'w{workspace}',
        data_centre=place,
        request_class=shape.request_class,
        prompt_tokens=shape.prefix_tokens + rest,
        prefix_tokens=shape.prefix_tokens,
        prefix=1
        + workspace * len(workload.shapes)
        + workload.shapes.index(shape),
        output_tokens=min(LONGEST_OUTPUT_TOKENS, max(1, output)),
    )
