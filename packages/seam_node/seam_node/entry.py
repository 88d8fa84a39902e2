"""Selects the entry instances that a caller should connect to."""

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

    The instances are sorted by distance from this one. Within a data centre
    they follow the rendezvous order of the workspace. This keeps a workspace
    on a few instances, so that the limits of each instance take effect on it.
    """
    width = rule.width if rule else DEFAULT_WIDTH
    cache_s = rule.cache_s if rule else DEFAULT_CACHE_S
    ranked = list(rendezvous.rank(workspace.encode(), view.live))
    own_data_centre = view.own.data_centre
    ranked.sort(
        key=lambda site: distances.one_way_s(own_data_centre, site.data_centre)
    )
    entries = [
        requests.EntryInstance(site.name, record.url, site.data_centre)
        for site in ranked
        if (record := view.instances.get(site.name)) and record.url
    ]
    return requests.EntryAnswer(
        tuple(entries[:width]), tuple(entries[width : 2 * width]), cache_s
    )
