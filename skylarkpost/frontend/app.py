"""Assembly of the endpoints into one ASGI application."""

from starlette.applications import Starlette
from starlette.routing import Mount, Route

from skylarkpost.frontend.admin import AdminEndpoints
from skylarkpost.frontend.caller import CallerEndpoint
from skylarkpost.frontend.models import ModelsEndpoint

__all__ = ["build_app"]


def build_app(*, services, chain):
    """Build the ASGI application of one instance.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    chain : skylarkpost.filters.FilterChain
        The filters for callers' requests.

    Returns
    -------
    starlette.applications.Starlette
    """
    caller = CallerEndpoint(services=services, chain=chain)
    admin = AdminEndpoints(services=services, history=caller.history)
    models = ModelsEndpoint(services=services)
    return Starlette(
        routes=[
            Route("/healthz", admin.health),
            Route("/readyz", admin.readiness),
            Route("/metrics", admin.metrics),
            Route("/admin/status", admin.status),
            Route("/admin/explain/{request_id}", admin.explain),
            Route("/v1/models", models.list_models, methods=["GET"]),
            Mount("/", app=caller),
        ]
    )
