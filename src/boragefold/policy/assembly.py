"""Builds a dispatcher with all its policy components."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.policy import admission
from boragefold.policy import dispatcher
from boragefold.policy import endpoint_choice
from boragefold.policy import endpoints as endpoints_module
from boragefold.policy import fair_queue
from boragefold.policy import fair_share
from boragefold.policy import fleet_events
from boragefold.policy import fleet_placement
from boragefold.policy import homes
from boragefold.policy import matcher as matchers
from boragefold.policy import overload
from boragefold.policy import placement
from boragefold.policy import retry_budget
from boragefold.policy import token_balance
from boragefold.telemetry import counters as telemetry


def assemble(
    *,
    endpoints: endpoints_module.Endpoints,
    token_balance: token_balance.TokenBalance,
    load_budget: placement.LoadBudget,
    rights: homes.OrderRights,
    instances: Callable[[], int],
    rng: random.Random,
    counters: telemetry.Counters,
) -> dispatcher.Dispatcher:
    """Build the dispatcher of one instance.

    :param endpoints: the known endpoints; the caller keeps them up to date
        with ``put``
    :param token_balance: the tokens that this instance may spend
    :param load_budget: the loads that this instance may start
    :param rights: the endpoints that this instance may send orders to
    :param instances: returns how many instances use the same endpoints
    :param rng: source of all random choices
    :param counters: counters of refusals, retries and loads
    :return: the dispatcher
    """
    queue = fair_queue.FairQueue(counters=counters)
    matcher = matchers.Matcher(
        queue=queue,
        choice=endpoint_choice.EndpointChoice(
            endpoints=endpoints,
            rng=rng,
            counters=counters,
            instances=instances,
        ),
        endpoints=endpoints,
        overload=overload.Overload(counters=counters),
        share=fair_share.FairShare(),
    )
    shared_placement = fleet_placement.FleetPlacement(
        placement=placement.Placement(
            endpoints=endpoints,
            budget=load_budget,
            rng=rng,
            counters=counters,
        ),
        endpoints=endpoints,
        rights=rights,
    )
    return dispatcher.Dispatcher(
        admission=admission.Admission(
            token_balance=token_balance, counters=counters
        ),
        queue=queue,
        matcher=matcher,
        endpoints=endpoints,
        fleet=fleet_events.FleetEvents(
            queue=queue,
            matcher=matcher,
            endpoints=endpoints,
            placement=shared_placement,
        ),
        retry_budget=retry_budget.RetryBudget(counters=counters),
        token_balance=token_balance,
        counters=counters,
    )


__all__ = [
    "assemble",
]
