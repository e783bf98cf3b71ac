"""Who holds a rate, remembered for as long as a view lasts."""

from __future__ import annotations

from boragefold.coordination.rates import limits
import boragefold.coordination.rights as membership
from boragefold.protocol import ids

# Bounds the memory.
MOST_REMEMBERED = 100_000


class Holding:
    """Looks holders up; hashing a right over a view costs 20 microseconds."""

    def __init__(self, *, rights: membership.Rights) -> None:
        """Remember nothing yet.

        :param rights: the views
        """
        self._rights = rights
        self._found: dict[tuple[str, int, int, str], ids.InstanceId] = {}

    def here(self, workspace: str) -> ids.InstanceId | None:
        """Find the holder in our own data centre.

        Without a lease of our own we may still ask: whoever holds the rate
        checks its own lease before it grants.

        :param workspace: whose rate
        :return: the holder, or None when no view is known
        """
        view = self._rights.valid_view()
        if view is not None:
            return self.in_view(view, workspace)
        return self.elsewhere(self._rights.self_id.data_centre, workspace)

    def elsewhere(
        self, data_centre: str, workspace: str
    ) -> ids.InstanceId | None:
        """Find the holder in a data centre, by its latest known view.

        :param data_centre: where
        :param workspace: whose rate
        :return: the holder, or None when no view is known
        """
        view = self._rights.directory().get(data_centre)
        if view is None or not view.members:
            return None
        return self.in_view(view, workspace)

    def ours(self, workspace: str) -> bool:
        """Tell whether a rate is ours at this moment.

        :param workspace: whose rate
        :return: whether our lease is valid and the hash names us
        """
        view = self._rights.valid_view()
        if view is None:
            return False
        return self.in_view(view, workspace) == self._rights.self_id

    def in_view(self, view: membership.View, workspace: str) -> ids.InstanceId:
        """Find the holder in one view.

        :param view: with at least one member
        :param workspace: whose rate
        :return: the holder
        """
        key = (view.data_centre, view.epoch, view.number, workspace)
        found = self._found.get(key)
        if found is None:
            if len(self._found) >= MOST_REMEMBERED:
                self._found.clear()
            found = membership.holder(view, limits.right_of(workspace))
            self._found[key] = found
        return found


__all__ = [
    "Holding",
]
