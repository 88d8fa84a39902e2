"""What an instance says of itself to operators."""

from collections.abc import Mapping

from seam_model import admin
from seam_node.controllers import drain
from seam_node.controllers import engines
from seam_node.controllers import ownership
from seam_policy import ledger
from seam_policy import slot_requests


def ledgers(
    books: Mapping[str, ledger.SlotLedger],
) -> tuple[admin.LedgerStatus, ...]:
    """Returns what operators see of ledgers, by name."""
    return tuple(
        admin.LedgerStatus(
            name,
            book.usable,
            book.running,
            book.waiting_of(slot_requests.URGENT),
            book.waiting_of(slot_requests.OTHER),
        )
        for name, book in sorted(books.items())
    )


def phase_name(phase: drain.Phase) -> str:
    """Returns the name of a phase as operators read it."""
    return phase.name.lower()


def endpoint_list(
    directory: engines.EngineDirectory, owners: ownership.Ownership
) -> tuple[admin.EndpointStatus, ...]:
    """Returns every listed endpoint, by name."""
    return tuple(
        admin.EndpointStatus(
            record.name,
            record.kind,
            record.data_centre,
            record.role.value if record.kind == "engine" else record.service,
            (owners.owner_of(record.name) or "")
            if record.kind == "engine"
            else "",
            record.slots if record.kind == "engine" else 0,
            record.leaving,
            directory.suspected(record.name),
        )
        for record in directory.records()
    )
