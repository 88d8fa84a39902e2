"""Refuses prompts that crash engines."""

from seam_model import errors
from seam_node.forward.callers import context
from seam_node.forward.filters import base
from seam_node.forward.placement import prompt_guard
from seam_policy import quarantine


class GuardFilter(base.ForwardFilter):
    """Checks each attempt before an engine hears of it."""

    def __init__(self, guard: prompt_guard.PromptGuard):
        """Takes the guard, which knows such prompts."""
        self._guard = guard

    async def apply(
        self, ctx: context.ForwardContext, proceed: base.Proceed
    ) -> base.Result:
        """Runs the attempt unless its prompt is, or may be, in quarantine."""
        if not self._guard.is_known:
            return base.fail(errors.InstanceNotReady("no quarantine yet"))
        ruling = self._guard.rule(ctx)
        ctx.prompt_trial = ruling.verdict is quarantine.Verdict.DUE
        error = check(self._guard, ctx)
        return await proceed(ctx) if error is None else base.fail(error)


def check(
    guard: prompt_guard.PromptGuard, ctx: context.ForwardContext
) -> errors.PromptQuarantined | None:
    """Returns why a prompt must not be sent to an engine, or None."""
    if ctx.prompt_trial:
        return None
    ruling = guard.rule(ctx)
    if ruling.verdict is not quarantine.Verdict.REFUSED:
        return None
    ctx.retry_after_s = ruling.retry_after_s
    return errors.PromptQuarantined(",".join(ruling.entry.parts))
