"""The requests that an instance has accepted and not yet answered."""

from __future__ import annotations

import dataclasses

from boragefold.policy import token_balance
from boragefold.policy import work as works


@dataclasses.dataclass(kw_only=True)
class OpenRequest:
    """The state of an open request; ``endpoint`` is empty unless it is sent.

    ``may_have_run`` stays true once a byte of an attempt may have reached an
    endpoint: from then on the answer "not run" could be false, whatever
    happens to later attempts. ``broken_attempts`` counts the attempts that
    failed after that.
    """

    work: works.Work
    idempotent: bool
    reservation: token_balance.Reservation | None = None
    endpoint: str = ""
    attempts: int = 0
    may_have_run: bool = False
    broken_attempts: int = 0
    answered: bool = False


class OpenRequests:
    """Open requests by id; each is settled once, when it ends."""

    def __init__(self, *, token_balance: token_balance.TokenBalance) -> None:
        self._token_balance = token_balance
        self._open: dict[str, OpenRequest] = {}
        # By request id, the endpoints that failed it already.
        self.excluded: dict[str, frozenset[str]] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, request: OpenRequest) -> None:
        """Open a request.

        :param request: one that was admitted, or waits for tokens
        """
        self._open[request.work.request_id] = request

    def get(self, request_id: str) -> OpenRequest | None:
        """Look a request up.

        :param request_id: its id
        :return: the request, or None when it has ended
        """
        return self._open.get(request_id)

    def get_open(self, work: works.Work) -> OpenRequest:
        """Look up a request that must be open.

        :param work: work that waits for admission or is queued
        :return: its request
        """
        request = self._open.get(work.request_id)
        if request is None:
            raise LookupError(f"{work.request_id} is queued, but not open")
        return request

    def exclude(self, request: OpenRequest, endpoint: str) -> None:
        """Record that an endpoint failed a request.

        :param request: the request
        :param endpoint: the endpoint's name
        """
        request_id = request.work.request_id
        before = self.excluded.get(request_id, frozenset())
        self.excluded[request_id] = before | {endpoint}

    def end(self, request: OpenRequest, *, used_tokens: float) -> None:
        """Close a request and settle its reservation.

        :param request: the request
        :param used_tokens: prompt and generated tokens actually used
        """
        del self._open[request.work.request_id]
        self.excluded.pop(request.work.request_id, None)
        if request.reservation is not None:
            self._token_balance.settle(
                request.reservation, used_tokens=used_tokens
            )


__all__ = [
    "OpenRequest",
    "OpenRequests",
]
