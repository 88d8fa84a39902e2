"""Converts an instance's state into status records for operators."""

from collections.abc import Mapping

from seam_model import admin
from seam_node.controllers import drain
from seam_node.controllers import engines
from seam_node.controllers import ownership
from seam_policy import ledger
from seam_policy import slot_requests


def ledger_statuses(
    slot_ledgers: Mapping[str, ledger.SlotLedger],
) -> tuple[admin.LedgerStatus, ...]:
    """Returns the status of each ledger, sorted by name."""
    return tuple(
        admin.LedgerStatus(
            name,
            slot_ledger.usable,
            slot_ledger.running,
            slot_ledger.waiting_of(slot_requests.URGENT),
            slot_ledger.waiting_of(slot_requests.OTHER),
        )
        for name, slot_ledger in sorted(slot_ledgers.items())
    )


def phase_name(phase: drain.Phase) -> str:
    """Returns the name of a drain phase in the status."""
    return phase.name.lower()


def endpoint_statuses(
    directory: engines.EngineDirectory, owners: ownership.Ownership
) -> tuple[admin.EndpointStatus, ...]:
    """Returns the status of every listed endpoint."""
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
