"""Computes the goodput bound that capacity sets for any policy."""

from bench import measure_load
from seam_model import config_check

ENGINE_DOWN_AT_SHARE = 0.25
ENGINE_UP_AT_SHARE = 0.5
"""Shares of the measured part after which an engine fails and returns."""


def bounds(
    deployment: measure_load.Deployment, scenario: measure_load.Scenario
) -> tuple[float, float]:
    """Returns the maximum goodput of urgent and other load, as shares of each.

    Urgent load has priority, except for the configured floor of other load.
    """
    capacity = _capacity(deployment, scenario)
    urgent, other = (
        share * deployment.decode_rate_per_s for share in scenario.shares()
    )
    floor = config_check.initial().defaults.admission.other_floor
    other_served = min(other, max(capacity * floor, capacity - urgent))
    urgent_served = min(urgent, capacity - other_served)
    return urgent_served / urgent, other_served / other


def _capacity(
    deployment: measure_load.Deployment, scenario: measure_load.Scenario
) -> float:
    """Returns the requests per second that the slower pool can sustain."""
    decode_capacity = deployment.decode_rate_per_s
    if scenario.faults:
        lost_share = (ENGINE_UP_AT_SHARE - ENGINE_DOWN_AT_SHARE) / sum(
            deployment.decode_engines
        )
        decode_capacity *= 1.0 - lost_share
    return min(decode_capacity, deployment.prefill_rate_per_s)
