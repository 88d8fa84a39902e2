"""The commands `status`, `drain`, `explain` and `report`."""

import itertools
from typing import Annotated
from typing import Any

import attrs
import expression
import typer

from seam_ctl import client
from seam_ctl import config_cmds
from seam_ctl import distrust_log
from seam_ctl import exits
from seam_ctl import log_lines
from seam_ctl import output
from seam_ctl import request_log
from seam_model import admin

REPORT_CHANGES = 10
_SUCCESS = "ok"


@attrs.frozen
class Report:
    """Summary of the fleet for a handover between operators."""

    status: admin.FleetStatus
    versions: dict[str, list[str]]
    """Names of the instances by the configuration version that they run."""
    not_ok: dict[str, int]
    """Fleet-wide number of requests by outcome, except successful ones."""
    exceptions: admin.ExceptionList
    changes: admin.ChangeList


def status(
    ctx: typer.Context,
    as_json: output.JsonFlag = False,
    logs: Annotated[
        list[typer.FileText] | None,
        typer.Option(
            help="Read log files instead, of instances that forward; - is "
            "stdin. Prints which endpoints they do not use."
        ),
    ] = None,
) -> None:
    """Prints the status of instances, endpoints and queues."""
    if logs:
        _print_beliefs(logs, as_json)
        return
    fleet_status = output.call_instance(ctx, lambda c: c.status(), as_json)
    if as_json:
        output.print_json(fleet_status)
    else:
        _print_status(fleet_status)


def _print_beliefs(files: list[typer.FileText], as_json: bool) -> None:
    """Prints what is not used at the time of the last line."""
    lines = log_lines.parse_all(itertools.chain.from_iterable(files))
    last_at = max((each.at for each in lines), default=0.0)
    found = distrust_log.beliefs(lines, last_at)
    if as_json:
        output.print_json(found)
        return
    rows = (
        (
            each.instance,
            each.name,
            each.what,
            f"{last_at - each.line.at:.3f}",
            each.line.fields.get("answer_to", ""),
        )
        for each in found
    )
    columns = ("instance", "not used", "why", "since s", "from the answer to")
    output.print_table(columns, rows, "not used")


def drain(
    ctx: typer.Context,
    instance: Annotated[str, typer.Argument(help="Name of the instance.")],
    why: config_cmds.Why,
    as_json: output.JsonFlag = False,
) -> None:
    """Drains an instance without interrupting requests in progress."""
    token = output.connect(ctx, as_json).token
    done = output.call_instance(
        ctx,
        lambda c: client.drain_instance(c, token, instance, why),
        as_json,
    )
    if as_json:
        output.print_json(done.answer)
        return
    answer = done.answer
    output.print_line(
        f"{answer.instance}: {answer.phase}, "
        f"{answer.in_progress} requests in progress"
    )


def explain(
    ctx: typer.Context,
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    as_json: output.JsonFlag = False,
    logs: Annotated[
        list[typer.FileText] | None,
        typer.Option(
            help="Read log files instead of querying instances; - is stdin."
        ),
    ] = None,
) -> None:
    """Prints the decisions on a request: where it was sent, why refused."""
    if logs:
        _explain_by_logs(request, logs, as_json)
        return
    explanation = output.call_instance(
        ctx, lambda c: c.explain(request), as_json
    )
    if as_json:
        output.print_json(explanation)
        return
    for trace in explanation.traces:
        title = (
            f"{trace.instance}: {trace.outcome} workspace={trace.workspace} "
            f"rank={trace.rank} model={trace.model}"
        )
        rows = ((step.at_s, step.filter, step.what) for step in trace.steps)
        output.print_table(("at s", "filter", "what"), rows, title)
    if explanation.silent:
        output.print_line("no answer from: " + ", ".join(explanation.silent))


def _explain_by_logs(
    request: str, files: list[typer.FileText], as_json: bool
) -> None:
    lines = itertools.chain.from_iterable(files)
    collected = request_log.collect(request, lines)
    if as_json:
        output.print_json(collected)
    elif collected.lines:
        start = collected.lines[0].at
        rows = (
            (
                f"{line.at - start:.3f}",
                line.instance,
                line.event,
                " ".join(f"{k}={v}" for k, v in line.fields.items()),
            )
            for line in collected.lines
        )
        title = f"request {request}"
        output.print_table(("s", "instance", "event", "why"), rows, title)
    if not collected.lines:
        output.print_line(f"no log line of request {request}")
        raise typer.Exit(exits.NOT_FOUND)


def report(ctx: typer.Context, as_json: output.JsonFlag = False) -> None:
    """Prints a summary of the fleet for a handover between operators."""
    summary = output.call_instance(ctx, make_report, as_json)
    if as_json:
        output.print_json(summary)
        return
    _print_status(summary.status)
    for version, names in sorted(summary.versions.items()):
        output.print_line(f"configuration {version}: {', '.join(names)}")
    output.print_table(
        ("outcome", "requests"),
        sorted(summary.not_ok.items()),
        "requests that did not succeed, since each instance's start",
    )
    config_cmds.print_exceptions(summary.exceptions)
    rows = config_cmds.change_rows(summary.changes)
    output.print_table(config_cmds.CHANGE_COLUMNS, rows, "last changes")


async def make_report(
    conn: client.AdminClient,
) -> expression.Result[Report, Any]:
    """Returns the report of one instance, which queries the others."""
    fleet_status = await conn.status()
    rules = await conn.exceptions()
    changes = await conn.audit(0, REPORT_CHANGES)
    for answer in (fleet_status, rules, changes):
        if answer.is_error():
            return answer
    versions: dict[str, list[str]] = {}
    not_ok: dict[str, int] = {}
    for each in fleet_status.ok.instances:
        if each.state == admin.UNREACHABLE:
            continue
        versions.setdefault(str(each.config_version), []).append(each.name)
        for outcome, count in each.outcomes.items():
            if outcome != _SUCCESS:
                not_ok[outcome] = not_ok.get(outcome, 0) + count
    summary = Report(fleet_status.ok, versions, not_ok, rules.ok, changes.ok)
    return expression.Ok(summary)


def _print_status(fleet_status: admin.FleetStatus) -> None:
    output.print_table(
        (
            "instance",
            "data centre",
            "state",
            "config",
            "running",
            "peers",
            "leases",
        ),
        (
            (
                each.name,
                each.data_centre,
                _state(each),
                each.config_version or "",
                each.in_progress,
                each.live_peers,
                ", ".join(f"{k} #{v}" for k, v in each.leases.items()),
            )
            for each in fleet_status.instances
        ),
        f"instances, queried through {fleet_status.asked}",
    )
    ledgers = {
        ledger.name: ledger
        for instance in fleet_status.instances
        for ledger in instance.ledgers
    }
    output.print_table(
        (
            "endpoint",
            "kind",
            "data centre",
            "role",
            "owner",
            "slots",
            "granted",
            "urgent waiting",
            "other waiting",
            "notes",
        ),
        (
            _endpoint_row(each, ledgers.get(each.name))
            for each in fleet_status.endpoints
        ),
        "endpoints",
    )
    _print_calls(fleet_status)


def _print_calls(fleet_status: admin.FleetStatus) -> None:
    rows = [
        (
            each.name,
            ledger.name,
            ledger.usable,
            ledger.granted,
            ledger.waiting_urgent,
            ledger.waiting_other,
        )
        for each in fleet_status.instances
        for ledger in each.services
    ]
    if rows:
        output.print_table(
            (
                "instance",
                "service",
                "calls allowed",
                "running",
                "urgent waiting",
                "other waiting",
            ),
            rows,
            "calls to plain services",
        )


def _state(each: admin.InstanceStatus) -> str:
    notes = [each.not_ready] if each.not_ready else []
    notes += ["mirror is warming"] if each.warming else []
    return ": ".join((each.state, *notes))


def _endpoint_row(
    each: admin.EndpointStatus, ledger: admin.LedgerStatus | None
) -> tuple[Any, ...]:
    counts: tuple[Any, ...] = ("", "", "", "")
    if ledger is not None:
        counts = (
            f"{ledger.usable}/{each.slots}",
            ledger.granted,
            ledger.waiting_urgent,
            ledger.waiting_other,
        )
    notes = [
        text
        for text, is_set in (
            ("leaving", each.leaving),
            ("suspected", each.suspected),
        )
        if is_set
    ]
    names = (each.name, each.kind, each.data_centre, each.role, each.owner)
    return (*names, *counts, ", ".join(notes))
