"""Base class of the filters for forwarded requests."""

from seam_node import chain
from seam_node.forward.callers import context

Result = chain.Result
Proceed = chain.Proceed
OK = chain.OK
fail = chain.fail


class ForwardFilter(chain.Filter[context.ForwardContext]):
    """A step in the processing of a forwarded request."""
