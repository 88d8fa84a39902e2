"""Which instances a caller is told to use."""

from seam_model import config
from seam_model import requests
from seam_model import settings
from seam_node.controllers import membership_view
from seam_policy import rendezvous

DEFAULT_CACHE_S = 5.0
DEFAULT_WIDTH = 4


def answer(
    view: membership_view.MembershipView,
    distances: settings.DistanceSettings,
    workspace: str,
    rule: config.Entry | None,
) -> requests.EntryAnswer:
    """Returns the entry answer for a caller of a workspace.

    The instances are ordered by distance from this one. Those of the same
    data centre come in rendezvous order of the workspace, so that a workspace
    stays with few instances and its limits hold there.
    """
    width = rule.width if rule else DEFAULT_WIDTH
    cache_s = rule.cache_s if rule else DEFAULT_CACHE_S
    ranked = list(rendezvous.rank(workspace.encode(), view.live))
    here = view.own.data_centre
    ranked.sort(key=lambda site: distances.one_way_s(here, site.data_centre))
    found = [
        requests.EntryInstance(site.name, record.url, site.data_centre)
        for site in ranked
        if (record := view.instances.get(site.name)) and record.url
    ]
    return requests.EntryAnswer(
        tuple(found[:width]), tuple(found[width : 2 * width]), cache_s
    )
