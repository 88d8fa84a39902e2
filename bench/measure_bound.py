"""The goodput that capacity allows, whatever the policy."""

from bench import measure_load
from seam_model import config_check

ENGINE_DIES = 0.25
ENGINE_BACK = 0.5
"""Share of the measured part after which the engine is back."""


def bounds(
    deployment: measure_load.Deployment, scenario: measure_load.Scenario
) -> tuple[float, float]:
    """Returns the most goodput of urgent and other work, as shares.

    Urgent work goes first, but for the configured floor of the other work.
    """
    capacity = _capacity(deployment, scenario)
    urgent, other = (
        share * deployment.decode_rate for share in scenario.shares()
    )
    floor = config_check.initial().defaults.admission.other_floor
    for_other = min(other, max(capacity * floor, capacity - urgent))
    for_urgent = min(urgent, capacity - for_other)
    return for_urgent / urgent, for_other / other


def _capacity(
    deployment: measure_load.Deployment, scenario: measure_load.Scenario
) -> float:
    """Returns the requests a second that the smaller pool can carry."""
    decode = deployment.decode_rate
    if scenario.faults:
        lost = (ENGINE_BACK - ENGINE_DIES) / sum(deployment.decode)
        decode *= 1.0 - lost
    return min(decode, deployment.prefill_rate)
