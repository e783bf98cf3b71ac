"""Where a stream began, and where it may go on.

Load pattern: endpoints of several software versions serve one service side by
side, and endpoints or instances break off streams. What two versions write
doesn't fit together, and endpoints don't check where a stream began.
"""

from __future__ import annotations

from boragefold.state import deployment


def is_same_life(
    one: deployment.EndpointLife, other: deployment.EndpointLife
) -> bool:
    """Tell whether two lives are one.

    :param one: a life
    :param other: another
    :return: whether the endpoint stated the same start for both
    """
    return (
        one.endpoint == other.endpoint
        and one.born_milliseconds == other.born_milliseconds
        and one.born_milliseconds > 0
    )


def fits(
    origin: deployment.EndpointLife, present: deployment.EndpointLife
) -> bool:
    """Tell whether a stream may go on at an endpoint.

    :param origin: the life that sent its first event
    :param present: the endpoint's present life
    :return: whether both are one, or state the same software version
    """
    if origin.service != present.service:
        return False
    if is_same_life(origin, present):
        return True
    return (
        bool(origin.software_version)
        and origin.software_version == present.software_version
    )


class StreamBinding:
    """What a request's stream is bound to from its first event on.

    ``origin`` is the life that sent the first event, None as long as it isn't
    known. Once known it never changes, but its software version may become
    known later.
    """

    def __init__(self) -> None:
        """Begin without an event."""
        self.bound = False
        self.origin: deployment.EndpointLife | None = None

    def bind(self) -> None:
        """Record that the caller got an event, from whatever life."""
        self.bound = True

    def identify(self, origin: deployment.EndpointLife) -> None:
        """Record which life sent the first event, unless that is known.

        :param origin: the life
        """
        self.bound = True
        if self.origin is None:
            self.origin = origin

    def complete(self, stated: deployment.EndpointLife) -> None:
        """Learn the software version of the life that sent the first event.

        :param stated: a life as its own entry states it
        """
        if (
            self.origin is not None
            and not self.origin.software_version
            and is_same_life(self.origin, stated)
        ):
            self.origin = stated

    def allows(self, present: deployment.EndpointLife) -> bool:
        """Tell whether the stream may begin or go on at an endpoint.

        :param present: the endpoint's present life, as far as it is known
        :return: whether there was no event yet, or the life that sent the
            first one is known and fits
        """
        if not self.bound:
            return True
        return self.origin is not None and fits(self.origin, present)


__all__ = [
    "StreamBinding",
    "fits",
    "is_same_life",
]
