"""Adds exceptions to configuration drafts and removes them."""

import attrs
import expression

from seam_model import config
from seam_model import errors
from seam_model import operator_errors

DraftResult = expression.Result[config.Draft, errors.SeamError]


def with_exception(
    draft: config.Draft, rule: config.ConfigException
) -> DraftResult:
    """Returns the draft with one more exception.

    Errors: `ConfigInvalid` if the id is in use. Everything else is checked when
    the draft is applied.
    """
    if any(rule.id == each.id for each in draft.exceptions):
        problem = errors.BadInput(
            "id", rule.id, "an unused id; remove the existing exception first"
        )
        return expression.Error(errors.ConfigInvalid((problem,)))
    rules = (*draft.exceptions, rule)
    return expression.Ok(attrs.evolve(draft, exceptions=rules))


def without_exception(draft: config.Draft, rule_id: str) -> DraftResult:
    """Returns the draft without one exception. Errors: `NotFound`."""
    rules = tuple(each for each in draft.exceptions if each.id != rule_id)
    if len(rules) == len(draft.exceptions):
        return expression.Error(operator_errors.NotFound("exception", rule_id))
    return expression.Ok(attrs.evolve(draft, exceptions=rules))
