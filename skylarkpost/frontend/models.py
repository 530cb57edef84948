"""The ``/v1/models`` endpoint, which lists the profiles of the caller's team."""

from starlette.responses import JSONResponse

from skylarkpost.frontend.credentials import extract_credentials
from skylarkpost.frontend.responses import refusal_response
from skylarkpost.outcomes import Reason, Refused

__all__ = ["ModelsEndpoint"]


class ModelsEndpoint:
    """List of a team's profiles, in the format of the engines' model list.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    """

    def __init__(self, *, services):
        self.services = services

    async def list_models(self, request):
        """Answer with the profiles of the team that the request's key belongs to."""
        key_hash = extract_credentials(request.headers).key_hash
        config = self.services.controllers["config"]
        key = config.store.key(key_hash) if key_hash else None
        if key is None or key.withdrawn:
            reason = Reason.KEY_UNKNOWN if key_hash else Reason.KEY_MISSING
            refused = Refused(reason=reason, message="Send a key of your team.")
            return refusal_response(refused, request_id="-")
        names = [profile.name for profile in config.profiles_for(key.team)]
        models = [
            {"id": name, "object": "model", "owned_by": key.team} for name in names
        ]
        return JSONResponse({"object": "list", "data": models})
