"""The way from an instance to the rest of the fleet."""

from collections.abc import Callable

import attrs

from seam_model import forwarding
from seam_node.forward.fleet import messages


@attrs.frozen
class FleetLinks:
    """The other instances, and how messages reach them."""

    own_name: str
    coordinators: Callable[[], list[forwarding.InstanceEntry]]
    """Returns the coordinators, this instance included."""
    first: Callable[[int], list[forwarding.InstanceEntry]]
    """Returns a number of instances, the coordinators first."""
    others: Callable[[], list[forwarding.InstanceEntry]]
    """Returns all other live instances."""
    send: Callable[[messages.Message, forwarding.InstanceEntry], None]
    """Sends a message to an instance; it may be lost."""

    def coordinates(self) -> bool:
        """Returns whether this instance is a coordinator."""
        return any(each.name == self.own_name for each in self.coordinators())

    def is_first(self) -> bool:
        """Returns whether this instance is the first coordinator."""
        first = self.coordinators()[:1]
        return [each.name for each in first] == [self.own_name]

    def tell_coordinators(self, message: messages.Message) -> None:
        """Sends a message to the coordinators but this instance."""
        for entry in self.coordinators():
            if entry.name != self.own_name:
                self.send(message, entry)

    def tell_others(self, message: messages.Message) -> None:
        """Sends a message to all other live instances."""
        for entry in self.others():
            self.send(message, entry)
